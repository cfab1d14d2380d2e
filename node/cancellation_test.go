package node

import (
	"net/http"
	"testing"
	"time"

	"dunestand/internal/standin"
)

// The state service refuses the leader alone, users cancel, and then it is down for
// all for longer than cancel_s while workers report to the old leader. Whoever
// confirms a cancellation, in whichever second, the tasks are gone in time.
func TestConfirmedCancellationHoldsAcrossKVOutage(t *testing.T) {
	confirmed := 0
	after := []time.Duration{200 * time.Millisecond, 1300 * time.Millisecond, 1700 * time.Millisecond, 2500 * time.Millisecond, 6 * time.Second, 9 * time.Second}
	for ms := 3200; ms <= 5000; ms += 150 { // around the claim of the next leader
		after = append(after, time.Duration(ms)*time.Millisecond)
	}
	for i, after := range after {
		simulate(t, deploymentOptions{seed: uint64(i)}, func(d *deployment) {
			jobs := d.startEndlessJobs(6, 4)
			leader := d.leader()
			d.cancel(jobs[0].ID)
			d.rejectKV(leader, true)
			for i, j := range jobs[1:] { // each user asks again every second
				time.AfterFunc(time.Duration(i)*200*time.Millisecond, func() { d.cancel(j.ID) })
			}
			d.sleep(after)
			d.setKVOutage(true)
			d.sleep(defaultCancelTimeout + 12*time.Second)
			d.rejectKV(leader, false)
			d.setKVOutage(false)
			d.sleep(20 * time.Second)
			confirmed += d.invariants.ConfirmedCancellations()
		})
	}
	if confirmed < 20 {
		t.Errorf("only %d cancellations were confirmed", confirmed)
	}
}

// cancel_s is shorter than the workers' lease: a machine that no command reaches may
// hold a task for longer. Then nobody is told of a cancellation, by the leader, by
// another controller or from the records, until all the job's tasks are gone.
func TestCancellationIsConfirmedOnlyAfterTasksAreGone(t *testing.T) {
	simulate(t, deploymentOptions{cancelTimeout: workerLease * 6 / 10}, func(d *deployment) {
		jobs := d.startEndlessJobs(4, 4)
		for i, m := range d.busyMachines() {
			m.InjectFault(standin.Fault{ResponsesLost: i%3 == 0, HeartbeatsLost: i%3 == 1})
		}
		d.cancel(jobs[0].ID)
		d.sleep(time.Second)
		leader := d.leader()
		d.cancel(jobs[1].ID)
		d.rejectKV(leader, true)
		d.sleep(5 * time.Second)
		d.cancel(jobs[2].ID)
		d.cancel(jobs[3].ID)
		d.sleep(2 * workerLease)
		if d.invariants.ConfirmedCancellations() != len(jobs) {
			t.Errorf("%d of %d cancellations are confirmed", d.invariants.ConfirmedCancellations(), len(jobs))
		}
	})
}

// A job is cancelled while its tasks wait for their images, and the next reports are
// seconds away: none of them begins once its user has been told.
func TestTaskCancelledWhileFetchingNeverStarts(t *testing.T) {
	simulate(t, deploymentOptions{heartbeatInterval: 4 * time.Second}, func(d *deployment) {
		d.submit(d.newJob(1, 2*time.Second))
		j := d.newJob(12, endlessRunTime)
		j.ImageFetch = 3 * time.Second
		d.submit(j)
		d.waitUntil("tasks wait for their images", func() bool {
			for _, m := range d.allMachines() {
				if m.FetchingTasks() > 0 {
					return true
				}
			}
			return false
		})
		d.sleep(time.Second)
		if !d.cancelConfirmed(d.leader(), j.ID) {
			t.Error("the cancellation was not confirmed")
		}
		d.sleep(4 * time.Second)
		if n := d.invariants.StartsAfterCancel(); n > 0 {
			t.Errorf("%d tasks began after their user had been told", n)
		}
	})
}

// A cancellation, a question and a repeated submission meet the end of a job's last
// task, from shortly before to shortly after. What a user was told stays.
func TestRequestsRacingCompletionGetStableResponses(t *testing.T) {
	simulate(t, deploymentOptions{}, func(d *deployment) {
		for i := range 32 {
			const runs = 2 * time.Second
			j := d.newJob(1+i%3, runs)
			d.submit(j)
			d.waitUntil("its last task runs", func() bool { return d.invariants.RunningTasks(j.ID) == 1+i%3 })
			d.sleep(runs + time.Duration(i-24)*60*time.Millisecond)
			d.invariants.CancelRequested(j.ID)
			for k, ask := range []func(){
				func() {
					d.requestJob(i%defaultNodes, j.ID, false, http.MethodPost, "/submissions/"+j.ID+"/cancel", nil)
				},
				func() { d.requestJob((i+1)%defaultNodes, j.ID, false, http.MethodGet, "/submissions/"+j.ID, nil) },
				func() { d.requestJob((i+2)%defaultNodes, j.ID, true, http.MethodPost, "/submissions", submissionOf(j)) },
			} {
				if k == 0 || k != i%4 {
					ask()
				}
			}
		}
	})
}

// A cancellation is carried out late, when the next leader has read the records and
// does not know of it. Then nobody may be told of it from the records.
func TestLateCancellationCommitIsNotConfirmedFromRecords(t *testing.T) {
	for seed := range uint64(3) {
		simulate(t, deploymentOptions{seed: seed}, func(d *deployment) {
			j := d.startEndlessJobs(1, 6)[0]
			leader := d.leader()
			d.update(func() { d.lateCommitShare = 1 })
			go d.cancelConfirmed(leader, j.ID)
			d.sleep(200 * time.Millisecond)
			d.update(func() { d.lateCommitShare = 0 })
			d.restart(leader, 100*time.Millisecond)
			next := d.leader()
			d.sleep(14 * time.Second) // it is carried out
			d.partitionPeers(next, true)
			d.sleep(4 * time.Second)
			for i := range d.nodes {
				d.requestJob(i, j.ID, false, http.MethodGet, "/submissions/"+j.ID, nil)
			}
			d.partitionPeers(next, false)
			d.sleep(4 * time.Second)
			d.requestJob(next, j.ID, false, http.MethodGet, "/submissions/"+j.ID, nil)
			d.cancel(j.ID)
		})
	}
}

// Commands are held up for seconds, machines hang at the moment at which their jobs
// are cancelled, and then go on. Many hang at once and for longer than cancel_s: what
// they hold is cancelled and must be gone, and they do not count as a zone that is
// cut off.
func TestCancelledTasksOnHungMachinesEndInTime(t *testing.T) {
	for _, hang := range []time.Duration{6 * time.Second, workerLease - time.Second, defaultCancelTimeout + 12*time.Second} {
		simulate(t, deploymentOptions{machines: 8}, func(d *deployment) {
			jobs := d.startEndlessJobs(4, 6)
			d.submit(d.newJob(4, 10*time.Second))
			injectFault(d.allMachines(), standin.Fault{CommandDelay: 3 * time.Second})
			for _, j := range jobs {
				d.cancel(j.ID)
			}
			for i, m := range d.busyMachines() {
				if i%2 == 0 {
					m.Hang(hang)
				}
			}
			d.sleep(defaultCancelTimeout + 15*time.Second)
		})
	}
}
