package node

import (
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

// cancelAll cancels jobs and waits until the users have been told.
func (d *deployment) cancelAll(jobs []fake.JobInfo) {
	d.t.Helper()
	for _, job := range jobs {
		d.cancel(job.ID)
	}
	d.waitUntil("users are told of the cancellations", func() bool { return d.invariants.ConfirmedCancellations() >= len(jobs) })
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
