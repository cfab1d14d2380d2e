package federation

import (
	"testing"

	"dunestand/internal/units"
)

var transfer = TransferID{Origin: "mill", Job: "j-000001", Incarnation: 1}

// pair is an origin and a target of one transfer with messages that arrive at once, in
// the same time.
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

func newTransferPair(t *testing.T, allowance int) *transferPair {
	p := &transferPair{t: t, holder: NewLeaseHolder(1)}
	p.fromOrigin(BeginTransfer(transfer, HandOverRequest{Target: "dye", Description: []byte("job"), Work: 10}, allowance))
	return p
}

func (p *transferPair) fromOrigin(d Decision[OriginRecord]) {
	p.origin = d.Record
	if d.Write {
		p.writes++
	}
	for i := range d.Send {
		p.toTarget(&d.Send[i])
	}
}

func (p *transferPair) toTarget(m *Message) {
	p.messages++
	if p.target == nil {
		p.fromTarget(ReceiveNew(m, true))
		return
	}
	p.fromTarget(p.target.Receive(m, &p.holder, modelTiming.Lease, p.now))
}

func (p *transferPair) fromTarget(d Decision[TargetRecord]) {
	if d.Write || d.Remove {
		p.writes++
	}
	p.target = &d.Record
	if d.Remove {
		p.target = nil
	}
	for i := range d.Send {
		p.messages++
		p.fromOrigin(p.origin.Receive(&d.Send[i], &p.grantor, p.now))
	}
}

func (p *transferPair) check(phase OriginPhase, mayRun bool) {
	p.t.Helper()
	if p.origin.Phase != phase {
		p.t.Fatalf("the origin is in phase %d, want %d", p.origin.Phase, phase)
	}
	if got := p.target != nil && p.target.MayRun(&p.holder, p.now); got != mayRun {
		p.t.Fatalf("the target may run: %v, want %v", got, mayRun)
	}
}

// A hand-over without trouble, and what it costs: docs/federation.md gives these figures.
func TestHandOverCosts(t *testing.T) {
	p := newTransferPair(t, 1)
	p.check(Committed, false)
	p.fromTarget(p.target.RequestRenewal(&p.holder, p.now))
	p.check(Committed, true)
	if p.messages != 6 || p.writes != 6 {
		t.Errorf("until the first task: %d messages and %d writes, want 6 and 6", p.messages, p.writes)
	}
	p.now += modelTiming.Lease / 2
	p.fromTarget(p.target.RequestRenewal(&p.holder, p.now))
	if p.messages != 8 || p.writes != 6 {
		t.Errorf("after a renewal: %d messages and %d writes, want 2 more and none", p.messages, p.writes)
	}
	p.fromTarget(p.target.TasksCompleted(TaskSet{1}, true))
	p.check(OriginFinished, false)
	if p.target != nil || p.messages != 10 || p.writes != 9 {
		t.Errorf("in all: %d messages and %d writes, want 10 and 9", p.messages, p.writes)
	}
}

// A refusal or a result of an earlier transfer says nothing of the next one.
func TestMessageOfEarlierIncarnationChangesNothing(t *testing.T) {
	p := newTransferPair(t, 3)
	p.origin.Transfer.Incarnation = 2
	for _, kind := range []MessageKind{MessageRefused, MessageNoCapacity, MessageReserved, MessageAccepted} {
		d := p.origin.Receive(&Message{Kind: kind, Transfer: transfer}, &p.grantor, p.now)
		if d.Write || d.Record.Phase != Committed {
			t.Errorf("%v of an earlier transfer: phase %d", kind, d.Record.Phase)
		}
		if len(d.Send) != 1 || d.Send[0].Transfer != transfer {
			t.Errorf("%v of an earlier transfer is answered by %+v", kind, d.Send)
		}
	}
}

// What a target refused it never takes, though late copies of all messages follow; and it
// takes no commitment without a reservation.
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

// That there is no room now settles nothing: a copy of that answer may come after a later
// one that promised room.
func TestNoCapacityIsNoRefusal(t *testing.T) {
	if d := ReceiveNew(&Message{Kind: MessageReserve, Transfer: transfer, Work: 1}, false); d.Write || d.Send[0].Kind != MessageNoCapacity {
		t.Fatalf("without room: %+v", d)
	}
	p := newTransferPair(t, 1)
	p.fromTarget(p.target.RequestRenewal(&p.holder, p.now))
	d := p.origin.Receive(&Message{Kind: MessageNoCapacity, Transfer: transfer}, &p.grantor, p.now)
	if d.Write || d.Record.Phase != Committed {
		t.Errorf("a late answer ends the transfer: %+v", d.Record)
	}
}

// A grant that comes after the lease has lapsed does not let the run go on: its tasks are
// being stopped, and starting them again is another run.
func TestExpiredRunIsNotResumed(t *testing.T) {
	p := newTransferPair(t, 1)
	p.fromTarget(p.target.RequestRenewal(&p.holder, p.now))
	p.now += modelTiming.Lease - 1
	asked := p.target.RequestRenewal(&p.holder, p.now)
	grant := p.origin.Receive(&asked.Send[0], &p.grantor, p.now)
	p.now += 1
	p.check(Committed, false)
	p.toTarget(&grant.Send[0])
	p.check(Committed, false)
	p.fromTarget(p.target.RequestRenewal(&p.holder, p.now))
	p.check(Committed, true)
	if p.origin.Run != 2 || p.target.Run != 2 || !p.target.Unbounded {
		t.Errorf("origin's run %d, target's %d, unbounded %v; want the second and last", p.origin.Run, p.target.Run, p.target.Unbounded)
	}
}

// A job of a class without reruns is begun once; its target goes on without the origin,
// which waits for it, also when the job is cancelled.
func TestClassWithoutRestartsWaitsForTarget(t *testing.T) {
	p := newTransferPair(t, 0)
	p.fromTarget(p.target.RequestRenewal(&p.holder, p.now))
	p.now += 1000 * modelTiming.ReclaimDelay()
	p.check(Committed, true)
	if p.fromOrigin(p.origin.Reclaim()); p.origin.Phase != Committed {
		t.Fatal("it is taken back")
	}
	d := p.origin.Cancel()
	p.origin = d.Record // the target is cut off
	p.now += 1000 * modelTiming.ReclaimDelay()
	if p.fromOrigin(p.origin.Tick(&p.grantor, p.now, modelTiming)); p.origin.Phase != OriginRevoking {
		t.Fatal("its end is taken for certain")
	}
	p.toTarget(&d.Send[0])
	p.fromTarget(p.target.TasksStopped())
	if p.origin.Phase != OriginWithdrawn || !p.origin.Removable() {
		t.Errorf("after its target was heard: %+v", p.origin)
	}
}

// A result counts though the job was taken back, unless its user was told of its end.
func TestLateResultCounts(t *testing.T) {
	result := &Message{Kind: MessageResult, Transfer: transfer, Done: TaskSet{3}, Run: 1}
	back := OriginRecord{Transfer: transfer, Target: "dye", Phase: OriginReturned, Run: 1, MaxRestarts: 2, Done: TaskSet{4}}
	if d := back.Receive(result, &LeaseGrantor{}, 0); d.Record.Phase != OriginFinished || !d.Write || !d.Record.Done.ContainsAll(TaskSet{7}) {
		t.Errorf("a result after the job returned: %+v", d)
	}
	if d := back.JobEnded().Record.Receive(result, &LeaseGrantor{}, 0); d.Record.Phase != OriginWithdrawn || d.Send[0].Kind != MessageSettle {
		t.Errorf("a result after the job ended: %+v", d)
	}
}
