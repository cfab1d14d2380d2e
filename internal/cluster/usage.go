package cluster

import (
	"dunestand/internal/config"
	"dunestand/internal/units"
)

// Team is a team, its quota and its usage.
type Team struct {
	Name            string
	GuaranteedQuota units.Resources
	QuotaLimit      units.Resources
	Usage
}

// Usage is what the attempts on a machine or of a team have requested.
type Usage struct {
	Used    units.Resources
	Freeing units.Resources // part of Used, held by attempts that are to be stopped
}

// add adds a request so many times to Used and to Freeing.
func (u *Usage) add(request units.Resources, used, freeing int) {
	u.Used = u.Used.Plus(request, used)
	u.Freeing = u.Freeing.Plus(request, freeing)
}

func newTeam(t config.Team) *Team {
	return &Team{
		Name:       t.Name,
		QuotaLimit: QuotaLimitOf(t),
		GuaranteedQuota: units.Resources{
			CPU:    units.AmountOf(t.GuaranteedCPUs),
			GPU:    units.AmountOf(t.GuaranteedGPUs),
			Memory: unlimited,
		},
	}
}

// unlimited stands for a quota limit where a team has none. It is far from the bounds of
// Amount, so that sums and shares of it do not overflow.
const unlimited = units.Amount(1) << 56

// QuotaLimitOf returns what a team's tasks may use at any time. A limit of 0 in the settings
// is none: guests, for instance, have neither guarantee nor limit.
func QuotaLimitOf(t config.Team) units.Resources {
	return units.Resources{
		CPU:    quotaAmount(t.LimitCPUs),
		GPU:    quotaAmount(t.LimitGPUs),
		Memory: unlimited,
	}
}

func quotaAmount(setting float64) units.Amount {
	if setting == 0 {
		return unlimited
	}
	return units.AmountOf(setting)
}

// addUsage adds an attempt's request to the usage of its machine and team, so many times to
// Used and to Freeing.
func (s *State) addUsage(a *Attempt, used, freeing int) {
	a.Machine.Usage.add(a.Job.Spec.Request, used, freeing)
	if t := s.Teams[a.Job.Spec.Team]; t != nil {
		t.Usage.add(a.Job.Spec.Request, used, freeing)
	}
}
