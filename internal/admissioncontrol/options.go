package admissioncontrol

import (
	"dunestand/internal/admission"
	"dunestand/internal/cluster"
	"dunestand/internal/config"
	"dunestand/internal/units"
)

// OptionsOf converts the admission settings of a policy.
func OptionsOf(p config.AdmissionPolicy) admission.Options {
	return admission.Options{
		Horizon:     p.Horizon,
		TeamShares:  weightsOf(p.TeamShares),
		ClassShares: weightsOf(p.ClassShares),
	}
}

// weightsOf returns the weights of shares, by name.
func weightsOf(shares []config.Share) map[string]float64 {
	weights := map[string]float64{}
	for _, share := range shares {
		weights[share.Name] = share.Weight
	}
	return weights
}

// teamsOf converts the teams of the settings.
func teamsOf(teams []config.Team) []admission.Team {
	out := make([]admission.Team, len(teams))
	for i, t := range teams {
		out[i] = admission.Team{
			Name:            t.Name,
			GuaranteedQuota: admission.Amounts{admission.CPU: units.AmountOf(t.GuaranteedCPUs), admission.GPU: units.AmountOf(t.GuaranteedGPUs)},
			QuotaLimit:      admission.AmountsOf(cluster.QuotaLimitOf(t)),
		}
	}
	return out
}
