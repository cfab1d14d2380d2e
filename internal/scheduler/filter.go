package scheduler

import (
	"slices"

	"dunestand/internal/cluster"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// A job's task is placed on a machine only if the job is schedulable (jobSchedulable), the
// machine is schedulable (MachineSchedulable), the machine is feasible for the job (feasible),
// the team's quota limit has room for the task (tasksWithinQuota), the machine has enough free
// capacity for it (freeFor), and no earlier job of the team blocks the team
// (planner.blockFullTeam).

// jobSchedulable reports whether tasks of a job may be placed now.
func jobSchedulable(job *cluster.Job, now units.Micros) bool {
	return job.HasTasksToPlace() && now >= job.RetryAt && len(job.UnreconciledMachines) == 0
}

// MachineSchedulable reports whether a machine may be given work now. A machine that has not
// shown the leader's fencing token may not, nor one that is suspected to be lost, is
// faulty, is being released or is about to terminate.
func (sc *Scheduler) MachineSchedulable(m *cluster.Machine, now units.Micros) bool {
	return m.Registered && m.FencingToken == sc.Token && m.Capacity.CPU > 0 &&
		!m.Quarantined && !m.Releasing && m.TerminatesAt == 0 &&
		!m.IgnoresCommands() && now >= m.BlockedUntil &&
		now-m.LastHeartbeat < sc.Detector.SuspectAfter()
}

// feasible reports whether a job may be placed on a machine of the snapshot, without regard to
// free capacity and quota. A slow machine gets urgent work only after a long wait: it may be the
// only one that fits, and only further runs on it can show that it is no longer slow.
func (p *planner) feasible(machine int, job *JobView) bool {
	m := &p.snapshot.Machines[machine]
	return m.Schedulable &&
		!(m.Slow && job.urgent() && !job.WaitedLong) &&
		PlacementAllowed(job.Spec, m.InstanceType, m.Zone, m.Spot) &&
		tasksWithinZone(job, m.Zone) > 0 &&
		!job.Avoid(m.ID)
}

// PlacementAllowed reports whether a job's specification allows its tasks to run on machines
// of an instance type in a zone, as spot instances or not.
func PlacementAllowed(spec *protocol.JobSpec, instanceType, zone string, spot bool) bool {
	return (spec.InstanceTypes == nil || slices.Contains(spec.InstanceTypes, instanceType)) &&
		(spec.Zone == "" || spec.Zone == zone) && (spec.AllowSpot || !spot)
}

// tasksWithinQuota returns how many more tasks of the job fit into its team's quota limit.
func (p *planner) tasksWithinQuota(job *JobView) int {
	team := &p.snapshot.Teams[job.Team]
	return team.QuotaLimit.Plus(team.Used, -1).CountFitting(job.Spec.Request)
}

// tasksWithinZone returns an upper bound on how many more tasks of the job may be placed in a
// zone. The bound follows from the zone, topology spread and zone affinity that the job
// specifies. It is zero or negative if the zone is not allowed or already has its share of the
// tasks.
func tasksWithinZone(job *JobView, zone string) int {
	if job.Spec.Zone != "" && job.Spec.Zone != zone || job.onlyZone != "" && job.onlyZone != zone {
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

// freeFor returns the free capacity of a machine that a job may use. Only services and starved
// jobs may use the headroom, and after a long wait also a job whose tasks never fit beside it.
func (m *MachineView) freeFor(job *JobView) units.Resources {
	if job.Spec.Kind == protocol.Service || job.Starved || job.WaitedLong && m.neverFitsBesideHeadroom(job) {
		return m.Free
	}
	return m.Free.Plus(m.Headroom, -1)
}

// neverFitsBesideHeadroom reports whether a task of the job does not fit on the machine beside the
// headroom, even when all tasks there that complete have done so.
func (m *MachineView) neverFitsBesideHeadroom(job *JobView) bool {
	return m.Capacity.Plus(m.Services, -1).Plus(m.Headroom, -1).CountFitting(job.Spec.Request) == 0
}
