package controller

import (
	"dunestand/internal/cluster"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// logSummary logs how full the fleet is and what waits.
func (l *Leader) logSummary(now units.Micros) {
	var size, used units.Resources
	reporting := 0
	for _, m := range l.state.Machines {
		if m.Registered && now-m.LastHeartbeat < l.detector.SuspectAfter() {
			reporting++
			size, used = size.Plus(m.Capacity, 1), used.Plus(m.Used, 1)
		}
	}
	var pending [protocol.Priorities]int
	for _, j := range l.state.Jobs {
		pending[j.Spec.Priority] += j.Pending()
	}
	var running units.Resources
	for _, m := range l.state.Machines {
		for _, a := range m.Attempts {
			if a.Stage == cluster.Running {
				running = running.Plus(a.Job.Spec.Request, 1)
			}
		}
	}
	full := 0
	for _, team := range l.state.Teams {
		if team.Used.CPU > team.QuotaLimit.CPU*9/10 {
			full++
		}
	}
	l.Log.Info("fleet", "machines", reporting, "cpus", size.CPU.Float(), "cpus_used", used.CPU.Float(), "cpus_running", running.CPU.Float(),
		"pending_low", pending[protocol.Low], "pending_normal", pending[protocol.Normal],
		"pending_high", pending[protocol.High], "pending_prod", pending[protocol.Production],
		"jobs", len(l.state.Jobs), "teams_near_limit", full, "round_cost_us", int64(l.scheduler.CycleCost),
		"state_requests", l.KV.Stats.Requests.Load(), "state_writes", l.KV.Stats.Writes.Load())
}
