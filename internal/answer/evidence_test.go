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

// A log line of an answer shows what it claims and what that rests on.
func TestEvidenceIsLoggedWithWhatItRestsOn(t *testing.T) {
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
