package admission

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"

	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// PlanLifetime is how long a plan may be followed after it was written. The leader renews it three
// times in that time.
const PlanLifetime = 10 * units.Second

// ErrStalePlan reports a plan with an older fencing token or version than the plan of an older
// revision of its record. The leaders' compare-and-swap excludes that, so the record was
// damaged.
var ErrStalePlan = errors.New("admission plan is older than the plan of a former revision of its record")

// PlanStore holds the plan in force on one controller and accounts for its version quotas. It is
// safe for concurrent use.
type PlanStore struct {
	fallback *Plan
	nodes    int // number of controllers, each of which may be isolated

	mu              sync.Mutex // guards the fields below
	known           bool       // whether the record was read, or found to be missing
	revision        uint64     // the newest one that was read
	observed        ObservedPlan
	used            map[quotaKey]Work // admitted under the plan in force, by version quota
	fallbackRenewed units.Micros      // when its quotas were last renewed
	counts          map[string]Counts // by team
}

// ObservedPlan is the plan's record as a controller has read it, and when it was written.
type ObservedPlan struct {
	Plan     *Plan  // nil: there is none, or it cannot be decoded
	Revision uint64 // of the record; 0: there is none
	// The record was written between these times of the controller's steady clock. The plan
	// is in force until it may be older than its lifetime, the fallback plan once it must be.
	WrittenAfter, WrittenBefore units.Micros
}

// Counts is the number of decisions by verdict.
type Counts struct{ Admitted, Waits, Undecided uint64 }

// NewPlanStore returns a plan store for one of a number of controllers (nodes). Until the plan's
// record was read no plan is in force.
func NewPlanStore(options Options, teams []Team, nodes int) *PlanStore {
	return &PlanStore{
		fallback: FallbackPlan(options, teams),
		nodes:    max(nodes, 1),
		used:     map[quotaKey]Work{},
		counts:   map[string]Counts{},
	}
}

// Update records what the plan's record holds at a revision. A revision that is not newer than
// the last one is ignored. The error is an ErrStalePlan, which leaves the plan in force as it
// is.
func (s *PlanStore) Update(observed ObservedPlan) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if observed.Revision <= s.revision {
		return nil
	}
	former := s.observed.Plan
	if former != nil && observed.Plan != nil && !observed.Plan.follows(former) {
		return fmt.Errorf("%w: version %d with fencing token %d follows version %d with token %d", ErrStalePlan,
			observed.Plan.Version, observed.Plan.FencingToken, former.Version, former.FencingToken)
	}
	s.revision, s.observed, s.known = observed.Revision, observed, true
	s.used = map[quotaKey]Work{}
	return nil
}

// follows reports whether a plan may replace a former one.
func (p *Plan) follows(former *Plan) bool {
	return p.FencingToken >= former.FencingToken && p.Version > former.Version
}

// Clear records that there is no plan at a revision of the key-value store.
func (s *PlanStore) Clear(revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision >= s.revision {
		s.revision, s.observed, s.known = revision, ObservedPlan{}, true
		s.used = map[quotaKey]Work{}
	}
}

// PlanSource is where the plan in force comes from.
type PlanSource uint8

// The sources of the plan in force.
const (
	// SourceUncertain means that no plan is in force: the record was not read yet, or the plan may
	// have expired.
	SourceUncertain PlanSource = iota
	// SourceRecord means that the plan of the record is in force.
	SourceRecord
	// SourceFallback means that the fallback plan is in force: there is no other, or it has expired.
	SourceFallback
)

// State is what a plan store goes by at a time.
type State struct {
	Source   PlanSource
	Plan     *Plan        // the one in force; nil: none
	Revision uint64       // of the plan's record; 0: there is none
	Age      units.Micros // upper bound of the age of the record
}

// State returns the state at a time of the steady clock.
func (s *PlanStore) State(now units.Micros) State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stateAt(now)
}

// stateAt is State under the lock.
func (s *PlanStore) stateAt(now units.Micros) State {
	observed := s.observed
	state := State{Revision: observed.Revision, Age: now - observed.WrittenAfter}
	switch {
	case !s.known:
	case observed.Plan != nil && state.Age < PlanLifetime:
		state.Source, state.Plan = SourceRecord, observed.Plan
	case observed.Plan == nil, now-observed.WrittenBefore >= PlanLifetime:
		state.Source, state.Plan = SourceFallback, s.fallback
	}
	return state
}

// LatestPlan returns the plan by which work is estimated: the last one that was read, in force
// or not, or else the fallback plan.
func (s *PlanStore) LatestPlan() *Plan {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.observed.Plan != nil {
		return s.observed.Plan
	}
	return s.fallback
}

// Role is the role in which a controller decides.
type Role uint8

// The roles. A controller that does not reach the leader may use only its part of a version
// quota, for all others may do the same.
const (
	Isolated Role = iota
	Leader
)

// Decide decides about a job that is not known yet, and charges it to a version quota if it
// admits it. An acceptance must be conditional on the returned revision of the plan's record.
func (s *PlanStore) Decide(job *protocol.JobSpec, role Role, now units.Micros) (d Decision, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.stateAt(now)
	switch state.Source {
	case SourceUncertain:
		s.countDecision(job.Team, Undecided)
		return Decision{Verdict: Undecided, Reason: PlanUncertain, RetryAfter: undecidedRetry}, state.Revision
	case SourceFallback:
		s.renewFallbackQuotas(now)
	}
	d = state.Plan.Decide(job)
	if d.Verdict == Admit && d.charged {
		sharedBy := uint64(1)
		if role == Isolated || state.Source == SourceFallback {
			sharedBy = uint64(s.nodes)
		}
		if !s.charge(d.quota, state.Plan.versionQuota(d.quota).scaled(1, sharedBy), d.Cost) {
			d.Verdict, d.Reason, d.RetryAfter = Undecided, QuotaExhausted, undecidedRetry
		}
	}
	s.countDecision(job.Team, d.Verdict)
	return d, state.Revision
}

// charge charges an admission to a quota and reports whether any of it was left. The last
// admission may exceed it, so a job that is larger than the quota is admitted too; a quota of
// 0 admits one job.
func (s *PlanStore) charge(key quotaKey, quota, cost Work) bool {
	if s.used[key] >= max(quota, 1) {
		return false
	}
	s.used[key] = s.used[key].Plus(cost)
	return true
}

// renewFallbackQuotas renews the version quotas of the fallback plan once per PlanLifetime, so
// that without a plan the jobs of each team are admitted at the rate of its guaranteed quota.
func (s *PlanStore) renewFallbackQuotas(now units.Micros) {
	if s.fallbackRenewed == 0 || now-s.fallbackRenewed >= PlanLifetime {
		s.fallbackRenewed = now
		s.used = map[quotaKey]Work{}
	}
}

// versionQuota returns the version quota that a key identifies.
func (p *Plan) versionQuota(key quotaKey) Work {
	if key.ofTeam {
		entry, _ := p.Team(key.flow.Team, key.flow.Pool)
		return entry.VersionQuota
	}
	restriction, _, _ := p.Restriction(key.flow)
	return restriction.VersionQuota
}

// countDecision counts a decision about a team's job.
func (s *PlanStore) countDecision(team string, verdict Verdict) {
	counts := s.counts[team]
	switch verdict {
	case Admit:
		counts.Admitted++
	case Wait:
		counts.Waits++
	case Undecided:
		counts.Undecided++
	}
	s.counts[team] = counts
}

// TeamCounts is the number of decisions about a team's jobs, by verdict.
type TeamCounts struct {
	Team string
	Counts
}

// CountsByTeam returns the decisions so far, in the order of the teams' names.
func (s *PlanStore) CountsByTeam() []TeamCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]TeamCounts, 0, len(s.counts))
	for _, team := range slices.Sorted(maps.Keys(s.counts)) {
		out = append(out, TeamCounts{Team: team, Counts: s.counts[team]})
	}
	return out
}
