package admission

// fallbackVersion is the version of the fallback plan. No plan of a leader has it.
const fallbackVersion = 0

// FallbackPlan returns the plan that is in force without a valid one. It depends on the
// settings alone, and so is the same on every controller: it admits any job, up to the work
// that each team's guaranteed quota does in a PlanLifetime.
func FallbackPlan(options Options, teams []Team) *Plan {
	plan := newPlan(fallbackVersion, 0, options.Horizon, totalGuarantee(teams))
	for _, team := range teams {
		for pool := range Pool(numPools) {
			plan.setTeam(teamKey{Team: team.Name, Pool: pool}, TeamEntry{
				VersionQuota:       WorkOf(1, team.GuaranteedQuota[pool], PlanLifetime),
				LargeThreshold:     MaxWork,
				EstimateCorrection: exactEstimates,
			})
		}
	}
	return plan
}
