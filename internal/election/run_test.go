package election

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"dunestand/internal/fake"
	"dunestand/internal/units"
)

// Run leads with the token that it won, and waits for the leader to end before it returns.
func TestRunWaitsForTheLeaderToEnd(t *testing.T) {
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
			t.Errorf("leads with token %d, which is not valid", token)
		}
		if elector.Remaining() <= 0 || elector.Remaining() > elector.LeaseDuration() || elector.Leader() != "a" {
			t.Errorf("the lease of %q holds for %d us", elector.Leader(), elector.Remaining())
		}
	case <-time.After(10 * time.Second):
		t.Fatal("does not lead")
	}
	cancel()
	<-returned
	if !ended {
		t.Error("returned while the leader went on")
	}
}

// A leader that steps down stops leading, and another controller acquires the lease at once; this
// one sees that it is renewed.
func TestResignedLeaseIsAcquiredAtOnce(t *testing.T) {
	server := httptest.NewServer(fake.NewKVServer())
	t.Cleanup(server.Close)
	now := units.Second
	clock := &driftingClock{truth: &now}
	first, second := newTestElector("a", server, clock, 1), newTestElector("b", server, clock, 2)
	first.watch(t.Context())
	second.watch(t.Context())
	if !first.holdsLease() || second.holdsLease() || second.Leader() != "a" || !second.SeesRenewals() {
		t.Fatal("the first controller's lease is not seen")
	}
	first.Abstain(20 * units.Second)
	first.renew(t.Context())
	second.watch(t.Context())
	if first.holdsLease() || !second.Valid(2) {
		t.Fatal("the resigned lease is not acquired")
	}
	first.watch(t.Context())
	if first.Leader() != "b" || !first.SeesRenewals() || first.UnansweredFor() != 0 {
		t.Errorf("the leader is %q", first.Leader())
	}
	now += first.timing.Duration
	if first.SeesRenewals() || first.UnansweredFor() != first.timing.Duration {
		t.Error("a renewal is seen though none was read for the whole lease")
	}
}
