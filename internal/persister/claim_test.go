package persister

import (
	"errors"
	"testing"

	"dunestand/internal/fake"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// expectHeads checks that the head of every bucket has the given incarnation and the version that
// the persister stores.
func expectHeads(t *testing.T, server *fake.KVServer, p *Persister, incarnation uint64) {
	t.Helper()
	for bucket := range storage.Buckets {
		item, _ := server.Get(storage.KeyBucketHead(bucket))
		var head storage.LeaseRecord
		if err := protocol.Decode(item.Value, &head); err != nil {
			t.Fatalf("bucket %d: %v", bucket, err)
		}
		if head.Incarnation != incarnation || head.Holder != p.Settings.Name {
			t.Errorf("bucket %d has incarnation %d, held by %q; want %d", bucket, head.Incarnation, head.Holder, incarnation)
		}
		if known := p.BucketVersion(bucket); known != item.Version {
			t.Errorf("bucket %d: persister has version %d, key-value store has %d", bucket, known, item.Version)
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

// A leader recognises its own claim after the response was lost, and does not raise the incarnation
// again.
func TestClaimContinuesAfterLostResponses(t *testing.T) {
	server := fake.NewKVServer()
	server.DropResponse = func(n int) bool { return n%2 == 1 }
	clock := &fake.Clock{Now: units.Second}
	p := newTestPersister(newTestClient(t, server, clock), clock, 1, persisterLimits)
	tries := 1
	for ; !p.Restore(t.Context()); tries++ {
		if tries > storage.Buckets {
			t.Fatal("Restore still fails after as many calls as there are buckets")
		}
	}
	if tries == 1 {
		t.Error("no response was lost, so the test is void")
	}
	expectHeads(t, server, p, 1)
}

// A head that cannot be decoded is not overwritten, and the error names its key. The leader does not
// step down, so that it can retry.
func TestUnreadableHeadIsNotClaimed(t *testing.T) {
	server := fake.NewKVServer()
	key := storage.KeyBucketHead(3)
	server.Put(key, protocol.Encode("x"))
	clock := &fake.Clock{Now: units.Second}
	p := newTestPersister(newTestClient(t, server, clock), clock, 1, persisterLimits)
	var unreadable *storage.RecordError
	if err := p.claimBuckets(t.Context()); !errors.As(err, &unreadable) || unreadable.Key != key {
		t.Errorf("got %v, want a RecordError with the key", err)
	}
	if p.Restore(t.Context()) {
		t.Error("Restore succeeded with an unreadable head")
	}
	if !p.Leadership.Valid() {
		t.Error("the leader stepped down")
	}
	if server.Revision() != 1 {
		t.Error("a record was written")
	}
}
