package admission

// Usage is the usage of one team in a pool, and its share, at the time of a plan. All amounts
// of work are within the plan's horizon.
type Usage struct {
	Team       string
	Pool       Pool
	Guaranteed Work // capacity of the guaranteed quota
	Share      Work // max-min fair share
	Backlog    Work // work of unfinished jobs
	Waiting    Work // work of jobs on the waiting list
	Restricted bool // backlog and waiting work together exceed the share
}

// Excess returns the backlog beyond the share. It is positive if work was admitted while other
// teams had less demand, or if the last job under a version quota exceeded the quota.
func (s Usage) Excess() Work { return max(s.Backlog-s.Share, 0) }

// usage returns the usage of a team with this share in a pool.
func (s teamShare) usage(team string, pool Pool) Usage {
	return Usage{
		Team:       team,
		Pool:       pool,
		Guaranteed: s.guaranteed,
		Share:      s.granted,
		Backlog:    s.demand.backlog,
		Waiting:    s.demand.waiting,
		Restricted: s.demandExceedsShare(),
	}
}
