package admission

// fallbackVersion is the version of the fallback plan: no plan that was written has it.
const fallbackVersion = 0

// FallbackPlan is the plan that is in force without a valid one. It is worked out from the
// settings alone, and so is the same on every controller: any job is admitted, up to a
// quota that each team's guarantee can do in a Lifetime.
func FallbackPlan(options Options, teams []Team) *Plan {
	plan := newPlan(fallbackVersion, 0, options.Horizon, totalGuarantee(teams))
	for _, team := range teams {
		for pool := range Pool(numPools) {
			plan.setTeam(teamKey{Team: team.Name, Pool: pool}, TeamEntry{
				VersionQuota:       WorkOf(1, team.Guarantee[pool], Lifetime),
				LargeThreshold:     MaxWork,
				EstimateCorrection: exactEstimates,
			})
		}
	}
	return plan
}
