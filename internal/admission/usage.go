package admission

// Standing is how a team stood in a pool when a plan was made. All of it is work within the
// plan's horizon.
type Standing struct {
	Team       string
	Pool       Pool
	Guaranteed Work
	Share      Work // what it gets, by what it has and wants
	Backlog    Work // of its unfinished jobs
	Waiting    Work // of jobs that were told to come back
	Restricted bool // it wants more than it gets
}

// Excess is what a team has beyond its share: admitted before others came back, or beyond a
// quota by the last job of a version.
func (s Standing) Excess() Work { return max(s.Backlog-s.Share, 0) }

// usage returns a team's usage and its share.
func (s teamShare) usage(team string, pool Pool) Standing {
	return Standing{
		Team:       team,
		Pool:       pool,
		Guaranteed: s.guaranteed,
		Share:      s.granted,
		Backlog:    s.demand.backlog,
		Waiting:    s.demand.waiting,
		Restricted: s.contested(),
	}
}
