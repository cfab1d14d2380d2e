package scheduler

import (
	"slices"

	"dunestand/internal/cluster"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// MachineSchedulable tells whether a machine may be given work.
func (sc *Scheduler) MachineSchedulable(m *cluster.Machine, now units.Micros) bool {
	return m.Registered && m.FencingToken == sc.Token && !m.IgnoresCommands() && !m.Quarantined && !m.Releasing && m.TerminatesAt == 0 && m.Capacity.CPU > 0 &&
		now >= m.BlockedUntil && now-m.LastHeartbeat < sc.Detector.SuspectAfter()
}

// jobSchedulable tells whether tasks of a job may be placed now.
func (sc *Scheduler) jobSchedulable(j *cluster.Job, now units.Micros) bool {
	return j.HasTasksToPlace() && now >= j.RetryAt && len(j.UnreconciledMachines) == 0
}

// feasible tells whether a job may be started on a machine, room aside. A slow
// machine gets no urgent work.
func (p *planner) feasible(i int, j *JobView) bool {
	m := &p.snapshot.Machines[i]
	return m.Schedulable && !(m.Slow && j.Spec.Priority >= protocol.High) && PlacementAllowed(j.Spec, m.InstanceType, m.Zone, m.Spot) && tasksWithinZone(j, m.Zone) > 0 && !j.Avoid(m.ID)
}

// PlacementAllowed tells whether a job's tasks may be on machines of this kind.
func PlacementAllowed(spec *protocol.JobSpec, typ, zone string, spot bool) bool {
	return (spec.InstanceTypes == nil || slices.Contains(spec.InstanceTypes, typ)) &&
		(spec.Zone == "" || spec.Zone == zone) && (spec.AllowSpot || !spot)
}

// tasksWithinQuota is how many more tasks of the job its team's limit allows.
func (p *planner) tasksWithinQuota(j *JobView) int {
	t := &p.snapshot.Teams[j.Team]
	return t.QuotaLimit.Plus(t.Used, -1).Fits(j.Spec.Request)
}

// freeFor is a machine's room for a job.
func (m *MachineView) freeFor(j *JobView) units.Resources {
	if j.Spec.Kind == protocol.Service || j.Starved {
		return m.Free
	}
	return m.Free.Plus(m.Headroom, -1)
}

// tasksWithinZone is how many more tasks of the job may be in a zone, and whether
// the zone is allowed at all.
func tasksWithinZone(j *JobView, zone string) int {
	if j.Spec.Zone != "" && j.Spec.Zone != zone {
		return 0
	}
	room := j.Spec.Tasks
	if j.Spec.ZoneSpread {
		room = (j.Spec.Tasks+1)/2 - j.LiveByZone[zone]
	}
	if j.Spec.ZoneAffinity {
		for other, n := range j.LiveByZone {
			if n > 0 && other != zone {
				return 0
			}
		}
	}
	return room
}
