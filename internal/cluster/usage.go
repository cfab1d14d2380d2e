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
	Used            units.Resources
	Freeing         units.Resources // part of Used, held by attempts that are to be stopped
}

func newTeam(t config.Team) *Team {
	return &Team{
		Name:       t.Name,
		QuotaLimit: QuotaLimitOf(t),
		GuaranteedQuota: units.Resources{
			CPU:    units.AmountOf(t.CPUs),
			GPU:    units.AmountOf(t.GPUs),
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
		CPU:    quotaAmount(t.CPUsMax),
		GPU:    quotaAmount(t.GPUsMax),
		Memory: unlimited,
	}
}

func quotaAmount(setting float64) units.Amount {
	if setting == 0 {
		return unlimited
	}
	return units.AmountOf(setting)
}

// addUsage adds an attempt's request n times, 1 or -1, to what its machine and team use.
func (s *State) addUsage(a *Attempt, n int) {
	a.Machine.Used = a.Machine.Used.Plus(a.Job.Spec.Request, n)
	if t := s.Teams[a.Job.Spec.Team]; t != nil {
		t.Used = t.Used.Plus(a.Job.Spec.Request, n)
	}
	if a.Stopping {
		s.addFreeing(a, n)
	}
}

// addFreeing is addUsage for the part that attempts which are to be stopped hold.
func (s *State) addFreeing(a *Attempt, n int) {
	a.Machine.Freeing = a.Machine.Freeing.Plus(a.Job.Spec.Request, n)
	if t := s.Teams[a.Job.Spec.Team]; t != nil {
		t.Freeing = t.Freeing.Plus(a.Job.Spec.Request, n)
	}
}
