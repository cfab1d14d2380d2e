package node

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dunestand/internal/fake"
)

const (
	longHang = 10 * time.Minute
	// hangCancelTimeout leaves time between the expiry of a worker lease and the end of cancel_s.
	hangCancelTimeout = 30 * time.Second
	// afterLease is a time after which the lease of a machine that hangs has expired.
	afterLease = workerLease + 3*time.Second
)

// hangMachines suspends machines until the faults are cleared.
func hangMachines(machines []*fake.Machine) {
	for _, m := range machines {
		m.Hang(longHang)
	}
}

// machinesInZone returns the machines of a zone.
func (d *deployment) machinesInZone(zone string) []*fake.Machine {
	return slices.DeleteFunc(slices.Clone(d.allMachines()), func(m *fake.Machine) bool { return m.Zone != zone })
}

// cancelAll cancels jobs and waits until the users have been told.
func (d *deployment) cancelAll(jobs []fake.JobInfo) {
	d.t.Helper()
	for _, job := range jobs {
		d.cancel(job.ID)
	}
	d.waitUntil("users are told of the cancellations", func() bool { return d.invariants.ConfirmedCancellations() >= len(jobs) })
}

// restartAll stops all controllers and starts them again after a downtime.
func (d *deployment) restartAll(downtime time.Duration) {
	for i := range d.controllers {
		d.stop(i)
	}
	d.sleep(downtime)
	for i := range d.controllers {
		d.start(i)
	}
}

// A machine hangs with cancelled tasks, and the cloud is down until its lease has expired and another
// controller leads. The job once ended with the lease, and its records with it, so the later leader did
// not know that the machine had to be released.
func TestLaterLeaderKnowsOfCancelledTasksOnHungMachine(t *testing.T) {
	simulate(t, deploymentOptions{cancelTimeout: hangCancelTimeout}, func(d *deployment) {
		jobs := d.startEndlessJobs(2, 6)
		d.cloud.SetDown(true)
		hangMachines(d.busyMachines()[:1])
		d.cancelAll(jobs)
		d.sleep(afterLease)
		d.restart(d.leader(), 8*time.Second)
		d.sleep(time.Second)
		d.cloud.SetDown(false)
		d.sleep(hangCancelTimeout)
	})
}

// Machines hang with cancelled tasks and do not go on, while no machine shows that the network works.
// A leader once released none of them, and one that was elected later did not know of them.
func TestHungMachinesWithoutHealthyOthersKeepNoCancelledTask(t *testing.T) {
	hangAllThenCancel := func(d *deployment, jobs []fake.JobInfo) {
		hangMachines(d.allMachines())
		d.cancelAll(jobs)
	}
	for _, c := range []struct {
		name     string
		scenario func(d *deployment, jobs []fake.JobInfo)
	}{
		{"nothing else fails", hangAllThenCancel},
		{"one zone hangs", func(d *deployment, jobs []fake.JobInfo) {
			hangMachines(d.machinesInZone("a"))
			d.cancelAll(jobs)
		}},
		{"leader changes before the leases expire", func(d *deployment, jobs []fake.JobInfo) {
			hangAllThenCancel(d, jobs)
			d.restart(d.leader(), 8*time.Second)
		}},
		{"leader changes after the leases have expired", func(d *deployment, jobs []fake.JobInfo) {
			hangAllThenCancel(d, jobs)
			d.sleep(afterLease)
			d.restart(d.leader(), 100*time.Millisecond)
		}},
		{"all controllers are away when the leases expire", func(d *deployment, jobs []fake.JobInfo) {
			hangAllThenCancel(d, jobs)
			d.sleep(3 * time.Second)
			d.restartAll(workerLease)
		}},
		{"cloud rejects requests until shortly before the deadline", func(d *deployment, jobs []fake.JobInfo) {
			hangAllThenCancel(d, jobs)
			d.cloud.SetDown(true)
			d.sleep(afterLease)
			d.restart(d.leader(), 100*time.Millisecond)
			d.sleep(11 * time.Second)
			d.cloud.SetDown(false)
		}},
		{"jobs are cancelled after the leases have expired", func(d *deployment, jobs []fake.JobInfo) {
			hangMachines(d.allMachines())
			d.sleep(2 * workerLease)
			d.cancelAll(jobs)
		}},
		{"jobs are cancelled by a later leader than the one whose leases expired", func(d *deployment, jobs []fake.JobInfo) {
			hangMachines(d.allMachines())
			d.sleep(2 * workerLease)
			d.restart(d.leader(), 100*time.Millisecond)
			d.sleep(5 * time.Second)
			d.cancelAll(jobs)
		}},
	} {
		for _, machines := range []int{2, 6} {
			t.Run(c.name, func(t *testing.T) {
				simulate(t, deploymentOptions{machines: machines, cancelTimeout: hangCancelTimeout}, func(d *deployment) {
					jobs := d.startEndlessJobs(machines, int(machineCPUs))
					c.scenario(d, jobs)
					d.sleep(hangCancelTimeout + 2*time.Second)
				})
			})
		}
	}
}

// All machines hang. Only those that hold tasks of cancelled jobs are released.
func TestHungMachinesWithoutCancelledTasksAreKept(t *testing.T) {
	simulate(t, deploymentOptions{machines: 8, cancelTimeout: hangCancelTimeout}, func(d *deployment) {
		jobs := d.startEndlessJobs(2, int(machineCPUs))
		before, holders := d.allMachines(), d.busyMachines()
		hangMachines(before)
		d.cancelAll(jobs)
		d.sleep(hangCancelTimeout + time.Second)
		after := d.allMachines()
		for _, m := range before {
			released, holder := !slices.Contains(after, m), slices.Contains(holders, m)
			if released != holder {
				t.Errorf("%s: released %v, held cancelled tasks %v", m.ID, released, holder)
			}
		}
		if len(holders) == len(before) {
			t.Error("no machine is without cancelled tasks")
		}
	})
}

// The leader alone hears no machine when a job is cancelled. It does not release the machines, which
// the next leader hears.
func TestLeaderThatHearsNoMachineReleasesNone(t *testing.T) {
	simulate(t, deploymentOptions{cancelTimeout: hangCancelTimeout}, func(d *deployment) {
		jobs := d.startEndlessJobs(defaultMachines, int(machineCPUs))
		before := d.allMachines()
		d.partitionMachines(d.leader(), true, anyMachine)
		d.cancelAll(jobs)
		next := d.startEndlessJobs(defaultMachines, int(machineCPUs)) // for which the machines are needed
		d.sleep(hangCancelTimeout + 2*time.Second)
		for _, m := range before {
			if !slices.Contains(d.allMachines(), m) {
				t.Errorf("%s was released", m.ID)
			}
		}
		d.cancelAll(next)
	})
}

// The cloud responds to releases only. A release once waited for calls for the catalog, the machine list
// and new machines, each of which had a timeout of its own.
func TestReleaseDoesNotWaitForUnansweredCloudCalls(t *testing.T) {
	for delay := time.Duration(0); delay < 12*time.Second; delay += 2 * time.Second {
		t.Run(fmt.Sprintf("cancelled after %v", delay), func(t *testing.T) {
			options := deploymentOptions{cancelTimeout: hangCancelTimeout, quotaLimit: 2 * defaultMachines * machineCPUs}
			simulate(t, options, func(d *deployment) {
				jobs := d.startEndlessJobs(defaultMachines, int(machineCPUs))
				waiting := d.newJob(defaultMachines, time.Second) // for which machines are requested
				d.submit(waiting)
				d.cloud.SetReleasesOnly(true)
				d.sleep(10*time.Second + delay)
				hangMachines(d.allMachines())
				d.cancelAll(jobs)
				d.sleep(hangCancelTimeout + time.Second)
			})
		})
	}
}

// Random machines hang with cancelled tasks, in fleets of two to eight, while leaders change and cloud and
// key-value store have short outages. All cancelled tasks are gone by cancel_s.
func TestHungMachinesKeepNoCancelledTaskUnderRandomFaults(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { runRandomHangs(t, seed) })
	}
}

// runRandomHangs performs one random run.
func runRandomHangs(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 5))
	machines := 2 * (1 + random.IntN(4))
	simulate(t, deploymentOptions{machines: machines, cancelTimeout: hangCancelTimeout, seed: seed}, func(d *deployment) {
		jobs := d.startEndlessJobs(machines, int(machineCPUs))
		for _, m := range d.allMachines() {
			if random.IntN(3) > 0 {
				m.Hang(longHang)
			}
		}
		d.sleep(time.Duration(random.IntN(3)) * time.Second)
		d.cancelAll(jobs)
		told := time.Now()
		// The last fault ends while there is time for a failover and a release.
		for time.Since(told) < hangCancelTimeout-16*time.Second {
			d.injectShortFault(random)
			d.sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
		}
		d.sleep(hangCancelTimeout - time.Since(told) + 2*time.Second)
	})
}

// injectShortFault restarts controllers, or has the cloud or the key-value store reject all requests, for a
// few seconds.
func (d *deployment) injectShortFault(random *rand.Rand) {
	length := time.Duration(100+random.IntN(4000)) * time.Millisecond
	switch random.IntN(4) {
	case 0:
		if leader, ok := d.currentLeader(); ok {
			d.restart(leader, length)
		}
	case 1:
		d.restartAll(length)
	case 2:
		d.cloud.SetDown(true)
		d.sleep(length)
		d.cloud.SetDown(false)
	case 3:
		d.setKVOutage(true)
		d.sleep(length)
		d.setKVOutage(false)
	}
}
