package admission

// fallbackVersion is the version of the fallback plan. The plans of leaders start at 1.
const fallbackVersion = 0

// FallbackPlan returns the plan that is in force while no other plan is valid. It depends on
// the settings alone, so it is the same on every controller. It admits any job, up to the work
// that each team's guaranteed quota can do within PlanLifetime.
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
