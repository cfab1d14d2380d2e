package autoscaler

import (
	"testing"

	"dunestand/internal/cluster"
	"dunestand/internal/fake"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// boundTo returns the specification of a job that fits only ordinary machines of zone a.
func boundTo(kind protocol.JobKind) protocol.JobSpec {
	return protocol.JobSpec{ID: "j-000001", Tasks: 1, Request: fake.CPUs(2), Zone: "a", Kind: kind}
}

// A job that had failed on the only machines that fit it was never started again, since it avoided
// them for good.
func TestJobIsRetriedOnTheOnlyMachinesThatFit(t *testing.T) {
	for name, kind := range map[string]protocol.JobKind{"array": protocol.Array, "service": protocol.Service} {
		for machines := 1; machines <= 4; machines++ {
			f := newSimulatedFleet(t, 100, map[Offering]int{})
			f.addMachine(Offering{"small", "b", false})
			for range machines {
				f.faulty[f.addMachine(Offering{"small", "a", false})] = true
			}
			job := f.submit(boundTo(kind), 5*units.Second)
			f.runUntil(maxWait, "the job fails on all machines that fit", func() bool { return len(job.FailedMachines) == machines })
			clear(f.faulty)
			f.runUntil(maxWait, name+" starts again", func() bool { return f.running(job) == 1 })
		}
	}
}

// A job that fails on a faulty machine starts on another one, which is rented if there is none.
func TestMachineIsRentedForJobThatFailedOnAllThatFit(t *testing.T) {
	f := newSimulatedFleet(t, 100, map[Offering]int{{"small", "a", false}: 3})
	f.faulty[f.addMachine(Offering{"small", "a", false})] = true
	job := f.submit(boundTo(protocol.Array), maxWait)
	f.runUntil(maxWait, "the job runs", func() bool { return f.running(job) == 1 })
	if f.rented != 1 {
		t.Errorf("%d machines rented, want 1", f.rented)
	}
}

// A job that fails on every machine is retried at most once a minute in the end, on few machines,
// whether it fits one machine or many.
func TestJobThatFailsEverywhereIsRetriedSeldom(t *testing.T) {
	for _, offered := range []int{0, 1, 10} {
		f := newSimulatedFleet(t, 100, map[Offering]int{{"small", "a", false}: offered})
		f.addMachine(Offering{"small", "a", false})
		f.failing["j-000001"] = true
		job := f.submit(boundTo(protocol.Array), 5*units.Second)
		f.run(600 * units.Second)
		failures := f.failures
		f.run(1200 * units.Second)
		if rate := f.failures - failures; rate < 10 || rate > 20*(offered+1) {
			t.Errorf("%d offered: %d failures in 20 minutes", offered, rate)
		}
		if f.rented > 2*len(job.FailedMachines) {
			t.Errorf("%d offered: %d machines rented, the job failed on %d", offered, f.rented, len(job.FailedMachines))
		}
	}
}

// Several jobs that fit only one machine all get done once it is sound. With failures of two jobs it
// is replaced.
func TestSeveralJobsAreRetriedAfterAFault(t *testing.T) {
	f := newSimulatedFleet(t, 100, map[Offering]int{{"small", "a", false}: 0})
	faulty := f.addMachine(Offering{"small", "a", false})
	f.faulty[faulty] = true
	var jobs []*cluster.Job
	for _, id := range []string{"j-000001", "j-000002", "j-000003"} {
		spec := boundTo(protocol.Array)
		spec.ID = id
		jobs = append(jobs, f.submit(spec, 5*units.Second))
		f.run(10 * units.Second)
	}
	f.runUntil(2*maxWait, "all jobs are done", func() bool { return jobs[0].Complete() && jobs[1].Complete() && jobs[2].Complete() })
}
