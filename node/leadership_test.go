package node

import (
	"context"
	"testing"
	"time"

	"dunestand/internal/fake"
)

// A new leader holds its lease but cannot read the records for longer than cancel_s. It does not
// know of the cancellations that its predecessor confirmed, and must not renew the machines'
// leases.
func TestLeaderThatCannotRestoreKeepsNoCancelledTaskRunning(t *testing.T) {
	simulate(t, deploymentOptions{}, func(d *deployment) {
		jobs := d.startEndlessJobs(3, 6)
		leader := d.leader()
		for _, job := range jobs {
			if !d.cancelConfirmed(leader, job.ID) {
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

// The leader loses access to the key-value store and the other controllers while workers and users
// still reach it. Cancellations through the new leader must still be confirmed.
func TestCancellationsConfirmWhileOldLeaderIsIsolatedWithItsWorkers(t *testing.T) {
	simulate(t, deploymentOptions{}, func(d *deployment) {
		jobs := d.startEndlessJobs(4, 4)
		oldLeader := d.leader()
		d.setKVRejection(oldLeader, true)
		d.partitionPeers(oldLeader, true)
		d.sleep(4500 * time.Millisecond)
		for _, job := range jobs {
			d.cancel(job.ID)
		}
		d.submit(d.newJob(6, 5*time.Second))
		d.sleep(defaultCancelTimeout + 10*time.Second)
		if d.invariants.ConfirmedCancellations() != len(jobs) {
			t.Errorf("%d of %d cancellations are confirmed", d.invariants.ConfirmedCancellations(), len(jobs))
		}
	})
}

// A leader stops while most machines, which run long tasks, receive no responses. Their tasks end
// with their leases and then start on the other machines, although the machines without responses
// continue to send heartbeats and never show the new fencing token.
func TestTasksRestartAfterFailoverWithLostResponses(t *testing.T) {
	simulate(t, deploymentOptions{machines: 8}, func(d *deployment) {
		for range 8 {
			d.submit(d.newJob(4, 15*time.Second))
		}
		d.waitUntil("all machines are busy", func() bool { return len(d.busyMachines()) == 8 })
		injectFault(d.allMachines()[:6], fake.Fault{ResponsesLost: true})
		d.restart(d.leader(), time.Second)
		before := d.invariants.Starts()
		d.sleep(workerLease + 4*time.Second)
		if d.invariants.Starts() == before {
			t.Error("no task started, although machines that receive responses have free capacity")
		}
	})
}

// The leader changes ten times in two minutes, also during outages of the key-value store, and
// jobs are cancelled between the failovers.
func TestTenFailoversBreakNoInvariant(t *testing.T) {
	simulate(t, deploymentOptions{}, func(d *deployment) {
		jobs := d.startEndlessJobs(3, 2)
		for i := range 10 {
			d.submit(d.newJob(3, 20*time.Second))
			isolated := append(d.busyMachines(), d.allMachines()...)[:1]
			injectFault(isolated, fake.Fault{Partitioned: true})
			if i == 4 || i == 7 {
				d.setKVOutage(true)
			}
			d.restart(d.leaderOr(i), time.Duration(i)*300*time.Millisecond)
			if i < len(jobs) {
				d.cancel(jobs[i].ID)
			}
			d.sleep(7 * time.Second)
			injectFault(isolated, fake.Fault{})
			d.sleep(time.Second)
			d.setKVOutage(false)
		}
	})
}

// Tasks end at different times across several failovers. Each failover follows right after a
// heartbeat has reported the completion of a task. No completion is lost, so no task runs again.
func TestCompletionsSurviveFailover(t *testing.T) {
	simulate(t, deploymentOptions{}, func(d *deployment) {
		tasks := 0
		var jobs []fake.JobInfo
		for i := range 6 {
			job := d.newJob(2+i%2, time.Duration(20+4*i)*time.Second)
			d.submit(job)
			jobs = append(jobs, job)
			tasks += job.Tasks
		}
		d.waitUntil("all tasks run", func() bool { return d.runningTasks(jobs) == tasks })
		for i := range 3 {
			leader := d.leader()
			running := d.runningTasks(jobs)
			d.waitUntil("a task ends", func() bool { return d.runningTasks(jobs) < running })
			d.sleep(700 * time.Millisecond) // until the heartbeat that reports the completion has got its response
			d.restart(leader, time.Duration(i)*time.Second)
		}
		d.sleep(60 * time.Second)
		if n := d.invariants.Starts(); n != tasks {
			t.Errorf("%d starts of %d tasks", n, tasks)
		}
	})
}

// Controllers stop and restart within a fraction of a second, also during a campaign. Then all
// stop, and one returns before the others.
func TestImmediateRestartsBreakNoInvariant(t *testing.T) {
	simulate(t, deploymentOptions{}, func(d *deployment) {
		injectFault(d.allMachines(), fake.Fault{DuplicatedShare: 0.3, DelayedShare: 0.1})
		for round := range 4 {
			d.submit(d.newJob(5, 12*time.Second))
			leader := d.leader()
			d.restart(leader, 100*time.Millisecond)
			d.restart(leader, time.Duration(round)*400*time.Millisecond)
			d.sleep(4 * time.Second)
			for i := range d.controllers {
				d.stop(i)
			}
			d.sleep(time.Duration(round) * 700 * time.Millisecond)
			d.start(round % defaultControllers)
			d.sleep(2 * time.Second)
			for i := range d.controllers {
				if i != round%defaultControllers {
					d.start(i)
				}
			}
			d.sleep(5 * time.Second)
		}
	})
}

// Heartbeats sent before the machines received tasks arrive only after a new leader has acted, and
// thus lack those tasks. Later heartbeats are lost.
func TestHeartbeatsDelayedPastFailoverBreakNoInvariant(t *testing.T) {
	simulate(t, deploymentOptions{}, func(d *deployment) {
		deliver := map[string]func(context.Context, string){}
		for _, m := range d.allMachines() {
			deliver[m.ID] = m.CaptureHeartbeat()
		}
		job := d.newJob(12, 20*time.Second)
		d.submit(job)
		d.waitUntil("all tasks of the job run", func() bool { return d.invariants.RunningTasks(job.ID) == 12 })
		leader, busy := d.leader(), d.busyMachines()
		injectFault(busy, fake.Fault{HeartbeatsLost: true})
		d.restart(leader, 300*time.Millisecond)
		next := d.controllers[d.leader()].name
		for _, m := range busy {
			deliver[m.ID](d.ctx, next)
		}
		d.sleep(2 * workerLease)
	})
}

// A leader without access to the key-value store places pending tasks, and stops. A task whose
// placement was not stored must not have started, because the next leader would start it
// elsewhere.
func TestTasksPlacedWithoutKVStoreDoNotStart(t *testing.T) {
	simulate(t, deploymentOptions{machines: 4, quotaLimit: 40}, func(d *deployment) {
		var fillingJobs []fake.JobInfo // on each machine a task ends every three seconds
		for range 4 {
			job := d.newJob(4, 12*time.Second)
			d.submit(job)
			fillingJobs = append(fillingJobs, job)
		}
		d.waitUntil("all machines are full", func() bool { return d.runningTasks(fillingJobs) == 16 })
		pending := d.newJob(6, endlessRunTime)
		d.submit(pending)
		leader := d.leader()
		d.sleep(1500 * time.Millisecond)
		d.setKVRejection(leader, true)
		d.waitUntil("tasks end", func() bool { return d.runningTasks(fillingJobs) <= 12 })
		d.sleep(1300 * time.Millisecond)
		injectFault(d.allMachines()[:2], fake.Fault{Partitioned: true})
		d.stop(leader)
		d.setKVRejection(leader, false)
		d.sleep(workerLease)
		d.start(leader)
		d.cancel(pending.ID)
	})
}

// All controllers are down for longer than lease_s.
func TestControllersDownLongerThanLeaseBreakNoInvariant(t *testing.T) {
	simulate(t, deploymentOptions{}, func(d *deployment) {
		jobs := d.startEndlessJobs(2, 3)
		d.submit(d.newJob(8, 20*time.Second))
		d.sleep(2 * time.Second)
		if !d.cancelConfirmed(d.leader(), jobs[0].ID) {
			t.Error("the cancellation was not confirmed")
		}
		for i := range d.controllers {
			d.stop(i)
		}
		d.sleep(workerLease + 5*time.Second)
		for i := range d.controllers {
			d.start(i)
		}
		d.cancel(jobs[1].ID)
		d.sleep(5 * time.Second)
	})
}
