package cluster

import (
	"dunestand/internal/config"
	"dunestand/internal/units"
)

// Team is a team with its quotas and its usage.
type Team struct {
	Name            string
	GuaranteedQuota units.Resources
	QuotaLimit      units.Resources
	Usage
}

// Usage is the sum of the resource requests of the live attempts on a machine or of a team.
type Usage struct {
	Used    units.Resources
	Freeing units.Resources // the part of Used whose attempts are to be stopped
	// Services is the part of Used that is not freed by itself: of replicas of services, which do not
	// complete, unless they are to be stopped.
	Services units.Resources
}

// add adds the request of an attempt's job, multiplied by used and freeing, to Used and Freeing, and
// adjusts Services.
func (u *Usage) add(job *Job, used, freeing int) {
	request := job.Spec.Request
	u.Used = u.Used.Plus(request, used)
	u.Freeing = u.Freeing.Plus(request, freeing)
	if job.IsService() {
		u.Services = u.Services.Plus(request, used-freeing)
	}
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

// unlimited is the quota limit of a team without one. It is far below the maximum of Amount, so
// that sums and fractions of it do not overflow.
const unlimited = units.Amount(1) << 56

// QuotaLimitOf returns the quota limit of a team. A limit of 0 in the settings means unlimited:
// guests, for example, have neither a guaranteed quota nor a quota limit.
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

// addUsage adds an attempt's request, multiplied by used and freeing, to Used and Freeing of its
// machine and team.
func (s *State) addUsage(a *Attempt, used, freeing int) {
	a.Machine.Usage.add(a.Job, used, freeing)
	if t := s.Teams[a.Job.Spec.Team]; t != nil {
		t.Usage.add(a.Job, used, freeing)
	}
}
