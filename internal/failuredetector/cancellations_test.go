package failuredetector

import (
	"fmt"
	"slices"
	"testing"

	"dunestand/internal/cluster"
	"dunestand/internal/fake"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// newCancelledJob adds a job with one task on each of the given machines, cancelled at a steady time.
func newCancelledJob(d *Detector, id int, at units.Micros, machines ...int) *cluster.Job {
	spec := protocol.JobSpec{ID: fmt.Sprintf("j-%06d", id), Tasks: len(machines), Request: fake.CPUs(1)}
	job := d.State.NewJob(spec, at, at)
	for _, i := range machines {
		m := d.State.EnsureMachine(machineID(i), "m", "a", false, at)
		d.State.Assign(job, m, uint64(i+1), at).Stage = cluster.Running
	}
	job.Cancel(at, at)
	return job
}

// newCancellationDetector returns a detector with cancel_s of 40 s and a lease of 10 s.
func newCancellationDetector(t testing.TB) *Detector {
	d := newTestDetector(t)
	d.Settings.Fleet.Workers.CancelS = 40
	return d
}

// A machine that may hold cancelled tasks is due in time for its release, and not long before, whoever
// else is silent. A machine without such tasks is never due.
func TestSilentMachineWithCancelledTasksIsDueBeforeDeadline(t *testing.T) {
	for _, c := range []struct {
		name   string
		silent func(i int) bool
	}{
		{"one machine silent", func(i int) bool { return i == 3 }},
		{"zone silent", func(i int) bool { return i < 10 }},
		{"fleet silent", func(int) bool { return true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newCancellationDetector(t)
			newCancelledJob(d, 1, testNow, 3)
			for i := range 14 {
				if c.silent(i) {
					d.State.Machines[machineID(i)].LastHeartbeat = testNow
				}
			}
			deadline := testNow + d.Settings.Fleet.Workers.CancelBound()
			expireAt := testNow + d.WorkerLease()
			d.ExpireWorkerLeases(expireAt)
			d.RecordDelay(deadline - 10*units.Second) // of this controller
			if due := d.DueCancellations(testNow + 20*units.Second); len(due) != 0 {
				t.Errorf("due long before the deadline: %v", due)
			}
			want := []string{machineID(3)}
			if due := d.DueCancellations(deadline - unansweredRelease - units.Second); !slices.Equal(due, want) {
				t.Errorf("due shortly before the deadline: %v, want %v", due, want)
			}
		})
	}
}

// The only machine of a fleet is due, although nothing shows that the network works.
func TestOnlyMachineWithCancelledTasksIsDue(t *testing.T) {
	d := newCancellationDetector(t)
	for i := 1; i < 14; i++ {
		d.State.RemoveMachine(d.State.Machines[machineID(i)], testNow)
	}
	newCancelledJob(d, 1, testNow, 0)
	if due := d.DueCancellations(testNow + 34*units.Second); !slices.Equal(due, []string{machineID(0)}) {
		t.Errorf("due: %v, want the only machine", due)
	}
}

// Machines whose deadlines are earlier come first, and the release of more machines begins earlier,
// since the cloud limits the rate of requests and the machines in each.
func TestReleaseOfManyMachinesBeginsEarlierMostUrgentFirst(t *testing.T) {
	beginning := func(machines int) units.Micros {
		d := newCancellationDetector(t)
		ids := make([]int, machines)
		for i := range ids {
			ids[i] = i
		}
		newCancelledJob(d, 1, testNow, ids...)
		newCancelledJob(d, 2, testNow-5*units.Second, machines)
		for now := testNow; ; now += 100 * units.Millisecond {
			due := d.DueCancellations(now)
			if len(due) > 0 && due[0] != machineID(machines) {
				t.Fatalf("%s is due before the machine with the earliest deadline", due[0])
			}
			if len(due) == machines+1 {
				return now - testNow
			}
		}
	}
	few, many := beginning(10), beginning(4000)
	requests := units.Micros(4000 / protocol.MaxScaleIn)
	atRateLimit := requests * units.Second / units.Micros(5) // at 5 requests per second
	if few-many < atRateLimit {
		t.Errorf("begins %v earlier for 4,000 machines, whose release takes %v", (few - many).Duration(), atRateLimit.Duration())
	}
}

// A new leader gives a machine time to find it, unless the deadline is too near.
func TestNewLeaderAwaitsMachineUnlessDeadlineIsNear(t *testing.T) {
	const electedAt = testNow
	for _, c := range []struct {
		name      string
		cancelled units.Micros // before the election
		want      units.Micros // due after the election
	}{
		{"deadline far", 10 * units.Second, 23800 * units.Millisecond},
		{"deadline within the lead", 31 * units.Second, 3750 * units.Millisecond},
		{"deadline near", 35 * units.Second, 600 * units.Millisecond},
		{"deadline passed", 100 * units.Second, 3750 * units.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newCancellationDetector(t)
			d.ElectedAt = electedAt
			job := d.State.NewJob(protocol.JobSpec{ID: "j-000001", Tasks: 1, Request: fake.CPUs(1)}, 0, electedAt)
			job.Cancel(0, electedAt-c.cancelled)
			d.State.Unreconciled.Mark(job, "i-000099")
			now := electedAt
			for len(d.DueCancellations(now)) == 0 {
				now += 50 * units.Millisecond
			}
			if got := now - electedAt; got < c.want-200*units.Millisecond || got > c.want+200*units.Millisecond {
				t.Errorf("due %v after the election, want %v", got.Duration(), c.want.Duration())
			}
		})
	}
}

// If users are told only when no task is left, a machine with cancelled tasks is due as soon as its
// lease has expired, and not before.
func TestMachineIsDueAfterItsLeaseIfUsersWaitForIt(t *testing.T) {
	d := newTestDetector(t)
	d.Settings.Fleet.Workers.CancelS = 5
	job := newCancelledJob(d, 1, testNow, 3)
	expireAt := testNow + d.WorkerLease()
	d.ExpireWorkerLeases(expireAt - 1)
	if due := d.DueCancellations(expireAt - 1); len(due) != 0 {
		t.Errorf("due within the lease: %v", due)
	}
	d.ExpireWorkerLeases(expireAt)
	if due := d.DueCancellations(expireAt); !slices.Equal(due, []string{machineID(3)}) {
		t.Errorf("due after the lease: %v", due)
	}
	d.State.MachineGone(machineID(3))
	if job.MayHoldTasks() || len(d.DueCancellations(expireAt)) != 0 {
		t.Error("the job may still hold tasks after the machine is gone")
	}
}

// Tasks that were on a machine when its lease expired may still be there when their job is cancelled
// later, also if a former leader started them.
func TestJobCancelledAfterLeaseExpiryStillHoldsMachine(t *testing.T) {
	d := newCancellationDetector(t)
	d.State.Restored = true
	spec := protocol.JobSpec{ID: "j-000001", Tasks: 2, Request: fake.CPUs(1)}
	job := d.State.NewJob(spec, testNow, testNow)
	d.State.Assign(job, d.State.Machines[machineID(3)], 1, testNow).Stage = cluster.Sent
	d.State.Unreconciled.Mark(job, "i-000099")
	for _, m := range d.State.Machines {
		m.LastHeartbeat = testNow
	}
	later := testNow + d.WorkerLease()
	d.ExpireWorkerLeases(later)
	job.Cancel(later, later)
	want := []string{machineID(3), "i-000099"}
	if due := d.DueCancellations(later + 39*units.Second); !slices.Equal(due, want) {
		t.Errorf("due: %v, want %v", due, want)
	}
}

// BenchmarkDueCancellations measures a check of 4,000 machines that all hold cancelled tasks.
func BenchmarkDueCancellations(b *testing.B) {
	const machines = 4000
	d := newCancellationDetector(b)
	ids := make([]int, machines)
	for i := range ids {
		ids[i] = i
	}
	newCancelledJob(d, 1, testNow, ids...)
	for b.Loop() {
		if due := d.DueCancellations(testNow + 39*units.Second); len(due) != machines {
			b.Fatalf("%d machines are due", len(due))
		}
	}
}
