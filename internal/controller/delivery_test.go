package controller

import (
	"fmt"
	"testing"

	"dunestand/internal/cluster"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// A machine that sends heartbeats but executes no commands gets no more work and is released. The
// tasks that were assigned to it are pending again.
func TestMachineUnresponsiveToCommandsIsReleased(t *testing.T) {
	leader, clock := newLeaderWithJob(t, 8)
	for i := range 4 {
		for sequence := uint64(1); sequence <= 2; sequence++ {
			leader.reconciler.Reconcile(testHeartbeat(machineID(i+1), 1, sequence, 7), clock.Now)
		}
	}
	unresponsive := machineID(0)
	starts := 0
	for sequence := uint64(1); sequence < 10; sequence++ {
		for _, command := range leader.exchange(testHeartbeat(unresponsive, 1, sequence, 7)) {
			if command.Verb == protocol.VerbStart {
				starts++
			}
		}
	}
	if starts == 0 || starts > cluster.MaxUndeliveredCommands*modelMachineCPUs {
		t.Errorf("%d starts sent to a machine that executes no commands", starts)
	}
	if machine := leader.state.Machines[unresponsive]; leader.scheduler.MachineSchedulable(machine, clock.Now) || len(machine.Attempts) > 0 {
		t.Error("a machine that is unresponsive to commands is given work")
	}
	if lost := leader.detector.LostMachines(clock.Now); !lost[unresponsive] || len(lost) != 1 {
		t.Errorf("to be released: %v", lost)
	}
}

// A machine that counts as unresponsive to commands is sent none, so it cannot show by executing
// one that it is responsive again. It shows this by keeping its incarnation beyond its lease: its
// agent begins a new incarnation when the lease expires without a response. Otherwise, when too many
// machines are unresponsive for any of them to be released, they would never get work again
// although jobs are pending.
func TestMachineThatKeepsItsIncarnationGetsWorkAgain(t *testing.T) {
	leader, clock := newLeaderWithJob(t, 8)
	const id = "i-000000"
	sequence := uint64(0)
	exchange := func(incarnation uint64) *cluster.Machine {
		sequence++
		leader.exchange(testHeartbeat(id, incarnation, sequence, 7))
		return leader.state.Machines[id]
	}
	for range 10 {
		exchange(1)
	}
	machine := exchange(1)
	if !machine.IgnoresCommands() {
		t.Fatal("the machine does not count as unresponsive to commands")
	}
	// Responses are still lost: a new incarnation begins with each lease.
	for incarnation := uint64(2); incarnation < 5; incarnation++ {
		for range 8 {
			clock.Now += modelLease / 8
			if exchange(incarnation); !machine.IgnoresCommands() {
				t.Fatal("a machine with a new incarnation in each lease counts as responsive to commands")
			}
		}
	}
	for range 12 {
		clock.Now += modelLease / 8
		if exchange(4); machine.UndeliveredCommands == 0 && leader.scheduler.MachineSchedulable(machine, clock.Now) {
			return
		}
	}
	t.Error("a machine that keeps its incarnation beyond its lease counts as unresponsive to commands")
}

// A machine that receives every other response does not count as unresponsive to commands.
func TestLostResponsesAreTolerated(t *testing.T) {
	leader, clock := newLeaderWithJob(t, 8)
	var exited []protocol.TaskStatus
	for sequence := uint64(1); sequence < 6; sequence++ {
		heartbeat := testHeartbeat("i-000001", 1, sequence, 7)
		heartbeat.Tasks = exited
		commands := leader.exchange(heartbeat)
		if sequence%2 == 0 { // every other response is lost
			continue
		}
		exited = nil
		for _, command := range commands {
			if command.Verb == protocol.VerbStart {
				var index int
				if _, err := fmt.Sscanf(command.Task, testJob+"/%d", &index); err != nil {
					t.Fatal(err)
				}
				exited = append(exited, protocol.TaskStatus{
					Job:     testJob,
					Index:   index,
					Attempt: command.Attempt,
					Stage:   protocol.TaskExited,
					Cause:   protocol.CauseDone,
				})
			}
		}
	}
	if machine := leader.state.Machines["i-000001"]; machine.IgnoresCommands() || !leader.scheduler.MachineSchedulable(machine, clock.Now) {
		t.Errorf("%d responses count as undelivered", machine.UndeliveredCommands)
	}
}

// A duplicate of a heartbeat may arrive late, also when its machine is released or unknown to this
// leader. It adds no capacity, reconciles no machine and renews no lease.
func TestLateHeartbeatsChangeNothing(t *testing.T) {
	leader, clock := newLeaderWithJob(t, 1)
	// A machine that worked under an earlier leader and no longer exists.
	for sequence := uint64(5); sequence < 9; sequence++ {
		if commands := leader.exchange(testHeartbeat("i-000001", 3, sequence, 6)); len(commands) > 0 {
			t.Fatalf("a machine that has not shown this leader's token is sent %v", commands)
		}
	}
	if leader.scheduler.MachineSchedulable(leader.state.Machines["i-000001"], clock.Now) {
		t.Error("a machine that has not shown this leader's token may be given work")
	}
	// A machine that this leader released long ago.
	leader.reconciler.Reconcile(testHeartbeat("i-000002", 1, 1, 7), clock.Now)
	leader.state.RemoveMachine(leader.state.Machines["i-000002"], clock.Now)
	leader.state.Released.Add("i-000002", clock.Now)
	clock.Now += 600 * units.Second
	if machine := leader.reconciler.Reconcile(testHeartbeat("i-000002", 1, 9, 7), clock.Now); machine != nil || leader.state.Machines["i-000002"] != nil {
		t.Error("a released machine is added again")
	}
	// A known machine: its older heartbeats have no effect.
	machine := leader.reconciler.Reconcile(testHeartbeat("i-000003", 2, 4, 7), clock.Now)
	lastHeartbeat := machine.LastHeartbeat
	clock.Now += 5 * units.Second
	for _, old := range []*protocol.Heartbeat{testHeartbeat("i-000003", 2, 4, 7), testHeartbeat("i-000003", 1, 99, 7)} {
		if leader.reconciler.Reconcile(old, clock.Now) != nil || machine.LastHeartbeat != lastHeartbeat {
			t.Error("an old heartbeat renews the machine's lease")
		}
	}
	// An unreconciled machine: a heartbeat with an earlier token does not reconcile it.
	job := leader.state.Jobs[testJob]
	leader.state.Unreconciled.Mark(job, "i-000004")
	leader.reconciler.Reconcile(testHeartbeat("i-000004", 1, 1, 6), clock.Now)
	if !job.UnreconciledMachines["i-000004"] {
		t.Error("a heartbeat from before this leader reconciles a machine")
	}
}

// A machine's response to the broadcast of the fencing token reconciles it only if the leader has
// received no heartbeat of that machine before. After a heartbeat, a start may be in flight that
// the response does not show. If the leader considered that start lost, the task would run twice.
func TestBroadcastResponseCountsOnlyBeforeTheFirstHeartbeat(t *testing.T) {
	leader, clock := newLeaderWithJob(t, 2)
	job := leader.state.Jobs[testJob]
	leader.state.Unreconciled.Mark(job, "i-000001")
	leader.state.EnsureMachine("i-000001", "m", "a", true, clock.Now)
	leader.broadcaster.ReconcileResponse(testHeartbeat("i-000001", 1, 5, 7))
	if len(job.UnreconciledMachines) > 0 {
		t.Error("a response that shows this leader's token does not reconcile the machine")
	}
	if commands := leader.exchange(testHeartbeat("i-000001", 1, 6, 7)); len(commands) != 2 || commands[0].Verb != protocol.VerbStart {
		t.Fatalf("no starts: %v", commands)
	}
	leader.broadcaster.ReconcileResponse(testHeartbeat("i-000001", 1, 7, 7))
	if len(job.LiveAttempts) != 2 {
		t.Error("starts in flight are considered lost")
	}
	// A response does not add a machine that is not in the state.
	if leader.broadcaster.ReconcileResponse(testHeartbeat("i-000009", 1, 1, 7)); leader.state.Machines["i-000009"] != nil {
		t.Error("an unknown machine is added")
	}
}
