package autoscaler

import (
	"dunestand/internal/config"
	"dunestand/internal/units"
)

func (as *Autoscaler) PolicyInput() config.FleetInput {
	in := config.FleetInput{Hour: int(as.Clock.Wall() / units.Second / 3600 % 24)}
	for _, j := range as.State.Jobs {
		if !j.IsService() {
			as.lastFiniteJobAt = as.Clock.Steady()
			break
		}
	}
	in.QuietS = (as.Clock.Steady() - as.lastFiniteJobAt).Seconds()
	for _, team := range as.State.Teams {
		in.GuaranteedCPUs += team.GuaranteedQuota.CPU.Float()
		in.LimitCPUs += team.QuotaLimit.CPU.Float()
	}
	for _, n := range as.Demand() {
		in.DemandCPUs += n.Spec.Request.CPU.Float() * float64(n.Count)
	}
	for _, m := range as.State.Machines {
		if !m.Releasing {
			in.FleetCPUs += m.Capacity.CPU.Float()
		}
	}
	return in
}

// Demand lists the tasks that are not done, as far as their teams' limits let
// them run, and the replicas that room is kept for.
func (as *Autoscaler) Demand() []TaskDemand {
	left := map[string]units.Resources{}
	for name, team := range as.State.Teams {
		left[name] = team.QuotaLimit
	}
	var out []TaskDemand
	for _, j := range as.State.JobsBySubmission() {
		if j.Cancelled || !j.Accepted() {
			continue
		}
		room := left[j.Spec.Team]
		if n := min(j.Unfinished(), room.Fits(j.Spec.Request)); n > 0 {
			left[j.Spec.Team] = room.Plus(j.Spec.Request, -n)
			out = append(out, TaskDemand{&j.Spec, n})
		}
	}
	if like := as.Scheduler.HeadroomReplica(); like != nil {
		out = append(out, TaskDemand{like, as.Scheduler.HeadroomReplicaCount(like)})
	}
	return out
}

// capacityView is what the renting decision looks at.
func (as *Autoscaler) capacityView(in config.FleetInput) CapacityView {
	v := CapacityView{InstanceTypes: as.State.InstanceTypes, Machines: map[Offering]int{}, Demand: as.Demand(),
		ReserveCPUs: as.Policy.ReserveCPUs(in), SpotPreference: as.Policy.SpotPreference(in)}
	now := as.Clock.Steady()
	for _, m := range as.State.Machines {
		boot := units.Seconds(as.State.InstanceTypes[m.InstanceType].BootS)
		if m.Releasing || m.Quarantined || m.TerminatesAt > 0 || !m.Registered && now-m.RentedAt > bootGraceFactor*boot+10*units.Second {
			continue
		}
		v.Machines[Offering{m.InstanceType, m.Zone, m.Spot}]++
	}
	return v
}
