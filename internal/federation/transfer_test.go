package federation

import (
	"testing"

	"dunestand/internal/units"
)

var transfer = TransferID{Origin: "mill", Job: "j-000001", Incarnation: 1}

// transferPair is origin and target of one transfer. Messages arrive at once, and both have
// the same clock.
type transferPair struct {
	t        *testing.T
	origin   OriginRecord
	target   *TargetRecord
	grantor  LeaseGrantor
	holder   LeaseHolder
	now      units.Micros
	messages int
	writes   int
}

// newTransferPair returns a pair whose target has accepted a job that may be restarted
// maxRestarts times.
func newTransferPair(t *testing.T, maxRestarts int) *transferPair {
	t.Helper()
	p := &transferPair{t: t, holder: NewLeaseHolder(1)}
	p.applyOrigin(BeginTransfer(transfer, HandOverRequest{Target: "dye", Description: []byte("job"), Work: 10}, maxRestarts))
	return p
}

func (p *transferPair) applyOrigin(decision Decision[OriginRecord]) {
	p.origin = decision.Record
	if decision.Write {
		p.writes++
	}
	for _, message := range decision.Send {
		p.deliverToTarget(&message)
	}
}

func (p *transferPair) deliverToTarget(message *Message) {
	p.messages++
	if p.target == nil {
		p.applyTarget(ReceiveNew(message, true))
		return
	}
	p.applyTarget(p.target.Receive(message, &p.holder, modelTiming.Lease, p.now))
}

func (p *transferPair) applyTarget(decision Decision[TargetRecord]) {
	if decision.Write || decision.Remove {
		p.writes++
	}
	p.target = &decision.Record
	if decision.Remove {
		p.target = nil
	}
	for _, message := range decision.Send {
		p.messages++
		p.applyOrigin(p.origin.Receive(&message, &p.grantor, p.now))
	}
}

// check checks the phase at the origin, and whether the target may run the job.
func (p *transferPair) check(phase OriginPhase, mayRun bool) {
	p.t.Helper()
	if p.origin.Phase != phase {
		p.t.Fatalf("the origin is in phase %v, want %v", p.origin.Phase, phase)
	}
	if got := p.target != nil && p.target.MayRun(&p.holder, p.now); got != mayRun {
		p.t.Fatalf("the target may run: %v, want %v", got, mayRun)
	}
}

// A hand-over without faults, and what it costs: docs/federation.md gives these figures.
func TestHandOverCosts(t *testing.T) {
	p := newTransferPair(t, 1)
	p.check(OriginCommitted, false)
	p.applyTarget(p.target.RequestRenewal(&p.holder, p.now))
	p.check(OriginCommitted, true)
	if p.messages != 6 || p.writes != 6 {
		t.Errorf("until the first task: %d messages and %d writes, want 6 and 6", p.messages, p.writes)
	}
	p.now += modelTiming.Lease / 2
	p.applyTarget(p.target.RequestRenewal(&p.holder, p.now))
	if p.messages != 8 || p.writes != 6 {
		t.Errorf("after a renewal: %d messages and %d writes, want 2 more and none", p.messages, p.writes)
	}
	p.applyTarget(p.target.TasksCompleted(TaskSet{1}, true))
	p.check(OriginFinished, false)
	if p.target != nil || p.messages != 10 || p.writes != 9 {
		t.Errorf("in all: %d messages and %d writes, want 10 and 9", p.messages, p.writes)
	}
}

// An answer about an earlier transfer of the job says nothing of this one.
func TestMessageOfEarlierIncarnationChangesNothing(t *testing.T) {
	p := newTransferPair(t, 3)
	p.origin.Transfer.Incarnation = 2
	for _, kind := range []MessageKind{MessageRefused, MessageNoCapacity, MessageReserved, MessageAccepted} {
		d := p.origin.Receive(&Message{Kind: kind, Transfer: transfer}, &p.grantor, p.now)
		if d.Write || d.Record.Phase != OriginCommitted {
			t.Errorf("%v of an earlier transfer: phase %v", kind, d.Record.Phase)
		}
		if len(d.Send) != 1 || d.Send[0].Transfer != transfer {
			t.Errorf("%v of an earlier transfer is answered by %+v", kind, d.Send)
		}
	}
}

// A target accepts nothing that it has refused, though late copies of all messages follow;
// and it accepts no commitment without a reservation.
func TestRefusalIsDurable(t *testing.T) {
	for _, first := range []MessageKind{MessageCommit, MessageRevoke} {
		d := ReceiveNew(&Message{Kind: first, Transfer: transfer, Job: []byte("job")}, true)
		if !d.Write || d.Record.Phase != TargetRefused {
			t.Fatalf("%v without a reservation: %+v", first, d)
		}
		for _, late := range []MessageKind{MessageReserve, MessageCommit, MessageReserve, MessageCommit, MessageRevoke} {
			holder := NewLeaseHolder(1)
			d = d.Record.Receive(&Message{Kind: late, Transfer: transfer, Work: 1}, &holder, modelTiming.Lease, 0)
			if d.Record.Phase != TargetRefused || len(d.Send) != 1 || d.Send[0].Kind != MessageRefused {
				t.Errorf("a late %v after the refusal: %+v", late, d)
			}
		}
	}
}

// That there is no capacity now settles nothing: a copy of that answer may arrive after a
// later one by which capacity was reserved.
func TestNoCapacityIsNoRefusal(t *testing.T) {
	if d := ReceiveNew(&Message{Kind: MessageReserve, Transfer: transfer, Work: 1}, false); d.Write || d.Send[0].Kind != MessageNoCapacity {
		t.Fatalf("without capacity: %+v", d)
	}
	p := newTransferPair(t, 1)
	p.applyTarget(p.target.RequestRenewal(&p.holder, p.now))
	d := p.origin.Receive(&Message{Kind: MessageNoCapacity, Transfer: transfer}, &p.grantor, p.now)
	if d.Write || d.Record.Phase != OriginCommitted {
		t.Errorf("a late answer ends the transfer: %+v", d.Record)
	}
}

// A grant that arrives after the lease has expired does not resume the run: its tasks are
// being stopped, and to start them again is another run.
func TestExpiredRunIsNotResumed(t *testing.T) {
	p := newTransferPair(t, 1)
	p.applyTarget(p.target.RequestRenewal(&p.holder, p.now))
	p.now += modelTiming.Lease - 1
	renewal := p.target.RequestRenewal(&p.holder, p.now)
	grant := p.origin.Receive(&renewal.Send[0], &p.grantor, p.now)
	p.now += 1
	p.check(OriginCommitted, false)
	p.deliverToTarget(&grant.Send[0])
	p.check(OriginCommitted, false)
	p.applyTarget(p.target.RequestRenewal(&p.holder, p.now))
	p.check(OriginCommitted, true)
	if p.origin.Run != 2 || p.target.Run != 2 || !p.target.Unbounded {
		t.Errorf("origin's run %d, target's %d, unbounded %v; want the second and last", p.origin.Run, p.target.Run, p.target.Unbounded)
	}
}

// A job of a class without restarts is started once: its target goes on without the origin,
// which waits for it, also if the job is cancelled.
func TestClassWithoutRestartsWaitsForTarget(t *testing.T) {
	p := newTransferPair(t, 0)
	p.applyTarget(p.target.RequestRenewal(&p.holder, p.now))
	p.now += 1000 * modelTiming.ReclaimDelay()
	p.check(OriginCommitted, true)
	if p.applyOrigin(p.origin.Reclaim()); p.origin.Phase != OriginCommitted {
		t.Fatal("the job is reclaimed")
	}
	d := p.origin.Cancel()
	p.origin = d.Record // the target is partitioned
	p.now += 1000 * modelTiming.ReclaimDelay()
	if p.applyOrigin(p.origin.Tick(&p.grantor, p.now, modelTiming)); p.origin.Phase != OriginRevoking {
		t.Fatal("the target is taken to have stopped the job")
	}
	p.deliverToTarget(&d.Send[0])
	p.applyTarget(p.target.TasksStopped())
	if p.origin.Phase != OriginWithdrawn || !p.origin.Removable() {
		t.Errorf("after the target has confirmed: %+v", p.origin)
	}
}

// A target that asks for more runs than the class allows gets no grant, and nothing is
// written.
func TestRunBeyondAllowedRestartsIsNotGranted(t *testing.T) {
	for name, c := range map[string]struct {
		maxRestarts, restarts, run int
		granted                    bool
	}{
		"first run":                    {0, 0, 1, true},
		"last run":                     {2, 1, 2, true},
		"run beyond the class":         {0, 0, 2, false},
		"run beyond what is left":      {2, 1, 3, false},
		"first run, nothing else left": {1, 1, 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			record := OriginRecord{
				Transfer:    transfer,
				Target:      "dye",
				Phase:       OriginCommitted,
				MaxRestarts: c.maxRestarts,
				Restarts:    c.restarts,
				Run:         c.run - 1,
			}
			decision := record.Receive(&Message{Kind: MessageRenew, Transfer: transfer, Run: c.run}, &LeaseGrantor{}, 0)
			if granted := len(decision.Send) == 1; granted != c.granted || decision.Write != c.granted {
				t.Errorf("granted %v, written %v, want %v", granted, decision.Write, c.granted)
			}
		})
	}
}

// A result counts even if the job was reclaimed, unless its user was told of its end.
func TestLateResultCounts(t *testing.T) {
	result := &Message{Kind: MessageResult, Transfer: transfer, Done: TaskSet{3}, Run: 1}
	returned := OriginRecord{Transfer: transfer, Target: "dye", Phase: OriginReturned, Run: 1, MaxRestarts: 2, Done: TaskSet{4}}
	if d := returned.Receive(result, &LeaseGrantor{}, 0); d.Record.Phase != OriginFinished || !d.Write || !d.Record.Done.ContainsAll(TaskSet{7}) {
		t.Errorf("a result after the job returned: %+v", d)
	}
	if d := returned.JobEnded().Record.Receive(result, &LeaseGrantor{}, 0); d.Record.Phase != OriginWithdrawn || d.Send[0].Kind != MessageSettle {
		t.Errorf("a result after the job ended: %+v", d)
	}
}
