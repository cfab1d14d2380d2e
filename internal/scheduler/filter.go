package scheduler

import (
	"slices"

	"dunestand/internal/cluster"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// Why a job is not placed: jobSchedulable says whether it is considered at all,
// MachineSchedulable whether a machine is, feasible whether the two go together,
// tasksWithinQuota what its team's limit leaves, and freeFor what the machine has free for it.
// A job of a team that is blocked by another of its jobs (planner.blockFullTeam) waits, too.

// jobSchedulable reports whether tasks of a job may be placed now.
func jobSchedulable(job *cluster.Job, now units.Micros) bool {
	return job.HasTasksToPlace() && now >= job.RetryAt && len(job.UnreconciledMachines) == 0
}

// MachineSchedulable reports whether a machine may be given work.
func (sc *Scheduler) MachineSchedulable(m *cluster.Machine, now units.Micros) bool {
	return m.Registered && m.FencingToken == sc.Token && m.Capacity.CPU > 0 &&
		!m.Quarantined && !m.Releasing && m.TerminatesAt == 0 &&
		!m.IgnoresCommands() && now >= m.BlockedUntil &&
		now-m.LastHeartbeat < sc.Detector.SuspectAfter()
}

// feasible reports whether a job may be placed on a machine of the snapshot, free capacity
// and quota aside. A slow machine gets no urgent work.
func (p *planner) feasible(machine int, job *JobView) bool {
	m := &p.snapshot.Machines[machine]
	return m.Schedulable &&
		!(m.Slow && job.urgent()) &&
		PlacementAllowed(job.Spec, m.InstanceType, m.Zone, m.Spot) &&
		tasksWithinZone(job, m.Zone) > 0 &&
		!job.Avoid(m.ID)
}

// PlacementAllowed reports whether a job's tasks may be on machines of an offering: an
// instance type in a zone, as a spot instance or not.
func PlacementAllowed(spec *protocol.JobSpec, instanceType, zone string, spot bool) bool {
	return (spec.InstanceTypes == nil || slices.Contains(spec.InstanceTypes, instanceType)) &&
		(spec.Zone == "" || spec.Zone == zone) && (spec.AllowSpot || !spot)
}

// tasksWithinQuota returns how many more tasks of the job its team's quota limit allows.
func (p *planner) tasksWithinQuota(job *JobView) int {
	team := &p.snapshot.Teams[job.Team]
	return team.QuotaLimit.Plus(team.Used, -1).CountFitting(job.Spec.Request)
}

// tasksWithinZone returns how many more tasks of the job may be in a zone; none where the
// zone is not allowed at all.
func tasksWithinZone(job *JobView, zone string) int {
	if job.Spec.Zone != "" && job.Spec.Zone != zone {
		return 0
	}
	allowed := job.Spec.Tasks
	if job.Spec.ZoneSpread {
		allowed = (job.Spec.Tasks+1)/2 - job.LiveByZone[zone]
	}
	if job.Spec.ZoneAffinity {
		for other, live := range job.LiveByZone {
			if live > 0 && other != zone {
				return 0
			}
		}
	}
	return allowed
}

// freeFor returns the free capacity of a machine that a job may use: the headroom is for
// replicas of services, and for jobs that have waited too long.
func (m *MachineView) freeFor(job *JobView) units.Resources {
	if job.Spec.Kind == protocol.Service || job.Starved {
		return m.Free
	}
	return m.Free.Plus(m.Headroom, -1)
}
