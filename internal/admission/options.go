package admission

import "dunestand/internal/units"

// Options are the operators' choices.
type Options struct {
	// Horizon is for how much time ahead work is admitted: a team's share of the fleet,
	// used for so long, is what its unfinished jobs may come to. 0: admission is off.
	Horizon units.Micros
	// TeamShares are weights of teams. One that is left out has its guarantee.
	TeamShares map[string]float64
	// ClassShares are weights of classes within a team. One that is left out has 1.
	ClassShares map[string]float64
}

// On tells whether jobs are admitted by a plan.
func (o Options) On() bool { return o.Horizon > 0 }

// Team is what the settings say of a team.
type Team struct {
	Name      string
	Guarantee Amounts
	Limit     Amounts
}

// totalGuarantee returns the sum of the guaranteed quotas of all teams.
func totalGuarantee(teams []Team) Amounts {
	var total Amounts
	for _, team := range teams {
		for pool, amount := range team.Guarantee {
			total[pool] += amount
		}
	}
	return total
}

// minTeamWeight is the weight of a team that is guaranteed nothing, in units of the
// resource: it is served after the others, but not starved.
const minTeamWeight = 1.0

// teamWeight gives a team's weight in a pool.
func (o Options) teamWeight(team Team, pool Pool) float64 {
	if weight, given := o.TeamShares[team.Name]; given {
		return weight
	}
	return max(team.Guarantee[pool].Float(), minTeamWeight)
}

// defaultClassWeight is the weight of a class of which the operators say nothing.
const defaultClassWeight = 1.0

func (o Options) classWeight(class string) float64 {
	if weight, given := o.ClassShares[class]; given {
		return weight
	}
	return defaultClassWeight
}
