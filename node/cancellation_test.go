package node

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"dunestand/internal/fake"
)

// The key-value store rejects the leader alone, users cancel jobs, and then the store is down for
// all controllers for longer than cancel_s, while workers send heartbeats to the old leader.
// Whichever controller confirms a cancellation, and at whatever time, the tasks are gone within
// cancel_s.
func TestConfirmedCancellationHoldsAcrossKVOutage(t *testing.T) {
	confirmed := 0
	outages := []time.Duration{200 * time.Millisecond, 1300 * time.Millisecond, 1700 * time.Millisecond, 2500 * time.Millisecond, 6 * time.Second, 9 * time.Second}
	for ms := 3200; ms <= 5000; ms += 150 { // around the campaign of the next leader
		outages = append(outages, time.Duration(ms)*time.Millisecond)
	}
	for i, after := range outages {
		t.Run(fmt.Sprintf("outage after %v", after), func(t *testing.T) {
			simulate(t, deploymentOptions{seed: uint64(i)}, func(d *deployment) {
				jobs := d.startEndlessJobs(6, 4)
				leader := d.leader()
				d.cancel(jobs[0].ID)
				d.setKVRejection(leader, true)
				for i, job := range jobs[1:] { // each user repeats the request every second
					time.AfterFunc(time.Duration(i)*200*time.Millisecond, func() { d.cancel(job.ID) })
				}
				d.sleep(after)
				d.setKVOutage(true)
				d.sleep(defaultCancelTimeout + 12*time.Second)
				d.setKVRejection(leader, false)
				d.setKVOutage(false)
				d.sleep(20 * time.Second)
				confirmed += d.invariants.ConfirmedCancellations()
			})
		})
	}
	if confirmed < 20 {
		t.Errorf("only %d cancellations were confirmed", confirmed)
	}
}

// cancel_s is shorter than the workers' lease, so a machine that no command reaches can run a task
// for longer than cancel_s. No controller may then confirm a cancellation, neither the leader nor
// a follower nor one that reads the records, until all tasks of the job are gone.
func TestCancellationIsConfirmedOnlyAfterTasksAreGone(t *testing.T) {
	simulate(t, deploymentOptions{cancelTimeout: workerLease * 6 / 10}, func(d *deployment) {
		jobs := d.startEndlessJobs(4, 4)
		for i, m := range d.busyMachines() {
			m.InjectFault(fake.Fault{ResponsesLost: i%3 == 0, HeartbeatsLost: i%3 == 1})
		}
		d.cancel(jobs[0].ID)
		d.sleep(time.Second)
		leader := d.leader()
		d.cancel(jobs[1].ID)
		d.setKVRejection(leader, true)
		d.sleep(5 * time.Second)
		d.cancel(jobs[2].ID)
		d.cancel(jobs[3].ID)
		d.sleep(2 * workerLease)
		if confirmed := d.invariants.ConfirmedCancellations(); confirmed != len(jobs) {
			t.Errorf("%d of %d cancellations are confirmed", confirmed, len(jobs))
		}
	})
}

// A job is cancelled while its tasks fetch their images and the next heartbeats are seconds away.
// No task may start after the cancellation has been confirmed.
func TestTaskCancelledWhileFetchingNeverStarts(t *testing.T) {
	simulate(t, deploymentOptions{heartbeatInterval: 4 * time.Second}, func(d *deployment) {
		d.submit(d.newJob(1, 2*time.Second))
		job := d.newJob(12, endlessRunTime)
		job.ImageFetch = 3 * time.Second
		d.submit(job)
		d.waitUntil("tasks wait for their images", func() bool {
			return slices.ContainsFunc(d.allMachines(), func(m *fake.Machine) bool { return m.FetchingTasks() > 0 })
		})
		d.sleep(time.Second)
		if !d.cancelConfirmed(d.leader(), job.ID) {
			t.Error("the cancellation was not confirmed")
		}
		d.sleep(4 * time.Second)
		if n := d.invariants.StartsAfterCancel(); n > 0 {
			t.Errorf("%d tasks started after their cancellation was confirmed", n)
		}
	})
}

// A cancellation, a poll and a duplicate submission arrive around the end of a job's last task,
// from shortly before to shortly after. A terminal state that was reported to a user does not
// change.
func TestRequestsRacingCompletionGetStableResponses(t *testing.T) {
	const runTime = 2 * time.Second
	simulate(t, deploymentOptions{}, func(d *deployment) {
		for i := range 32 {
			job := d.newJob(1+i%3, runTime)
			d.submit(job)
			d.waitUntil("all tasks of the job run", func() bool { return d.invariants.RunningTasks(job.ID) == job.Tasks })
			d.sleep(runTime + time.Duration(i-24)*60*time.Millisecond)
			d.invariants.CancelRequested(job.ID)
			d.cancelOnce(i%defaultControllers, job.ID)
			if i%4 != 1 {
				d.poll((i+1)%defaultControllers, job.ID)
			}
			if i%4 != 2 {
				d.submitOnce((i+2)%defaultControllers, job.ID, true, submissionOf(job))
			}
		}
	})
}

// The transaction that stores a cancellation is applied late, after the next leader has read the
// records without it. No controller may then confirm the cancellation from the records.
func TestLateCancellationCommitIsNotConfirmedFromRecords(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			simulate(t, deploymentOptions{seed: seed}, func(d *deployment) {
				job := d.startEndlessJobs(1, 6)[0]
				leader := d.leader()
				d.update(func() { d.lateCommitShare = 1 })
				d.background.Go(func() { d.cancelConfirmed(leader, job.ID) })
				d.sleep(200 * time.Millisecond)
				d.update(func() { d.lateCommitShare = 0 })
				d.restart(leader, 100*time.Millisecond)
				next := d.leader()
				d.sleep(14 * time.Second) // until the cancellation is applied
				d.partitionPeers(next, true)
				d.sleep(4 * time.Second)
				for i := range d.controllers {
					d.poll(i, job.ID)
				}
				d.partitionPeers(next, false)
				d.sleep(4 * time.Second)
				d.poll(next, job.ID)
				d.cancel(job.ID)
			})
		})
	}
}

// Commands are delayed for seconds, and machines hang when their jobs are cancelled, some for
// longer than cancel_s. The cancelled tasks must be gone in time, and the hung machines must not
// count as a partitioned zone.
func TestCancelledTasksOnHungMachinesEndInTime(t *testing.T) {
	for _, hang := range []time.Duration{6 * time.Second, workerLease - time.Second, defaultCancelTimeout + 12*time.Second} {
		t.Run(fmt.Sprintf("hang %v", hang), func(t *testing.T) {
			simulate(t, deploymentOptions{machines: 8}, func(d *deployment) {
				jobs := d.startEndlessJobs(4, 6)
				d.submit(d.newJob(4, 10*time.Second))
				injectFault(d.allMachines(), fake.Fault{CommandDelay: 3 * time.Second})
				for _, job := range jobs {
					d.cancel(job.ID)
				}
				for i, m := range d.busyMachines() {
					if i%2 == 0 {
						m.Hang(hang)
					}
				}
				d.sleep(defaultCancelTimeout + 15*time.Second)
			})
		})
	}
}
