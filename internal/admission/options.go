package admission

import "dunestand/internal/units"

// Options are the operators' settings of admission.
type Options struct {
	// Horizon is how far ahead work is admitted: the unfinished work of a team may add up to
	// what its share of the fleet can do in that time. 0 turns admission by a plan off.
	Horizon units.Micros
	// TeamShares are the weights of teams. The weight of a team that is not in the map is its
	// guaranteed quota.
	TeamShares map[string]float64
	// ClassShares are the weights of classes within a team. The weight of a class that is not
	// in the map is 1.
	ClassShares map[string]float64
}

// Enabled reports whether jobs are admitted by a plan.
func (o Options) Enabled() bool { return o.Horizon > 0 }

// Team is a team and its quotas, by the settings.
type Team struct {
	Name            string
	GuaranteedQuota Amounts // served first, whatever other teams request
	QuotaLimit      Amounts // bounds the share, even if other teams leave capacity unrequested
}

// totalGuarantee returns the sum of the guaranteed quotas of all teams.
func totalGuarantee(teams []Team) Amounts {
	var total Amounts
	for _, team := range teams {
		for pool, amount := range team.GuaranteedQuota {
			total[pool] += amount
		}
	}
	return total
}

// minTeamWeight is the least weight of a team without a configured one, in units of the
// resource, so that a team with a small guaranteed quota, or none, is not starved.
const minTeamWeight = 1.0

// teamWeight returns the weight of a team in a pool: the configured one, or else the guaranteed
// quota, at least minTeamWeight.
func (o Options) teamWeight(team Team, pool Pool) float64 {
	if weight, given := o.TeamShares[team.Name]; given {
		return weight
	}
	return max(team.GuaranteedQuota[pool].Float(), minTeamWeight)
}

// defaultClassWeight is the weight of a class without a configured one.
const defaultClassWeight = 1.0

// classWeight returns the weight of a class within its team.
func (o Options) classWeight(class string) float64 {
	if weight, given := o.ClassShares[class]; given {
		return weight
	}
	return defaultClassWeight
}
