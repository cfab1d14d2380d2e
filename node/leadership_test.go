package node

import (
	"context"
	"testing"
	"time"

	"dunestand/internal/standin"
)

// A new leader cannot read the records for longer than cancel_s, though it holds its
// lease: it knows of no cancellation that its predecessor confirmed, and must not keep
// the machines at work.
func TestLeaderThatCannotRestoreKeepsNoCancelledTaskRunning(t *testing.T) {
	simulate(t, deploymentOptions{}, func(d *deployment) {
		jobs := d.startEndlessJobs(3, 6)
		leader := d.leader()
		for _, j := range jobs {
			if !d.cancelConfirmed(leader, j.ID) {
				t.Error("the cancellation was not confirmed")
			}
		}
		d.stop(leader)
		d.update(func() { d.kvListDelay = 4 * time.Second })
		d.sleep(2 * defaultCancelTimeout)
		d.update(func() { d.kvListDelay = 0 })
		d.start(leader)
		d.sleep(10 * time.Second)
	})
}

// The leader loses the state service and the other controllers; workers and users
// still reach it, and jobs are cancelled through the new one.
func TestCancellationsConfirmWhileOldLeaderIsIsolatedWithItsWorkers(t *testing.T) {
	simulate(t, deploymentOptions{}, func(d *deployment) {
		jobs := d.startEndlessJobs(4, 4)
		old := d.leader()
		d.rejectKV(old, true)
		d.partitionPeers(old, true)
		d.sleep(4500 * time.Millisecond)
		for _, j := range jobs {
			d.cancel(j.ID)
		}
		d.submit(d.newJob(6, 5*time.Second))
		d.sleep(defaultCancelTimeout + 10*time.Second)
		if d.invariants.ConfirmedCancellations() != len(jobs) {
			t.Errorf("%d of %d cancellations are confirmed", d.invariants.ConfirmedCancellations(), len(jobs))
		}
	})
}

// A leader ends while most machines with long tasks hear no answer.
// Their tasks end with their leases, and then begin on the others, though those that get no answers
// report on and never show the new term.
func TestTasksRestartAfterFailoverWithLostResponses(t *testing.T) {
	simulate(t, deploymentOptions{machines: 8}, func(d *deployment) {
		for range 8 {
			d.submit(d.newJob(4, 15*time.Second))
		}
		d.waitUntil("all machines are busy", func() bool { return len(d.busyMachines()) == 8 })
		injectFault(d.allMachines()[:6], standin.Fault{ResponsesLost: true})
		d.restart(d.leader(), time.Second)
		began := d.invariants.Starts()
		d.sleep(workerLease + 4*time.Second)
		if d.invariants.Starts() == began {
			t.Error("nothing began, though machines that hear have room")
		}
	})
}

// Leaders change ten times in two minutes, inside an outage too, with cancellations
// between.
func TestTenFailoversBreakNoInvariant(t *testing.T) {
	simulate(t, deploymentOptions{}, func(d *deployment) {
		jobs := d.startEndlessJobs(3, 2)
		for i := range 10 {
			d.submit(d.newJob(3, 20*time.Second))
			away := append(d.busyMachines(), d.allMachines()...)[:1]
			injectFault(away, standin.Fault{Partitioned: true})
			if i == 4 || i == 7 {
				d.setKVOutage(true)
			}
			d.restart(d.leaderOr(i), time.Duration(i)*300*time.Millisecond)
			if i < len(jobs) {
				d.cancel(jobs[i].ID)
			}
			d.sleep(7 * time.Second)
			injectFault(away, standin.Fault{})
			d.sleep(time.Second)
			d.setKVOutage(false)
		}
	})
}

// Jobs of two or three tasks end far apart across changes of the leader, which come
// right after an end was reported. No completion is lost, so nothing runs again.
func TestCompletionsSurviveFailover(t *testing.T) {
	simulate(t, deploymentOptions{}, func(d *deployment) {
		tasks := 0
		var jobs []standin.JobInfo
		for i := range 6 {
			j := d.newJob(2+i%2, time.Duration(20+4*i)*time.Second)
			d.submit(j)
			jobs = append(jobs, j)
			tasks += j.Tasks
		}
		d.waitUntil("all run", func() bool { return d.runningTasks(jobs) == tasks })
		for i := range 3 {
			leader := d.leader()
			on := d.runningTasks(jobs)
			d.waitUntil("a task ends", func() bool { return d.runningTasks(jobs) < on })
			d.sleep(700 * time.Millisecond) // the end is reported and answered
			d.restart(leader, time.Duration(i)*time.Second)
		}
		d.sleep(60 * time.Second)
		if n := d.invariants.Starts(); n != tasks {
			t.Errorf("%d starts of %d tasks", n, tasks)
		}
	})
}

// Controllers end and are back within a fraction of a second, in the midst of an
// election too; all end, and one returns before the others.
func TestImmediateRestartsBreakNoInvariant(t *testing.T) {
	simulate(t, deploymentOptions{}, func(d *deployment) {
		injectFault(d.allMachines(), standin.Fault{DuplicatedShare: 0.3, DelayedShare: 0.1})
		for round := range 4 {
			d.submit(d.newJob(5, 12*time.Second))
			leader := d.leader()
			d.restart(leader, 100*time.Millisecond)
			d.restart(leader, time.Duration(round)*400*time.Millisecond)
			d.sleep(4 * time.Second)
			for i := range d.nodes {
				d.stop(i)
			}
			d.sleep(time.Duration(round) * 700 * time.Millisecond)
			d.start(round % defaultNodes)
			d.sleep(2 * time.Second)
			for i := range d.nodes {
				if i != round%defaultNodes {
					d.start(i)
				}
			}
			d.sleep(5 * time.Second)
		}
	})
}

// Reports are held back until a new leader has acted, and then arrive there: they show
// machines empty that were given tasks since, and reach nobody now.
func TestHeartbeatsDelayedPastFailoverBreakNoInvariant(t *testing.T) {
	simulate(t, deploymentOptions{}, func(d *deployment) {
		held := map[string]func(context.Context, string){}
		for _, m := range d.allMachines() {
			held[m.ID] = m.CaptureHeartbeat()
		}
		j := d.newJob(12, 20*time.Second)
		d.submit(j)
		d.waitUntil("it runs", func() bool { return d.invariants.RunningTasks(j.ID) == 12 })
		leader, busy := d.leader(), d.busyMachines()
		injectFault(busy, standin.Fault{HeartbeatsLost: true})
		d.restart(leader, 300*time.Millisecond)
		next := d.nodes[d.leader()].name
		for _, m := range busy {
			held[m.ID](d.ctx, next)
		}
		d.sleep(2 * workerLease)
	})
}

// A leader that has lost the state service places what waits, and ends. What it could
// not write down must not have begun: the next leader would begin it elsewhere.
func TestTasksPlacedWithoutKVStoreDoNotStart(t *testing.T) {
	simulate(t, deploymentOptions{machines: 4, quotaLimit: 40}, func(d *deployment) {
		var full []standin.JobInfo // a task ends on each machine every three seconds
		for range 4 {
			j := d.newJob(4, 12*time.Second)
			d.submit(j)
			full = append(full, j)
		}
		d.waitUntil("all machines are full", func() bool { return d.runningTasks(full) == 16 })
		waits := d.newJob(6, endlessRunTime)
		d.submit(waits)
		leader := d.leader()
		d.sleep(1500 * time.Millisecond)
		d.rejectKV(leader, true)
		d.waitUntil("tasks end", func() bool { return d.runningTasks(full) <= 12 })
		d.sleep(1300 * time.Millisecond)
		injectFault(d.allMachines()[:2], standin.Fault{Partitioned: true})
		d.stop(leader)
		d.rejectKV(leader, false)
		d.sleep(workerLease)
		d.start(leader)
		d.cancel(waits.ID)
	})
}

// All controllers are away for longer than lease_s.
func TestControllersDownLongerThanLeaseBreakNoInvariant(t *testing.T) {
	simulate(t, deploymentOptions{}, func(d *deployment) {
		jobs := d.startEndlessJobs(2, 3)
		d.submit(d.newJob(8, 20*time.Second))
		d.sleep(2 * time.Second)
		if !d.cancelConfirmed(d.leader(), jobs[0].ID) {
			t.Error("the cancellation was not confirmed")
		}
		for i := range d.nodes {
			d.stop(i)
		}
		d.sleep(workerLease + 5*time.Second)
		for i := range d.nodes {
			d.start(i)
		}
		d.cancel(jobs[1].ID)
		d.sleep(5 * time.Second)
	})
}
