package admission

// Usage is the usage of one team in a pool at the time of a plan, beside its share. All
// amounts of work are within the plan's horizon.
type Usage struct {
	Team       string
	Pool       Pool
	Guaranteed Work // by its guaranteed quota
	Share      Work // its max-min share, of its backlog and waiting work
	Backlog    Work // of its unfinished jobs
	Waiting    Work // of the jobs on the waiting list
	Restricted bool // backlog and waiting work exceed the share
}

// Excess returns the backlog beyond the share: work that was admitted before other teams came
// back, or by the last job of a version quota.
func (s Usage) Excess() Work { return max(s.Backlog-s.Share, 0) }

// usage returns the usage of the team with this share.
func (s teamShare) usage(team string, pool Pool) Usage {
	return Usage{
		Team:       team,
		Pool:       pool,
		Guaranteed: s.guaranteed,
		Share:      s.granted,
		Backlog:    s.demand.backlog,
		Waiting:    s.demand.waiting,
		Restricted: s.contested(),
	}
}
