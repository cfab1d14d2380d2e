package persister

import (
	"errors"
	"testing"

	"dunestand/internal/fake"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// expectHeads checks that every bucket's head has an incarnation, and the version that the
// persister knows.
func expectHeads(t *testing.T, server *fake.KVServer, p *Persister, incarnation uint64) {
	t.Helper()
	for bucket := range storage.Buckets {
		item, _ := server.Get(storage.KeyBucketHead(bucket))
		var head storage.LeaseRecord
		if err := protocol.Decode(item.Value, &head); err != nil {
			t.Fatalf("bucket %d: %v", bucket, err)
		}
		if head.Incarnation != incarnation || head.Holder != p.Settings.Name {
			t.Errorf("bucket %d is at incarnation %d of %q, want %d", bucket, head.Incarnation, head.Holder, incarnation)
		}
		if known := p.BucketVersion(bucket); known != item.Version {
			t.Errorf("bucket %d is known at version %d, and has %d", bucket, known, item.Version)
		}
	}
}

func TestEachLeaderRaisesEveryIncarnation(t *testing.T) {
	server := fake.NewKVServer()
	first, _ := newRestoredPersister(t, server, 1)
	expectHeads(t, server, first, 1)
	second, _ := newRestoredPersister(t, server, 2)
	expectHeads(t, server, second, 2)
}

// A claim whose answer was lost is found to be this leader's own, and is not raised again.
func TestClaimContinuesAfterLostAnswers(t *testing.T) {
	server := fake.NewKVServer()
	server.DropResponse = func(n int) bool { return n%2 == 1 }
	clock := &fake.Clock{Now: units.Second}
	p := newTestPersister(newTestClient(t, server, clock), clock, 1, persisterLimits)
	tries := 1
	for ; !p.Restore(t.Context()); tries++ {
		if tries > storage.Buckets {
			t.Fatal("never restored")
		}
	}
	if tries == 1 {
		t.Error("no answer was lost: the test shows nothing")
	}
	expectHeads(t, server, p, 1)
}

// A head that is not readable is not overwritten: the leader tries again, and its error names the
// record.
func TestUnreadableHeadIsNotClaimed(t *testing.T) {
	server := fake.NewKVServer()
	key := storage.KeyBucketHead(3)
	server.Put(key, protocol.Encode("x"))
	clock := &fake.Clock{Now: units.Second}
	p := newTestPersister(newTestClient(t, server, clock), clock, 1, persisterLimits)
	var unreadable *storage.RecordError
	if err := p.claimBuckets(t.Context()); !errors.As(err, &unreadable) || unreadable.Key != key {
		t.Errorf("error: %v", err)
	}
	if p.Restore(t.Context()) {
		t.Error("restored")
	}
	if !p.Leadership.Valid() {
		t.Error("the leader stepped down")
	}
	if server.Revision() != 1 {
		t.Error("something was written")
	}
}
