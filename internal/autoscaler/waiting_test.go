package autoscaler

import (
	"testing"

	"dunestand/internal/fake"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// The tests of this file hold what could keep a job from an empty machine until something happens
// that cannot happen any more. The cloud has no machines on offer.

// A service that waits for quota blocked the smaller jobs of its team for good, since no other service
// of the team ever completes.
func TestServiceOverQuotaDoesNotBlockItsTeam(t *testing.T) {
	f := newSimulatedFleet(t, 10, map[Offering]int{})
	f.addMachine(Offering{"large", "a", false})
	f.submit(service("j-000001", 2, 4), 0)
	f.run(5 * units.Second)
	f.submit(service("j-000002", 1, 4), 0)
	small := f.submit(protocol.JobSpec{ID: "j-000003", Tasks: 1, Request: fake.CPUs(2)}, 5*units.Second)
	f.runUntil(maxWait, "the small job is done", small.Complete)
}

// An urgent service that does not fit into the quota limit even without the other tasks of its team
// stopped them in vain, each time that they had been started again.
func TestServiceOverQuotaStopsNothingInVain(t *testing.T) {
	f := newSimulatedFleet(t, 10, map[Offering]int{})
	f.addMachine(Offering{"large", "a", false})
	serving := service("j-000001", 2, 4)
	serving.Priority = protocol.High
	f.submit(serving, 0)
	f.run(5 * units.Second)
	waiting := service("j-000002", 1, 4)
	waiting.Priority = protocol.High
	f.submit(waiting, 0)
	small := f.submit(protocol.JobSpec{ID: "j-000003", Tasks: 1, Request: fake.CPUs(2)}, 20*units.Second)
	f.runUntil(maxWait, "the small job is done", small.Complete)
}

// A team whose job waits for quota that tasks are going to free still blocks its smaller jobs, which
// would otherwise use up what becomes free.
func TestJobOverQuotaBlocksItsTeamUntilTasksEnd(t *testing.T) {
	f := newSimulatedFleet(t, 10, map[Offering]int{})
	f.addMachine(Offering{"large", "a", false})
	serving := service("j-000001", 1, 4)
	serving.Priority = protocol.High // not to be preempted
	f.submit(serving, 0)
	f.submit(protocol.JobSpec{ID: "j-000002", Tasks: 1, Request: fake.CPUs(4), Priority: protocol.High}, 30*units.Second)
	f.run(5 * units.Second)
	waiting := f.submit(protocol.JobSpec{ID: "j-000003", Tasks: 1, Request: fake.CPUs(4), Priority: protocol.High}, 5*units.Second)
	small := f.submit(protocol.JobSpec{ID: "j-000004", Tasks: 1, Request: fake.CPUs(2)}, 5*units.Second)
	f.run(10 * units.Second)
	if len(small.LiveAttempts) > 0 || small.Complete() {
		t.Error("the small job took quota that the urgent job waits for")
	}
	f.runUntil(maxWait, "both are done", func() bool { return waiting.Complete() && small.Complete() })
}

// A starved job reserved the free capacity of a machine for good if a service there left no room for it.
func TestMachineIsNotReservedForTaskThatNeverFitsBesideServices(t *testing.T) {
	f := newSimulatedFleet(t, 100, map[Offering]int{})
	f.addMachine(Offering{"small", "a", false})
	f.submit(service("j-000001", 1, 2), 0)
	f.run(5 * units.Second)
	f.submit(protocol.JobSpec{ID: "j-000002", Tasks: 1, Request: fake.CPUs(4)}, 5*units.Second)
	f.run(200 * units.Second) // it is starved then
	small := f.submit(protocol.JobSpec{ID: "j-000003", Tasks: 1, Request: fake.CPUs(2)}, 5*units.Second)
	f.runUntil(maxWait, "the small job is done", small.Complete)
}

// Urgent work never got on a machine that had been slow once if no other machine fitted, since only
// runs on the machine show that it is sound again.
func TestUrgentJobRunsOnTheOnlyMachineThatWasSlow(t *testing.T) {
	for _, kind := range []protocol.JobKind{protocol.Array, protocol.Service} {
		f := newSimulatedFleet(t, 100, map[Offering]int{})
		f.addMachine(Offering{"small", "b", false})
		slow := f.addMachine(Offering{"small", "a", false})
		f.as.State.Machines[slow].Slow = true
		spec := boundTo(kind)
		spec.Priority = protocol.High
		job := f.submit(spec, 5*units.Second)
		f.runUntil(maxWait, "the urgent job runs", func() bool { return f.running(job) == 1 })
	}
}

// A job that does not fit beside the headroom of a machine and its services waited there for two
// minutes, until it was starved, though the machine had room.
func TestJobThatNeverFitsBesideHeadroomGetsIt(t *testing.T) {
	for name, c := range map[string]struct {
		offering   Offering
		heldByJobs int // CPUs that a service holds on the machine that fits
	}{
		"whole machine":   {Offering{"small", "a", false}, 0},
		"beside services": {Offering{"large", "a", false}, 28},
	} {
		f := newSimulatedFleet(t, 200, map[Offering]int{})
		f.addMachine(c.offering)
		if c.heldByJobs > 0 {
			holder := service("j-000007", 1, c.heldByJobs)
			holder.Zone = "a"
			f.submit(holder, 0)
			f.run(5 * units.Second)
		}
		for range 4 {
			f.addMachine(Offering{"large", "b", false})
		}
		urgent := service("j-000008", 1, 1)
		urgent.Priority = protocol.Production
		f.submit(urgent, 0)
		f.run(5 * units.Second)
		spec := boundTo(protocol.Array)
		spec.Request = fake.CPUs(4)
		job := f.submit(spec, 5*units.Second)
		f.runUntil(maxWait, name+": the job is done", job.Complete)
	}
}
