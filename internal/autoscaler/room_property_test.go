package autoscaler

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"dunestand/internal/cluster"
	"dunestand/internal/fake"
	"dunestand/internal/protocol"
	"dunestand/internal/scheduler"
	"dunestand/internal/units"
)

// Random fleets, jobs and troubles of TestNoJobWaitsBesideRoom.
const (
	maxDrawnJobs     = 6
	maxDrawnTroubles = 4
	maxTroubleGap    = 60 // seconds between two troubles
	faultDuration    = 20 * units.Second
	// settleTime is long enough after the last trouble for the lease of a lost machine to expire, for
	// a machine to boot, and for the users' 90 s.
	settleTime = 240 * units.Second
	// workTime is more than all tasks of the drawn jobs take one after the other.
	workTime = maxDrawnJobs * 5 * 70 * units.Second
	// quietTime is how long no machine may be rented after that and after the last task's end.
	quietTime = 300 * units.Second
)

var drawnOfferings = []Offering{
	{"small", "a", false}, {"small", "a", true}, {"small", "b", false}, {"small", "b", true},
	{"large", "a", false}, {"large", "b", true},
}

// drawFleet draws a fleet with some machines and a cloud with a few more.
func drawFleet(t *rapid.T, tb testing.TB) *simulatedFleet {
	offered := map[Offering]int{}
	for _, offering := range drawnOfferings {
		offered[offering] = rapid.IntRange(0, 3).Draw(t, "offered")
	}
	f := newSimulatedFleet(tb, float64(rapid.IntRange(8, 60).Draw(t, "quota limit")), offered)
	for range rapid.IntRange(1, 4).Draw(t, "machines") {
		f.addMachine(rapid.SampledFrom(drawnOfferings).Draw(t, "machine"))
	}
	return f
}

// submitDrawn submits a random job, unless it is a service or a gang that needs more than the team's
// limit: such a submission is rejected.
func (f *simulatedFleet) submitDrawn(t *rapid.T, number int) {
	spec := protocol.JobSpec{
		ID:            fmt.Sprintf("j-%06d", number),
		Tasks:         rapid.IntRange(1, 5).Draw(t, "tasks"),
		Request:       fake.CPUs(rapid.IntRange(1, 4).Draw(t, "cpus")),
		Kind:          rapid.SampledFrom([]protocol.JobKind{protocol.Array, protocol.Service, protocol.Gang}).Draw(t, "kind"),
		Priority:      protocol.Priority(rapid.IntRange(0, 3).Draw(t, "priority")),
		AllowSpot:     rapid.Bool().Draw(t, "allow spot"),
		Zone:          rapid.SampledFrom([]string{"", "", "a", "b"}).Draw(t, "zone"),
		InstanceTypes: rapid.SampledFrom([][]string{nil, nil, {"small"}}).Draw(t, "types"),
	}
	if spec.Zone == "" {
		spec.ZoneSpread = rapid.Bool().Draw(t, "spread")
		spec.ZoneAffinity = !spec.ZoneSpread && rapid.Bool().Draw(t, "affinity")
	}
	runTime := units.Seconds(float64(rapid.IntRange(5, 60).Draw(t, "run time")))
	if spec.Kind == protocol.Array || f.as.State.Teams["team"].QuotaLimit.CountFitting(spec.Request) >= spec.Tasks {
		f.submit(spec, runTime)
	}
}

// troubleDrawn takes a random machine, makes it silent, has it count as slow or fail all tasks for a
// while, or changes the leader.
func (f *simulatedFleet) troubleDrawn(t *rapid.T) {
	machines := f.as.State.SortedMachines()
	if len(machines) == 0 {
		return
	}
	m := rapid.SampledFrom(machines).Draw(t, "troubled machine")
	switch rapid.IntRange(0, 4).Draw(t, "trouble") {
	case 0:
		f.remove(m)
	case 1:
		f.lost[m.ID] = true
	case 2:
		f.faulty[m.ID] = true
		f.run(faultDuration)
		delete(f.faulty, m.ID)
	case 3:
		m.Slow = true
	case 4:
		f.changeLeader()
	}
}

// finiteTasksRun reports whether any task runs that is not a service's.
func (f *simulatedFleet) finiteTasksRun() bool {
	for _, job := range f.as.State.Jobs {
		if !job.IsService() && len(job.LiveAttempts) > 0 {
			return true
		}
	}
	return false
}

// jobBesideRoom describes a task that has waited for more than maxWait while a machine that fits has
// room for it or can be rented, and its team is under its limit. It returns "" if there is none. It
// follows the users' pages and uses none of the scheduler's rules but PlacementAllowed. Gangs are left
// out: they need room for all their tasks at once.
func (f *simulatedFleet) jobBesideRoom() string {
	for _, job := range f.as.State.JobsBySubmission() {
		team := f.as.State.Teams[job.Spec.Team]
		waited := f.clock.Now - job.WaitingSince()
		if job.Spec.Kind == protocol.Gang || job.Pending() == 0 || waited <= maxWait || team.QuotaLimit.Plus(team.Used, -1).CountFitting(job.Spec.Request) == 0 {
			continue
		}
		for _, m := range f.as.State.SortedMachines() {
			usable := m.Registered && !f.lost[m.ID] && !m.Releasing && !m.Quarantined
			if usable && m.Free().CountFitting(job.Spec.Request) > 0 && zoneAllowed(job, offeringOf(m)) {
				return fmt.Sprintf("%+v has waited for %v beside %s with %v free", job.Spec, waited.Duration(), m.ID, m.Free())
			}
		}
		for offering, left := range f.offered {
			capacity := cluster.CapacityOf(f.as.State.InstanceTypes[offering.InstanceType])
			if left > 0 && capacity.CountFitting(job.Spec.Request) > 0 && zoneAllowed(job, offering) {
				return fmt.Sprintf("%+v has waited for %v while %+v can be rented", job.Spec, waited.Duration(), offering)
			}
		}
	}
	return ""
}

// zoneAllowed reports whether one more task of the job may run on a machine of the offering.
func zoneAllowed(job *cluster.Job, offering Offering) bool {
	inZone, elsewhere := 0, 0
	for attempt := range job.LiveAttempts.All() {
		if attempt.Machine.Zone == offering.Zone {
			inZone++
		} else {
			elsewhere++
		}
	}
	spreads := !job.Spec.ZoneSpread || inZone < (job.Spec.Tasks+1)/2
	together := !job.Spec.ZoneAffinity || elsewhere == 0
	return spreads && together && scheduler.PlacementAllowed(&job.Spec, offering.InstanceType, offering.Zone, offering.Spot)
}

// Once the troubles are over, no job is left waiting for 90 s while a machine that fits has room or
// can be rented. Once no task ends any more, the autoscaler rents nothing.
func TestNoJobWaitsBesideRoom(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := drawFleet(rt, t)
		for number := range rapid.IntRange(1, maxDrawnJobs).Draw(rt, "jobs") {
			f.submitDrawn(rt, number)
		}
		for range rapid.IntRange(0, maxDrawnTroubles).Draw(rt, "troubles") {
			f.run(units.Seconds(float64(rapid.IntRange(1, maxTroubleGap).Draw(rt, "gap"))))
			f.troubleDrawn(rt)
		}
		f.run(settleTime)
		// The end of a task may free quota for others, for which machines are rented.
		for end := f.clock.Now + workTime; f.finiteTasksRun(); f.step() {
			if f.clock.Now >= end {
				rt.Fatalf("tasks still run after %v", workTime.Duration())
			}
		}
		rented := f.rented
		for end := f.clock.Now + quietTime; f.clock.Now < end; f.step() {
			if waiting := f.jobBesideRoom(); waiting != "" {
				rt.Fatal(waiting)
			}
		}
		if f.rented != rented {
			rt.Fatalf("%d machines rented in %v without a trouble", f.rented-rented, quietTime.Duration())
		}
	})
}
