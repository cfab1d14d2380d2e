package controller

import (
	"dunestand/internal/cluster"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// logSummary logs the fleet's capacity, its usage and the pending tasks. The caller must hold
// the state lock.
func (l *Leader) logSummary(now units.Micros) {
	var capacity, used units.Resources
	reporting := 0
	for _, machine := range l.state.Machines {
		if l.isReporting(machine, now) {
			reporting++
			capacity, used = capacity.Plus(machine.Capacity, 1), used.Plus(machine.Used, 1)
		}
	}
	var pending [protocol.NumPriorities]int
	for _, job := range l.state.Jobs {
		pending[job.Spec.Priority] += job.Pending()
	}
	l.Log.Info("fleet summary", "machines", reporting, "cpus", capacity.CPU.Float(), "cpus_used", used.CPU.Float(),
		"cpus_running", runningRequests(l.state).CPU.Float(),
		"pending_low", pending[protocol.Low], "pending_normal", pending[protocol.Normal],
		"pending_high", pending[protocol.High], "pending_prod", pending[protocol.Production],
		"jobs", len(l.state.Jobs), "teams_near_limit", teamsNearLimit(l.state), "cycle_cost_us", int64(l.scheduler.CycleCost),
		"state_requests", l.KV.Stats.Requests.Load(), "state_writes", l.KV.Stats.Writes.Load())
}

// isReporting reports whether a machine is registered and its heartbeats arrive. The caller
// must hold the state lock.
func (l *Leader) isReporting(machine *cluster.Machine, now units.Micros) bool {
	return machine.Registered && now-machine.LastHeartbeat < l.detector.SuspectAfter()
}

// runningRequests returns the sum of the resource requests of all running attempts.
func runningRequests(state *cluster.State) units.Resources {
	var running units.Resources
	for _, machine := range state.Machines {
		for _, attempt := range machine.Attempts {
			if attempt.Stage == cluster.Running {
				running = running.Plus(attempt.Job.Spec.Request, 1)
			}
		}
	}
	return running
}

// teamsNearLimit returns how many teams use more than nine tenths of the CPUs of their quota
// limit.
func teamsNearLimit(state *cluster.State) int {
	near := 0
	for _, team := range state.Teams {
		if team.Used.CPU > team.QuotaLimit.CPU*9/10 {
			near++
		}
	}
	return near
}
