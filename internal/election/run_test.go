package election

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"dunestand/internal/fake"
	"dunestand/internal/units"
)

// Run calls lead with the token that it won, and returns only after lead has returned.
func TestRunReturnsOnlyAfterLeadReturned(t *testing.T) {
	server := httptest.NewServer(fake.NewKVServer())
	t.Cleanup(server.Close)
	elector := newTestElector("a", server, units.NewSystemClock(), 1)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	leading, ended := make(chan uint64, 1), false
	returned := make(chan struct{})
	go func() {
		defer close(returned)
		elector.Run(ctx, func(ctx context.Context, token uint64) {
			leading <- token
			<-ctx.Done()
			ended = true
		})
	}()
	select {
	case token := <-leading:
		if leadership := elector.Leadership(token); token != 1 || !leadership.Valid() || leadership.Token() != token {
			t.Errorf("leads with token %d, which is not 1 or not valid", token)
		}
		if elector.Remaining() <= 0 || elector.Remaining() > elector.LeaseDuration() || elector.Leader() != "a" {
			t.Errorf("the lease of %q has %d us remaining", elector.Leader(), elector.Remaining())
		}
	case <-time.After(10 * time.Second):
		t.Fatal("does not lead")
	}
	cancel()
	<-returned
	if !ended {
		t.Error("returned before lead did")
	}
}

// Another controller acquires a resigned lease at once. The former leader, as a follower, then
// reports the new holder and whether it has seen a renewal within the lease duration.
func TestResignedLeaseIsAcquiredAtOnce(t *testing.T) {
	server := httptest.NewServer(fake.NewKVServer())
	t.Cleanup(server.Close)
	now := units.Second
	clock := &driftingClock{trueTime: &now}
	first, second := newTestElector("a", server, clock, 1), newTestElector("b", server, clock, 2)
	first.watch(t.Context())
	second.watch(t.Context())
	if !first.holdsLease() || second.holdsLease() || second.Leader() != "a" || !second.SeesRenewals() {
		t.Fatal("the second controller does not see the first one's lease")
	}
	first.Abstain(20 * units.Second)
	first.renew(t.Context())
	second.watch(t.Context())
	if first.holdsLease() || !second.Valid(2) {
		t.Fatal("the resigned lease was not acquired")
	}
	first.watch(t.Context())
	if first.Leader() != "b" || !first.SeesRenewals() || first.UnansweredFor() != 0 {
		t.Errorf("the known leader is %q, want b, renewed just now", first.Leader())
	}
	now += first.timing.Duration
	if first.SeesRenewals() || first.UnansweredFor() != first.timing.Duration {
		t.Error("reports a recent renewal although none was read for the lease duration")
	}
}
