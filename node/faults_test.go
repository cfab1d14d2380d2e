package node

import (
	"fmt"
	"testing"
	"time"

	"dunestand/internal/fake"
	"dunestand/internal/protocol"
)

// Each test reproduces a combination of faults that has violated an invariant on real machines.
// simulate checks the invariants.

// The baseline without faults: if it fails too, the failure of another test is not due to its
// faults.
func TestJobsCompleteWithoutFaults(t *testing.T) {
	simulate(t, deploymentOptions{}, func(d *deployment) {
		for range 4 {
			d.submit(d.newJob(6, 8*time.Second))
		}
		d.sleep(30 * time.Second)
	})
}

// Duplicates of heartbeats arrive up to well over a lease later, from earlier incarnations and
// attempts too, while leaders change and machines lose their leases.
func TestDuplicatedHeartbeatsBreakNoInvariant(t *testing.T) {
	simulate(t, deploymentOptions{}, func(d *deployment) {
		injectFault(d.allMachines(), fake.Fault{DuplicatedShare: 0.7})
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

// Jobs with zone affinity, topology spread or a fixed zone lose machines that hang or are
// partitioned, and the leader changes. A task must not start elsewhere while the lost machine may
// still run it.
func TestZoneBoundJobsKeepTheirPlacementWhenMachinesAreLost(t *testing.T) {
	simulate(t, deploymentOptions{machines: 8}, func(d *deployment) {
		for i := range 6 {
			job := d.newJob(5, 15*time.Second)
			job.ZoneAffinity, job.ZoneSpread = i%3 == 0, i%3 == 1
			if i%3 == 2 {
				job.Zone = zones[i%2]
			}
			d.submit(job)
		}
		d.sleep(3 * time.Second)
		for i, m := range d.busyMachines() {
			switch i % 4 {
			case 0:
				m.InjectFault(fake.Fault{Partitioned: true})
			case 1, 2:
				m.Hang(7 * time.Second)
			}
		}
		d.sleep(8 * time.Second)
		d.restart(d.leader(), time.Second)
		d.sleep(20 * time.Second)
	})
}

// There is more work than capacity, of all priorities, and the key-value store and commands are
// slow. A preempted task counts against capacity and quota limit until it is gone.
func TestPreemptedTasksCountUntilGoneWhenCommandsAreSlow(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			simulate(t, deploymentOptions{machines: 4, quotaLimit: 13, seed: seed}, func(d *deployment) {
				d.update(func() { d.kvDelay = 150 * time.Millisecond })
				injectFault(d.allMachines(), fake.Fault{CommandDelay: 900 * time.Millisecond, DelayedShare: 0.2})
				for i := range 8 {
					job := d.newJob(8, 6*time.Second)
					job.Priority = protocol.Priority(i % protocol.NumPriorities)
					d.submit(job)
					d.sleep(time.Second)
				}
				d.sleep(20 * time.Second)
			})
		})
	}
}

// A zone with workers and a controller is partitioned for longer than lease_s.
func TestZonePartitionBreaksNoInvariant(t *testing.T) {
	for _, withLeader := range []bool{true, false} {
		t.Run(fmt.Sprintf("with leader %v", withLeader), func(t *testing.T) {
			simulate(t, deploymentOptions{}, func(d *deployment) { partitionZone(d, withLeader) })
		})
	}
}

// partitionZone partitions the zone of the leader, or of another controller, while jobs run
// and are cancelled.
func partitionZone(d *deployment, withLeader bool) {
	jobs := d.startEndlessJobs(2, 4)
	d.submit(d.newJob(16, 25*time.Second))
	d.sleep(2 * time.Second)
	inside := d.leader()
	if !withLeader {
		inside = (inside + 1) % defaultControllers
	}
	zone := zones[inside%len(zones)]
	d.setKVRejection(inside, true)
	d.partitionPeers(inside, true)
	d.partitionMachines(inside, true, func(m *fake.Machine) bool { return m.Zone != zone })
	for i := range d.controllers {
		if i != inside {
			d.partitionMachines(i, true, func(m *fake.Machine) bool { return m.Zone == zone })
		}
	}
	d.cancel(jobs[0].ID)
	d.sleep(5 * time.Second)
	d.cancel(jobs[1].ID)
	d.sleep(2 * workerLease)
	for i := range d.controllers {
		d.partitionMachines(i, false, anyMachine)
	}
	d.setKVRejection(inside, false)
	d.partitionPeers(inside, false)
	d.sleep(5 * time.Second)
}

// A team is at its quota limit when the leader changes, the machines that it uses become
// unreachable, and one of its jobs is cancelled. Tasks that may still run on those machines count
// against the limit.
func TestQuotaLimitHoldsAcrossFailover(t *testing.T) {
	simulate(t, deploymentOptions{machines: 8, quotaLimit: 10}, func(d *deployment) {
		jobs := d.startEndlessJobs(2, 5)
		d.submit(d.newJob(8, 5*time.Second))
		injectFault(d.busyMachines(), fake.Fault{Partitioned: true})
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

// Transactions get no response and are applied late, after newer ones.
func TestLateTransactionsBreakNoInvariant(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			simulate(t, deploymentOptions{seed: seed}, func(d *deployment) {
				jobs := d.startEndlessJobs(3, 2)
				d.update(func() { d.lateCommitShare = 0.3 })
				for i := range 6 {
					job := d.newJob(4, 10*time.Second)
					d.background.Go(func() { d.submit(job) })
					if i < len(jobs) {
						d.cancel(jobs[i].ID)
					}
					d.sleep(5 * time.Second)
					if i == 3 {
						d.restart(d.leaderOr(i), time.Second)
					}
				}
			})
		})
	}
}

// The heartbeats of one machine in three, or of all machines, are lost, while pushed commands reach
// the workers.
func TestLostHeartbeatsBreakNoInvariant(t *testing.T) {
	for _, oneIn := range []int{3, 1} {
		t.Run(fmt.Sprintf("one machine in %d", oneIn), func(t *testing.T) {
			simulate(t, deploymentOptions{seed: uint64(oneIn)}, func(d *deployment) {
				jobs := d.startEndlessJobs(2, 4)
				d.submit(d.newJob(16, 30*time.Second))
				d.sleep(2 * time.Second)
				for i, m := range d.allMachines() {
					if i%oneIn == 0 {
						m.InjectFault(fake.Fault{HeartbeatsLost: true})
					}
				}
				d.cancel(jobs[0].ID)
				d.sleep(4500 * time.Millisecond)
				d.restart(d.leaderOr(0), time.Second)
				d.cancel(jobs[1].ID)
				d.sleep(2*workerLease + 5*time.Second)
			})
		})
	}
}

// The key-value store responds slowly, then rejects the leader alone, and then all controllers for
// longer than cancel_s, while users cancel and poll.
func TestSlowKVStoreAndOutagesBreakNoInvariant(t *testing.T) {
	simulate(t, deploymentOptions{}, func(d *deployment) {
		jobs := d.startEndlessJobs(6, 2)
		d.update(func() { d.kvDelay = 700 * time.Millisecond })
		d.cancel(jobs[0].ID)
		d.sleep(4 * time.Second)
		d.cancel(jobs[1].ID)
		leader := d.leaderOr(0)
		d.setKVRejection(leader, true)
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

// No machine receives a response for longer than its lease. Once responses arrive again, the
// machines get work, although they were considered unresponsive to commands.
func TestMachinesGetWorkAfterLostResponses(t *testing.T) {
	simulate(t, deploymentOptions{}, func(d *deployment) {
		for range 4 {
			d.submit(d.newJob(6, 30*time.Second))
		}
		d.sleep(4 * time.Second)
		injectFault(d.allMachines(), fake.Fault{ResponsesLost: true})
		d.sleep(10 * workerLease)
	})
}
