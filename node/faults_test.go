package node

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"dunestand/internal/protocol"
	"dunestand/internal/standin"
)

// An ordinary day, so that what the others find is not the day's own doing.
func TestJobsCompleteWithoutFaults(t *testing.T) {
	simulate(t, deploymentOptions{}, func(d *deployment) {
		for range 4 {
			d.submit(d.newJob(6, 8*time.Second))
		}
		d.sleep(30 * time.Second)
	})
}

// Copies of reports arrive again up to well over a lease later, from earlier sessions
// and attempts too, while leaders change and machines lose their leases.
func TestDuplicatedHeartbeatsBreakNoInvariant(t *testing.T) {
	simulate(t, deploymentOptions{}, func(d *deployment) {
		injectFault(d.allMachines(), standin.Fault{DuplicatedShare: 0.7})
		for i := range 6 {
			d.submit(d.newJob(6, 20*time.Second))
			if i%2 == 1 {
				d.restart(d.leader(), 300*time.Millisecond)
			}
			d.allMachines()[i%len(d.allMachines())].Hang(workerLease + time.Second)
			d.sleep(9 * time.Second)
		}
	})
}

// Jobs bound to one zone lose machines, to silence, to a cut and to a change of leader.
// What a machine held does not begin elsewhere while it may go on there.
func TestZoneBoundJobsKeepTheirPlacementWhenMachinesAreLost(t *testing.T) {
	simulate(t, deploymentOptions{machines: 8}, func(d *deployment) {
		for i := range 6 {
			j := d.newJob(5, 15*time.Second)
			j.ZoneAffinity, j.AntiAffinity = i%3 == 0, i%3 == 1
			if i%3 == 2 {
				j.Zone = zones[i%2]
			}
			d.submit(j)
		}
		d.sleep(3 * time.Second)
		for i, m := range d.busyMachines() {
			switch i % 4 {
			case 0:
				m.InjectFault(standin.Fault{Partitioned: true})
			case 1, 2:
				m.Hang(7 * time.Second)
			}
		}
		d.sleep(8 * time.Second)
		d.restart(d.leader(), time.Second)
		d.sleep(20 * time.Second)
	})
}

// There is more work than room, urgent and not, and everything is slow. A task that is
// stopped for another one counts until it is gone.
func TestPreemptedTasksCountUntilGoneOverSlowLinks(t *testing.T) {
	for seed := range uint64(4) {
		simulate(t, deploymentOptions{machines: 4, quotaLimit: 13, seed: seed}, func(d *deployment) {
			d.update(func() { d.kvDelay = 150 * time.Millisecond })
			injectFault(d.allMachines(), standin.Fault{CommandDelay: 900 * time.Millisecond, DelayedShare: 0.2})
			for i := range 8 {
				j := d.newJob(8, 6*time.Second)
				j.Priority = []string{"low", "normal", "high", "prod"}[i%4]
				d.submit(j)
				d.sleep(time.Second)
			}
			d.sleep(20 * time.Second)
		})
	}
}

// A zone with workers and a controller, the leader or another one, is cut off for
// longer than lease_s.
func TestZonePartitionBreaksNoInvariant(t *testing.T) {
	for _, leads := range []bool{true, false} {
		simulate(t, deploymentOptions{}, func(d *deployment) {
			jobs := d.startEndlessJobs(2, 4)
			d.submit(d.newJob(16, 25*time.Second))
			d.sleep(2 * time.Second)
			cut := d.leader()
			if !leads {
				cut = (cut + 1) % defaultNodes
			}
			zone := zones[cut%len(zones)]
			inside := func(m *standin.Machine) bool { return m.Zone == zone }
			outside := func(m *standin.Machine) bool { return m.Zone != zone }
			d.rejectKV(cut, true)
			d.partitionPeers(cut, true)
			d.partitionMachines(cut, true, outside)
			for i := range d.nodes {
				if i != cut {
					d.partitionMachines(i, true, inside)
				}
			}
			d.cancel(jobs[0].ID)
			d.sleep(5 * time.Second)
			d.cancel(jobs[1].ID)
			d.sleep(2 * workerLease)
			for i := range d.nodes {
				d.partitionMachines(i, false, func(*standin.Machine) bool { return true })
			}
			d.rejectKV(cut, false)
			d.partitionPeers(cut, false)
			d.sleep(5 * time.Second)
		})
	}
}

// A team is at its limit when the leader changes, the machines that it uses can't be
// asked, and a cancellation falls into that spell. What they may be running counts.
func TestQuotaLimitHoldsAcrossFailover(t *testing.T) {
	simulate(t, deploymentOptions{machines: 8, quotaLimit: 10}, func(d *deployment) {
		jobs := d.startEndlessJobs(2, 5)
		d.submit(d.newJob(8, 5*time.Second))
		injectFault(d.busyMachines(), standin.Fault{Partitioned: true})
		leader := d.leader()
		d.stop(leader)
		d.leader()
		d.cancel(jobs[0].ID)
		d.sleep(4 * time.Second)
		d.start(leader)
		d.sleep(2 * time.Second)
		d.cancel(jobs[1].ID)
		d.sleep(2 * workerLease)
	})
}

// Transactions get no answer and are carried out late, after newer ones.
func TestLateTransactionsBreakNoInvariant(t *testing.T) {
	for seed := range uint64(3) {
		simulate(t, deploymentOptions{seed: seed}, func(d *deployment) {
			jobs := d.startEndlessJobs(3, 2)
			d.update(func() { d.lateCommitShare = 0.3 })
			for i := range 6 {
				j := d.newJob(4, 10*time.Second)
				go d.submit(j)
				if i < len(jobs) {
					d.cancel(jobs[i].ID)
				}
				d.sleep(5 * time.Second)
				if i == 3 {
					d.restart(d.leaderOr(i), time.Second)
				}
			}
		})
	}
}

// Workers can't open connections to any controller, while direct commands reach them.
func TestLostHeartbeatsBreakNoInvariant(t *testing.T) {
	for _, share := range []int{3, 1} {
		simulate(t, deploymentOptions{seed: uint64(share)}, func(d *deployment) {
			jobs := d.startEndlessJobs(2, 4)
			d.submit(d.newJob(16, 30*time.Second))
			d.sleep(2 * time.Second)
			for i, m := range d.allMachines() {
				if i%share == 0 {
					m.InjectFault(standin.Fault{HeartbeatsLost: true})
				}
			}
			d.cancel(jobs[0].ID)
			d.sleep(4500 * time.Millisecond)
			d.restart(d.leaderOr(0), time.Second)
			d.cancel(jobs[1].ID)
			d.sleep(2*workerLease + 5*time.Second)
		})
	}
}

// The state service answers slowly, then refuses the leader alone, then everybody for
// longer than cancel_s, while users cancel and ask.
func TestSlowKVStoreAndOutagesBreakNoInvariant(t *testing.T) {
	simulate(t, deploymentOptions{}, func(d *deployment) {
		jobs := d.startEndlessJobs(6, 2)
		d.update(func() { d.kvDelay = 700 * time.Millisecond })
		d.cancel(jobs[0].ID)
		d.sleep(4 * time.Second)
		d.cancel(jobs[1].ID)
		leader := d.leaderOr(0)
		d.rejectKV(leader, true)
		d.cancel(jobs[2].ID)
		d.sleep(6 * time.Second)
		d.cancel(jobs[3].ID)
		d.setKVOutage(true)
		d.cancel(jobs[4].ID)
		d.sleep(defaultCancelTimeout + 5*time.Second)
		d.update(func() { d.kvDelay = 0 })
		d.setKVOutage(false)
		d.cancel(jobs[5].ID)
		d.sleep(10 * time.Second)
	})
}

// Most machines hear no answers for longer than their lease. Once they do again, they
// get work, though they were thought to carry nothing out.
func TestMachinesGetWorkAfterLostResponses(t *testing.T) {
	simulate(t, deploymentOptions{}, func(d *deployment) {
		for range 4 {
			d.submit(d.newJob(6, 30*time.Second))
		}
		d.sleep(4 * time.Second)
		injectFault(d.allMachines(), standin.Fault{ResponsesLost: true})
		d.sleep(10 * workerLease)
	})
}

// Repeats of unfinished jobs, with other contents or lacking a field too, are the
// known job; cancelling what is done answers done; what fits no machine or lacks a
// field is refused, by every controller.
func TestDuplicateAndInvalidRequestsGetTheirStatus(t *testing.T) {
	simulate(t, deploymentOptions{}, func(d *deployment) {
		j, over := d.newJob(3, 60*time.Second), d.newJob(1, time.Second)
		d.submit(j)
		d.submit(over)
		d.waitUntil("it is done", func() bool { return d.invariants.LastStage(over.ID) == protocol.StageDone })
		check := func(when string, alone bool) {
			for node := range d.nodes {
				other := submissionOf(j)
				other["bolts"], other["crew"] = 7, "nobody"
				lacking := submissionOf(j)
				delete(lacking, "vcpus")
				for _, body := range []map[string]any{submissionOf(j), other, lacking} {
					if status, _ := d.requestJob(node, j.ID, true, http.MethodPost, "/submissions", body); status != 200 && !alone {
						t.Errorf("%s: a repeat is answered %d by n-%d", when, status, node)
					}
				}
				if status, stage := d.requestJob(node, over.ID, false, http.MethodPost, "/submissions/"+over.ID+"/cancel", nil); !alone && (status != 200 || stage != protocol.StageDone) {
					t.Errorf("%s: cancelling a job that is done: %d %s", when, status, stage)
				}
				if status, _ := d.request(node, http.MethodPost, "/submissions/j-999999/cancel", nil); !alone && status != 404 {
					t.Errorf("%s: cancelling an unknown job: %d", when, status)
				}
				for i, change := range []func(map[string]any){
					func(b map[string]any) { b["vcpus"] = 64.0 }, func(b map[string]any) { b["looms"] = []string{"none"} },
					func(b map[string]any) { b["yard"] = "nowhere" }, func(b map[string]any) { b["crew"] = "nobody" },
					func(b map[string]any) { delete(b, "bolts") }, func(b map[string]any) { delete(b, "urgency") },
					func(b map[string]any) { delete(b, "together") }, func(b map[string]any) { delete(b, "memory_gb") },
				} {
					bad := submission(fmt.Sprintf("j-8%02d%02d", node, i), 1)
					change(bad)
					want := 422
					if i >= 4 {
						want = 400
					}
					if status, _ := d.request(node, http.MethodPost, "/submissions", bad); status == 200 || status == 201 || !alone && status != want {
						t.Errorf("%s: n-%d answers %d to bad submission %d", when, node, status, i)
					}
				}
			}
		}
		check("with a leader", false)
		d.rejectKV(d.leader(), true)
		d.sleep(2 * time.Second)
		check("without a leader", true)
	})
}
