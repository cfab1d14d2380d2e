package scheduler

import (
	"testing"

	"dunestand/internal/fake"
	"dunestand/internal/protocol"
)

// A task may be preempted for an urgent job of a higher priority, or for a job within its
// team's guaranteed quota if the task's team exceeds its own. In both cases the task must come
// after the job in scheduling order, or the two would preempt each other in turn.
func TestOnlyOutrankedOrReclaimedTasksMayBePreempted(t *testing.T) {
	const ownTeam, beyondGuarantee, withinGuarantee = 0, 1, 2
	snapshot := Snapshot{Teams: []TeamView{
		ownTeam:         {GuaranteedQuota: fake.CPUs(4), Used: fake.CPUs(8)},
		beyondGuarantee: {GuaranteedQuota: fake.CPUs(4), Used: fake.CPUs(8)},
		withinGuarantee: {GuaranteedQuota: fake.CPUs(8), Used: fake.CPUs(8)},
	}}
	for _, c := range []struct {
		name           string
		priority       protocol.Priority
		guaranteed     bool
		victimTeam     int
		victimPriority protocol.Priority
		victimStarved  bool
		want           bool
	}{
		{"urgent for lower priority", protocol.High, false, withinGuarantee, protocol.Normal, false, true},
		{"urgent for its own team's lower priority", protocol.High, false, ownTeam, protocol.Low, false, true},
		{"urgent for equal priority", protocol.High, false, beyondGuarantee, protocol.High, false, false},
		{"urgent for a task that precedes it", protocol.High, false, withinGuarantee, protocol.Low, true, false},
		{"normal for lower priority", protocol.Normal, false, beyondGuarantee, protocol.Low, false, false},
		{"guaranteed for a team beyond its guarantee", protocol.Normal, true, beyondGuarantee, protocol.Normal, false, true},
		{"guaranteed for a team within its guarantee", protocol.Normal, true, withinGuarantee, protocol.Low, false, false},
		{"guaranteed for its own team", protocol.Normal, true, ownTeam, protocol.Low, false, false},
		{"guaranteed for an urgent task", protocol.Normal, true, beyondGuarantee, protocol.High, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			job := JobView{
				Spec:            &protocol.JobSpec{ID: "j-000001", Priority: c.priority},
				Team:            ownTeam,
				WithinGuarantee: c.guaranteed,
			}
			victim := Victim{
				Team:     c.victimTeam,
				Priority: c.victimPriority,
				Request:  fake.CPUs(1),
				Job: &JobView{
					Spec:    &protocol.JobSpec{ID: "j-000002", Priority: c.victimPriority},
					Team:    c.victimTeam,
					Starved: c.victimStarved,
				},
			}
			if got := newPlanner(&snapshot).mayPreempt(&job, victim); got != c.want {
				t.Errorf("may preempt: %v, want %v", got, c.want)
			}
		})
	}
}
