package federation

import (
	"testing"

	"dunestand/internal/units"
)

// A lease counts from when the renewal request was sent, not from when the grant arrives.
// Otherwise a delayed grant would extend the lease beyond the reclaim delay of the origin.
func TestLeaseCountsFromRenewalRequest(t *testing.T) {
	const lease, sent, arrived = 10 * units.Second, 2 * units.Second, 9 * units.Second
	holder := NewLeaseHolder(1)
	grant := Message{Kind: MessageGrant, Renewal: holder.newRenewal(sent, 1), Run: 1}
	if !holder.acceptGrant(&grant, lease, arrived) {
		t.Fatal("a grant that arrives before lease expiry is not accepted")
	}
	if last := sent + lease - 1; !holder.Valid(last, 1) || holder.Valid(last+1, 1) {
		t.Errorf("lease does not expire at %v s", (sent + lease).Seconds())
	}
}

// A grant is valid only for the leader and the run that requested it, and only until the lease
// expires.
func TestUnsolicitedOrLateGrantIsRejected(t *testing.T) {
	const lease = 10 * units.Second
	for name, c := range map[string]struct {
		mutate func(*Message)
		now    units.Micros
	}{
		"request of a previous leader": {func(m *Message) { m.Renewal.FencingToken-- }, 0},
		"unknown request":              {func(m *Message) { m.Renewal.Sequence++ }, 0},
		"different run":                {func(m *Message) { m.Run++ }, 0},
		"lease expired":                {func(*Message) {}, lease},
	} {
		t.Run(name, func(t *testing.T) {
			holder := NewLeaseHolder(2)
			grant := Message{Kind: MessageGrant, Renewal: holder.newRenewal(0, 1), Run: 1}
			c.mutate(&grant)
			if holder.acceptGrant(&grant, lease, c.now) || holder.Valid(c.now, 1) {
				t.Errorf("grant was accepted: %+v", grant)
			}
		})
	}
}

// The reclaim delay starts at the last grant. For a leader that has granted nothing it starts at
// its election, since the previous leader may have granted a lease until then.
func TestReclaimDelayBeginsWithLastGrantOrElection(t *testing.T) {
	const elected, granted = 100 * units.Second, 130 * units.Second
	grantor := NewLeaseGrantor(elected)
	if got := grantor.SinceLastGrant(granted); got != granted-elected {
		t.Errorf("%v s since the last grant, want %v s since the election", got.Seconds(), (granted - elected).Seconds())
	}
	record := OriginRecord{Transfer: transfer, Target: "dye", Phase: OriginCommitted, MaxRestarts: 2}
	renew := Message{Kind: MessageRenew, Transfer: transfer, Run: 1}
	if decision := record.Receive(&renew, &grantor, granted); len(decision.Send) != 1 || decision.Send[0].Kind != MessageGrant {
		t.Fatalf("renewal is not answered with a grant: %+v", decision)
	}
	if got := grantor.SinceLastGrant(granted); got != 0 {
		t.Errorf("%v s since a grant made now, want 0", got.Seconds())
	}
}

// While a transfer is being revoked, a renewal request is answered with MessageRevoke and not
// with a grant.
func TestNoLeaseIsGrantedWhileRevoking(t *testing.T) {
	grantor := NewLeaseGrantor(0)
	record := OriginRecord{Transfer: transfer, Target: "dye", Phase: OriginRevoking, Cause: CauseCancelled, MaxRestarts: 2, Run: 1}
	decision := record.Receive(&Message{Kind: MessageRenew, Transfer: transfer, Run: 1}, &grantor, 5)
	if decision.Write || len(decision.Send) != 1 || decision.Send[0].Kind != MessageRevoke || grantor.SinceLastGrant(5) != 5 {
		t.Errorf("renewal while revoking yields %+v", decision)
	}
}
