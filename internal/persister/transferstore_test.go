package persister

import (
	"context"
	"errors"
	"testing"
	"time"

	"dunestand/internal/fake"
	"dunestand/internal/federation"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
)

var transferID = federation.TransferID{Origin: "mill", Job: "j-000001", Incarnation: 1}

func transferRecord(phase federation.OriginPhase) *federation.OriginRecord {
	return &federation.OriginRecord{Transfer: transferID, Target: "dye", Phase: phase}
}

// A leader can write, list, replace and delete transfer records, even if responses are lost. Writes
// of a former leader fail.
func TestFormerLeaderCannotWriteTransferRecords(t *testing.T) {
	server := fake.NewKVServer()
	former, _ := newRestoredPersister(t, server, 1)
	formerStore := NewTransferStore(former.KV, former.BucketVersion)
	intended, committed := transferRecord(federation.OriginIntended), transferRecord(federation.OriginCommitted)
	version, err := formerStore.CompareAndSwap(t.Context(), intended.Key(), intended.Encode("1-1"), 0)
	if err != nil {
		t.Fatal(err)
	}
	leader, _ := newRestoredPersister(t, server, 2)
	if _, err := formerStore.CompareAndSwap(t.Context(), intended.Key(), committed.Encode("1-2"), version); !errors.Is(err, federation.ErrVersionConflict) {
		t.Fatalf("write of a former leader: got %v, want a version conflict", err)
	}
	store := NewTransferStore(leader.KV, leader.BucketVersion)
	items, err := store.List(t.Context(), federation.OutgoingPrefix)
	if err != nil || len(items) != 1 || items[0].Version != version {
		t.Fatalf("listed: %v, %v", items, err)
	}
	if r, err := federation.DecodeOriginRecord(items[0]); err != nil || r.Phase != federation.OriginIntended {
		t.Fatalf("read: %+v, %v", r, err)
	}
	if _, err := store.CompareAndSwap(t.Context(), intended.Key(), committed.Encode("2-1"), 0); !errors.Is(err, federation.ErrVersionConflict) {
		t.Errorf("write with an outdated version: got %v, want a version conflict", err)
	}
	server.DropResponse = func(n int) bool { return n%2 == 0 } // every second response is lost
	for n, value := range [][]byte{committed.Encode("2-2"), committed.Encode("2-3"), nil} {
		if version, err = store.CompareAndSwap(t.Context(), intended.Key(), value, version); err != nil {
			t.Fatalf("write %d: %v", n, err)
		}
	}
	if left := server.Keys(federation.OutgoingPrefix); len(left) != 0 {
		t.Errorf("records left after the deletion: %v", left)
	}
}

// A write whose outcome cannot be determined is reported as a version conflict: any other error means
// that the write was not carried out.
func TestTransferWriteOfUnknownOutcomeIsConflict(t *testing.T) {
	server := fake.NewKVServer()
	leader, _ := newRestoredPersister(t, server, 1)
	server.DropResponse = func(int) bool { return true }
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	record := transferRecord(federation.OriginIntended)
	if _, err := NewTransferStore(leader.KV, leader.BucketVersion).CompareAndSwap(ctx, record.Key(), record.Encode("1-1"), 0); !errors.Is(err, federation.ErrVersionConflict) {
		t.Errorf("got %v, want a version conflict", err)
	}
	if len(server.Keys(federation.OutgoingPrefix)) != 1 {
		t.Error("the write was not carried out, so the test is void")
	}
}

// A record matches a write if it has the ID of that write, or if the write is a deletion and there is
// no record.
func TestTransferRecordMatchesWrite(t *testing.T) {
	written := transferRecord(federation.OriginIntended).Encode("1-1")
	item := func(value []byte) protocol.Item { return protocol.Item{Key: storage.KeyLeaderLease, Value: value} }
	for name, c := range map[string]struct {
		stored, value []byte
		want          bool
	}{
		"as written":        {written, written, true},
		"of another write":  {transferRecord(federation.OriginCommitted).Encode("1-2"), written, false},
		"not readable":      {protocol.Encode(7), written, false},
		"gone, not written": {nil, written, false},
		"still there":       {written, nil, false},
		"deleted":           {nil, nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			if got := matchesWrite(item(c.stored), c.stored != nil, c.value); got != c.want {
				t.Errorf("%v, want %v", got, c.want)
			}
		})
	}
}
