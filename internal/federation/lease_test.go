package federation

import (
	"testing"

	"dunestand/internal/units"
)

// A lease counts from when it was asked for, however late the grant arrives.
func TestLeaseCountsFromItsRequest(t *testing.T) {
	const lease, sent, arrived = 10 * units.Second, 2 * units.Second, 9 * units.Second
	holder := NewLeaseHolder(1)
	grant := Message{Kind: MessageGrant, Renewal: holder.newRenewal(sent, 1), Run: 1}
	if !holder.acceptGrant(&grant, lease, arrived) {
		t.Fatal("a grant in time is not accepted")
	}
	if last := sent + lease - 1; !holder.Valid(last, 1) || holder.Valid(last+1, 1) {
		t.Errorf("the lease does not expire at %v s", (sent + lease).Seconds())
	}
}

// A grant counts only for the leader that asked, for the run that it asked for, in time.
func TestGrantThatAnswersNothingIsNotAccepted(t *testing.T) {
	const lease = 10 * units.Second
	for name, c := range map[string]struct {
		spoil func(*Message)
		now   units.Micros
	}{
		"of a former leader": {func(m *Message) { m.Renewal.FencingToken-- }, 0},
		"never asked for":    {func(m *Message) { m.Renewal.Sequence++ }, 0},
		"of another run":     {func(m *Message) { m.Run++ }, 0},
		"too late":           {func(*Message) {}, lease},
	} {
		t.Run(name, func(t *testing.T) {
			holder := NewLeaseHolder(2)
			grant := Message{Kind: MessageGrant, Renewal: holder.newRenewal(0, 1), Run: 1}
			c.spoil(&grant)
			if holder.acceptGrant(&grant, lease, c.now) || holder.Valid(c.now, 1) {
				t.Errorf("it is accepted: %+v", grant)
			}
		})
	}
}

// The reclaim delay begins with the last grant, or with the election of a leader that has
// granted nothing: its predecessor may have, until then.
func TestReclaimDelayBeginsWithLastGrantOrElection(t *testing.T) {
	const elected, granted = 100 * units.Second, 130 * units.Second
	grantor := NewLeaseGrantor(elected)
	if got := grantor.SinceLastGrant(granted); got != granted-elected {
		t.Errorf("%v s since the election, want %v s", got.Seconds(), (granted - elected).Seconds())
	}
	record := OriginRecord{Transfer: transfer, Target: "dye", Phase: OriginCommitted, MaxRestarts: 2}
	renew := Message{Kind: MessageRenew, Transfer: transfer, Run: 1}
	if decision := record.Receive(&renew, &grantor, granted); len(decision.Send) != 1 || decision.Send[0].Kind != MessageGrant {
		t.Fatalf("no grant: %+v", decision)
	}
	if got := grantor.SinceLastGrant(granted); got != 0 {
		t.Errorf("%v s since a grant that was decided now", got.Seconds())
	}
}

// Once a transfer is revoked no lease is granted: the target is told to stop instead.
func TestNoLeaseIsGrantedWhileRevoking(t *testing.T) {
	grantor := NewLeaseGrantor(0)
	record := OriginRecord{Transfer: transfer, Target: "dye", Phase: OriginRevoking, Cause: CauseCancelled, MaxRestarts: 2, Run: 1}
	decision := record.Receive(&Message{Kind: MessageRenew, Transfer: transfer, Run: 1}, &grantor, 5)
	if decision.Write || len(decision.Send) != 1 || decision.Send[0].Kind != MessageRevoke || grantor.SinceLastGrant(5) != 5 {
		t.Errorf("a renewal while revoking: %+v", decision)
	}
}
