package reconciler

import (
	"testing"

	"dunestand/internal/cluster"
	"dunestand/internal/protocol"
)

// heartbeatOf returns a heartbeat of the named machine that lists attempts of task 0 as running.
func heartbeatOf(machine string, sequence uint64, attempts ...uint64) *protocol.Heartbeat {
	h := heartbeat(1, sequence)
	h.Machine = machine
	for _, number := range attempts {
		h.Tasks = append(h.Tasks, protocol.TaskStatus{Job: "j-000001", Attempt: number, Stage: protocol.TaskRunning})
	}
	return h
}

// Two machines report attempts of the same task, in either order: the later attempt continues. The
// earlier one is sent a stop with every response until it is gone, since a response may be lost.
func TestEarlierOfTwoAttemptsIsStoppedUntilItIsGone(t *testing.T) {
	for _, order := range [][]uint64{{1, 2}, {2, 1}} {
		rc, job := newTestReconciler(t)
		machines := map[uint64]string{1: "i-000011", 2: "i-000012"}
		for _, number := range order {
			rc.Reconcile(heartbeatOf(machines[number], 1, number), testNow)
		}
		for sequence := uint64(2); sequence < 4; sequence++ {
			later := heartbeatOf(machines[2], sequence, 2)
			if commands := rc.Commands(rc.Reconcile(later, testNow), later, testNow); len(commands) != 0 {
				t.Errorf("order %v: the later attempt gets %v, want no command", order, commands)
			}
			earlier := heartbeatOf(machines[1], sequence, 1)
			commands := rc.Commands(rc.Reconcile(earlier, testNow), earlier, testNow)
			if len(commands) != 1 || commands[0].Verb != protocol.VerbStop || commands[0].Attempt != 1 {
				t.Errorf("order %v: the earlier attempt gets %v, want one stop", order, commands)
			}
		}
		rc.Reconcile(heartbeatOf(machines[1], 4), testNow)
		if live := job.LiveAttempts[0]; live == nil || live.Number != 2 || live.HasDuplicate() || job.Pending() != 1 {
			t.Errorf("order %v: latest attempt %v with %d tasks pending, want only attempt 2 and 1 pending", order, live, job.Pending())
		}
	}
}

// The leader first applies a delayed heartbeat that lists an attempt which the machine has since
// replaced. The machine's current heartbeat lists the new attempt, which continues.
func TestLaterAttemptOnTheSameMachineReplacesTheEarlier(t *testing.T) {
	rc, job := newTestReconciler(t)
	rc.Reconcile(heartbeatOf(testMachine, 1, 1), testNow)
	own := heartbeatOf(testMachine, 9, 2)
	if commands := rc.Commands(rc.Reconcile(own, testNow), own, testNow); len(commands) != 0 {
		t.Errorf("the later attempt gets %v, want no command", commands)
	}
	if live := job.LiveAttempts[0]; live == nil || live.Number != 2 || live.HasDuplicate() {
		t.Errorf("latest attempt %v, want only attempt 2", live)
	}
}

// A machine reports an attempt of a task that was just assigned to another machine. The start is held
// back until the reported attempt is gone.
func TestStartWaitsForAnotherAttemptToBeGone(t *testing.T) {
	rc, job := newTestReconciler(t)
	m := rc.Reconcile(heartbeat(1, 1), testNow)
	attempt := rc.State.Assign(job, m, rc.State.NextAttempt(testToken), testNow)
	rc.Reconcile(heartbeatOf("i-000012", 1, 1), testNow)
	commit(rc.State)
	if commands := rc.Commands(m, heartbeat(1, 1), testNow); len(commands) != 0 {
		t.Fatalf("sent while another attempt runs: %v", commands)
	}
	rc.Reconcile(heartbeatOf("i-000012", 2), testNow)
	commands := rc.Commands(m, heartbeat(1, 1), testNow)
	if len(commands) != 1 || commands[0].Attempt != attempt.Number || attempt.Stage != cluster.Sent {
		t.Errorf("commands %v once the other attempt is gone, want the held start", commands)
	}
}

// A late report that an unknown attempt of a service's replica has ended does not stop the attempt
// that runs now.
func TestLateReplicaExitDoesNotStopTheRunningReplica(t *testing.T) {
	rc, job := newTestReconciler(t)
	job.Spec.Kind = protocol.Service
	rc.Reconcile(heartbeatOf("i-000012", 1, 2), testNow)
	late := heartbeatOf("i-000011", 1, 1)
	late.Tasks[0].Stage, late.Tasks[0].Cause = protocol.TaskExited, protocol.CauseDone
	rc.Reconcile(late, testNow)
	if live := job.LiveAttempts[0]; live == nil || live.Stopping {
		t.Errorf("running replica: %+v, want it live and not stopping", live)
	}
}
