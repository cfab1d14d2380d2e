package persister

import (
	"context"
	"errors"
	"testing"
	"time"

	"dunestand/internal/federation"
	"dunestand/internal/protocol"
	"dunestand/internal/standin"
	"dunestand/internal/storage"
)

var transferID = federation.TransferID{Origin: "mill", Job: "j-000001", Incarnation: 1}

func transferRecord(phase federation.OriginPhase) *federation.OriginRecord {
	return &federation.OriginRecord{Transfer: transferID, Target: "dye", Phase: phase}
}

// A transfer's record is stored, replaced, listed and deleted; a former leader does nothing
// of that, and a save without an answer is found out about.
func TestTransferRecordsAreFenced(t *testing.T) {
	s := standin.NewState()
	former, _ := restoredPersister(t, s, 1)
	old := NewTransferStore(former.KV, former.BucketVersion)
	intended, committed := transferRecord(federation.OriginIntended), transferRecord(federation.OriginCommitted)
	version, err := old.CompareAndSwap(t.Context(), intended.Key(), intended.Encode("1-1"), 0)
	if err != nil {
		t.Fatal(err)
	}
	leader, _ := restoredPersister(t, s, 2)
	if _, err := old.CompareAndSwap(t.Context(), intended.Key(), committed.Encode("1-2"), version); !errors.Is(err, federation.ErrVersionConflict) {
		t.Fatalf("a former leader's save: %v", err)
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
		t.Errorf("a save on another version: %v", err)
	}
	s.Silent = func(n int) bool { return n%2 == 0 } // every other answer is lost
	for n, value := range [][]byte{committed.Encode("2-2"), committed.Encode("2-3"), nil} {
		if version, err = store.CompareAndSwap(t.Context(), intended.Key(), value, version); err != nil {
			t.Fatalf("save %d: %v", n, err)
		}
	}
	if left := s.Keys(federation.OutgoingPrefix); len(left) != 0 {
		t.Errorf("left: %v", left)
	}
}

// Where the outcome of a save cannot be found out, it is not taken for one that was not
// carried out.
func TestTransferWriteOfUnknownOutcome(t *testing.T) {
	s := standin.NewState()
	leader, _ := restoredPersister(t, s, 1)
	s.Silent = func(int) bool { return true }
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	record := transferRecord(federation.OriginIntended)
	if _, err := NewTransferStore(leader.KV, leader.BucketVersion).CompareAndSwap(ctx, record.Key(), record.Encode("1-1"), 0); !errors.Is(err, federation.ErrVersionConflict) {
		t.Errorf("the save: %v", err)
	}
	if len(s.Keys(federation.OutgoingPrefix)) != 1 {
		t.Error("it was not carried out: the test shows nothing")
	}
}

// A record is as a save left it if it has that save's id, or is gone as it was to be.
func TestTransferRecordAsWritten(t *testing.T) {
	written := transferRecord(federation.OriginIntended).Encode("1-1")
	item := func(value []byte) protocol.Item { return protocol.Item{Key: storage.KeyLeaderLease, Value: value} }
	for n, c := range []struct {
		there, value []byte
		want         bool
	}{
		{written, written, true},
		{transferRecord(federation.OriginCommitted).Encode("1-2"), written, false},
		{protocol.Encode(7), written, false},
		{nil, written, false},
		{written, nil, false},
		{nil, nil, true},
	} {
		if got := asWritten(item(c.there), c.there != nil, c.value); got != c.want {
			t.Errorf("case %d: %v, want %v", n, got, c.want)
		}
	}
}
