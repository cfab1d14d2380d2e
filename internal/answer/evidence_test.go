package answer

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/transport"
)

// The logged evidence shows the kind of claim and, if there is one, the read time or record version.
func TestEvidenceIsLoggedByKind(t *testing.T) {
	record := storage.StoredTerminalRecord{TerminalRecord: storage.TerminalRecord{Stage: protocol.StageDone}, Version: 7}
	for want, a := range map[string]Answer{
		"grounds.kind=none":                              WithoutEvidence(transport.Response{}),
		"grounds.kind=provisional grounds.read_at_us=5":  Provisional(transport.Response{}, 5),
		"grounds.kind=terminal grounds.record_version=7": Terminal("j-000001", record),
	} {
		var log bytes.Buffer
		slog.New(slog.NewTextHandler(&log, nil)).Info("answer", "grounds", a.Evidence)
		if !strings.Contains(log.String(), want) {
			t.Errorf("%q, want %q", log.String(), want)
		}
	}
}
