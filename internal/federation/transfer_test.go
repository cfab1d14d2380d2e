package federation

import (
	"testing"

	"dunestand/internal/units"
)

var transfer = TransferID{Origin: "mill", Job: "j-000001", Incarnation: 1}

// transferPair connects the origin and the target of one transfer. Messages are delivered
// immediately, and both sides share a clock.
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

// newTransferPair returns a pair whose target has accepted a job. maxRestarts is the restart
// limit of the job.
func newTransferPair(t *testing.T, maxRestarts int) *transferPair {
	t.Helper()
	p := &transferPair{t: t, holder: NewLeaseHolder(1)}
	p.applyOrigin(BeginTransfer(transfer, TransferRequest{Target: "dye", Description: []byte("job"), Work: 10}, maxRestarts))
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

// check fails the test unless the origin is in the given phase and mayRun is whether the target
// may run the job.
func (p *transferPair) check(phase OriginPhase, mayRun bool) {
	p.t.Helper()
	if p.origin.Phase != phase {
		p.t.Fatalf("origin is in phase %v, want %v", p.origin.Phase, phase)
	}
	if got := p.target != nil && p.target.MayRun(&p.holder, p.now); got != mayRun {
		p.t.Fatalf("target may run is %v, want %v", got, mayRun)
	}
}

// The numbers of messages and writes of a transfer without faults, as stated in
// docs/federation.md.
func TestTransferMessageAndWriteCounts(t *testing.T) {
	p := newTransferPair(t, 1)
	p.check(OriginCommitted, false)
	p.applyTarget(p.target.RequestRenewal(&p.holder, p.now))
	p.check(OriginCommitted, true)
	if p.messages != 6 || p.writes != 6 {
		t.Errorf("before the first task: %d messages and %d writes, want 6 and 6", p.messages, p.writes)
	}
	p.now += modelTiming.Lease / 2
	p.applyTarget(p.target.RequestRenewal(&p.holder, p.now))
	if p.messages != 8 || p.writes != 6 {
		t.Errorf("after a renewal: %d messages and %d writes, want 8 and 6", p.messages, p.writes)
	}
	p.applyTarget(p.target.TasksCompleted(TaskSet{1}, true))
	p.check(OriginFinished, false)
	if p.target != nil || p.messages != 10 || p.writes != 9 {
		t.Errorf("after completion: %d messages and %d writes, want 10 and 9", p.messages, p.writes)
	}
}

// Late messages of an earlier transfer of the same job must not affect the current transfer.
func TestMessageOfEarlierIncarnationChangesNothing(t *testing.T) {
	p := newTransferPair(t, 3)
	p.origin.Transfer.Incarnation = 2
	for _, kind := range []MessageKind{MessageRefused, MessageNoCapacity, MessageReserved, MessageAccepted} {
		d := p.origin.Receive(&Message{Kind: kind, Transfer: transfer}, &p.grantor, p.now)
		if d.Write || d.Record.Phase != OriginCommitted {
			t.Errorf("%v of an earlier transfer changes the record, phase is %v", kind, d.Record.Phase)
		}
		if len(d.Send) != 1 || d.Send[0].Transfer != transfer {
			t.Errorf("%v of an earlier transfer is answered by %+v", kind, d.Send)
		}
	}
}

// A target never accepts a transfer that it has refused, even if late duplicates of earlier
// messages arrive. It refuses a MessageCommit without a reservation.
func TestRefusalIsDurable(t *testing.T) {
	for _, first := range []MessageKind{MessageCommit, MessageRevoke} {
		d := ReceiveNew(&Message{Kind: first, Transfer: transfer, Job: []byte("job")}, true)
		if !d.Write || d.Record.Phase != TargetRefused {
			t.Fatalf("%v without a reservation yields %+v", first, d)
		}
		for _, late := range []MessageKind{MessageReserve, MessageCommit, MessageReserve, MessageCommit, MessageRevoke} {
			holder := NewLeaseHolder(1)
			d = d.Record.Receive(&Message{Kind: late, Transfer: transfer, Work: 1}, &holder, modelTiming.Lease, 0)
			if d.Record.Phase != TargetRefused || len(d.Send) != 1 || d.Send[0].Kind != MessageRefused {
				t.Errorf("late %v after the refusal yields %+v", late, d)
			}
		}
	}
}

// MessageNoCapacity does not end a committed transfer: a late duplicate may arrive after a later
// MessageReserve has succeeded.
func TestLateNoCapacityDoesNotEndCommittedTransfer(t *testing.T) {
	if d := ReceiveNew(&Message{Kind: MessageReserve, Transfer: transfer, Work: 1}, false); d.Write || d.Send[0].Kind != MessageNoCapacity {
		t.Fatalf("reserve without capacity yields %+v", d)
	}
	p := newTransferPair(t, 1)
	p.applyTarget(p.target.RequestRenewal(&p.holder, p.now))
	d := p.origin.Receive(&Message{Kind: MessageNoCapacity, Transfer: transfer}, &p.grantor, p.now)
	if d.Write || d.Record.Phase != OriginCommitted {
		t.Errorf("late MessageNoCapacity changes the record: %+v", d.Record)
	}
}

// A grant that arrives after lease expiry does not resume the run. The tasks of that run are
// being stopped, and starting them again requires a new run.
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
		t.Errorf("run is %d at the origin and %d at the target, unbounded is %v; want 2, 2 and true", p.origin.Run, p.target.Run, p.target.Unbounded)
	}
}

// A job of a class without restarts runs only once. The target keeps running it while
// partitioned, and the origin waits for the target even if the job is cancelled.
func TestClassWithoutRestartsWaitsForTarget(t *testing.T) {
	p := newTransferPair(t, 0)
	p.applyTarget(p.target.RequestRenewal(&p.holder, p.now))
	p.now += 1000 * modelTiming.ReclaimDelay()
	p.check(OriginCommitted, true)
	if p.applyOrigin(p.origin.Reclaim()); p.origin.Phase != OriginCommitted {
		t.Fatal("job without permitted restarts was reclaimed")
	}
	d := p.origin.Cancel()
	p.origin = d.Record // the message is lost: the target is partitioned
	p.now += 1000 * modelTiming.ReclaimDelay()
	if p.applyOrigin(p.origin.Tick(&p.grantor, p.now, modelTiming)); p.origin.Phase != OriginRevoking {
		t.Fatal("revocation ended without a confirmation by the target")
	}
	p.deliverToTarget(&d.Send[0])
	p.applyTarget(p.target.TasksStopped())
	if p.origin.Phase != OriginWithdrawn || !p.origin.Removable() {
		t.Errorf("record after the confirmation by the target is %+v", p.origin)
	}
}

// A renewal request for a run beyond the restart limit is not granted, and the record is not
// written.
func TestRunBeyondAllowedRestartsIsNotGranted(t *testing.T) {
	for name, c := range map[string]struct {
		maxRestarts, restarts, run int
		granted                    bool
	}{
		"first run":                    {0, 0, 1, true},
		"last run":                     {2, 1, 2, true},
		"run beyond the limit":         {0, 0, 2, false},
		"run beyond restarts left":     {2, 1, 3, false},
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
				t.Errorf("granted is %v, written is %v, want %v for both", granted, decision.Write, c.granted)
			}
		})
	}
}

// A late result finishes a job that was reclaimed, unless the job has already reached a terminal
// state at its origin.
func TestLateResultFinishesReturnedJob(t *testing.T) {
	result := &Message{Kind: MessageResult, Transfer: transfer, Done: TaskSet{3}, Run: 1}
	returned := OriginRecord{Transfer: transfer, Target: "dye", Phase: OriginReturned, Run: 1, MaxRestarts: 2, Done: TaskSet{4}}
	if d := returned.Receive(result, &LeaseGrantor{}, 0); d.Record.Phase != OriginFinished || !d.Write || !d.Record.Done.ContainsAll(TaskSet{7}) {
		t.Errorf("result after the job returned yields %+v", d)
	}
	if d := returned.EndJob().Record.Receive(result, &LeaseGrantor{}, 0); d.Record.Phase != OriginWithdrawn || d.Send[0].Kind != MessageSettle {
		t.Errorf("result after the job ended yields %+v", d)
	}
}
