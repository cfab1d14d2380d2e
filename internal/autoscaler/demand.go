package autoscaler

import (
	"dunestand/internal/cluster"
	"dunestand/internal/config"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// TaskDemand is a number of tasks of the same specification.
type TaskDemand struct {
	Spec  *protocol.JobSpec
	Count int
}

// Demand returns the unfinished tasks that fit into their teams' quota limits, earlier
// submissions first, and the replicas for which the fleet is to have headroom.
func (as *Autoscaler) Demand() []TaskDemand {
	quotaLeft := map[string]units.Resources{}
	for name, team := range as.State.Teams {
		quotaLeft[name] = team.QuotaLimit
	}
	var demand []TaskDemand
	for _, job := range as.State.JobsBySubmission() {
		if job.Cancelled || !job.Accepted() {
			continue
		}
		left := quotaLeft[job.Spec.Team]
		if count := min(job.Unfinished(), left.CountFitting(job.Spec.Request)); count > 0 {
			quotaLeft[job.Spec.Team] = left.Plus(job.Spec.Request, -count)
			demand = append(demand, TaskDemand{&job.Spec, count})
		}
	}
	if replica := as.Scheduler.HeadroomReplica(); replica != nil {
		demand = append(demand, TaskDemand{replica, as.Scheduler.HeadroomReplicaCount(replica)})
	}
	return demand
}

// PolicyInput returns the values from which the policy computes the reserve, the spot
// preference and the idle timeout.
func (as *Autoscaler) PolicyInput() config.FleetInput {
	in := config.FleetInput{Hour: int(as.Clock.Wall() / units.Second / 3600 % 24)}
	for _, job := range as.State.Jobs {
		if !job.IsService() {
			as.lastFiniteJobAt = as.Clock.Steady()
			break
		}
	}
	in.QuietS = (as.Clock.Steady() - as.lastFiniteJobAt).Seconds()
	for _, team := range as.State.Teams {
		in.GuaranteedCPUs += team.GuaranteedQuota.CPU.Float()
		in.LimitCPUs += team.QuotaLimit.CPU.Float()
	}
	for _, demand := range as.Demand() {
		in.DemandCPUs += demand.Spec.Request.CPU.Float() * float64(demand.Count)
	}
	for _, m := range as.State.Machines {
		if !m.Releasing {
			in.FleetCPUs += m.Capacity.CPU.Float()
		}
	}
	return in
}

// A machine that has not registered counts as capacity for bootGraceFactor boot times plus
// bootGraceMargin after its launch.
const (
	bootGraceFactor = 3 // multiple of its instance type's boot time
	bootGraceMargin = 10 * units.Second
)

// bootGrace returns the time after its launch for which a machine may still be booting.
func (as *Autoscaler) bootGrace(m *cluster.Machine) units.Micros {
	return bootGraceFactor*as.bootTime(m) + bootGraceMargin
}

// capacityView returns the input of PlanScaleOut without Unavailable, which the caller sets.
func (as *Autoscaler) capacityView(in config.FleetInput) CapacityView {
	view := CapacityView{
		InstanceTypes:  as.State.InstanceTypes,
		Machines:       map[Offering]int{},
		Demand:         as.Demand(),
		ReserveCPUs:    as.Policy.ReserveCPUs(in),
		SpotPreference: as.Policy.SpotPreference(in),
	}
	now := as.Clock.Steady()
	for _, m := range as.State.Machines {
		if as.countsAsCapacity(m, now) {
			view.Machines[offeringOf(m)]++
		}
	}
	return view
}

// countsAsCapacity reports whether a machine is or soon will be available for work: it is not about
// to go, and it has registered, may still be booting, or may not have found a new leader yet.
func (as *Autoscaler) countsAsCapacity(m *cluster.Machine, now units.Micros) bool {
	if m.Releasing || m.Quarantined || m.TerminatesAt > 0 {
		return false
	}
	booting := now-m.LaunchedAt <= as.bootGrace(m)
	searching := m.Stage == protocol.MachineRunning && now-as.ElectedAt <= as.Detector.LeaderSearchTime()
	return m.Registered || booting || searching
}
