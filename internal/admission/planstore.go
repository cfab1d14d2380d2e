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

// PlanLifetime is how long a plan may be in force after it was written. The leader renews it
// three times within its lifetime.
const PlanLifetime = 10 * units.Second

// ErrStalePlan reports a plan whose fencing token is lower, or whose version is not higher, than
// that of the plan at an earlier revision of the record. The leaders' compare-and-swap excludes
// such a write, so the record is corrupt.
var ErrStalePlan = errors.New("admission plan is older than the plan at an earlier revision of its record")

// PlanStore holds the plan in force on one controller and accounts for its version quotas. It is
// safe for concurrent use.
type PlanStore struct {
	fallback    *Plan
	controllers int // number of controllers, each of which may be isolated

	mu                sync.Mutex // guards the fields below
	recordKnown       bool       // the record was read, or found to be missing
	revision          uint64     // newest revision of the record that was read
	observed          ObservedPlan
	used              map[quotaKey]Work // work admitted under the plan in force, by version quota
	fallbackRenewedAt units.Micros      // when the quotas of the fallback plan were last renewed
	counts            map[string]Counts // by team
}

// ObservedPlan is the plan's record as read by a controller, with bounds on the time at which
// it was written.
type ObservedPlan struct {
	Plan     *Plan  // nil: there is no plan, or it cannot be decoded
	Revision uint64 // revision of the record; 0: there is no record
	// The record was written between these times of the controller's steady clock. The plan is
	// in force while it cannot be older than PlanLifetime, the fallback plan once the plan is
	// certainly older.
	WrittenAfter, WrittenBefore units.Micros
}

// Counts holds the number of decisions by verdict.
type Counts struct{ Admitted, Waits, Undecided uint64 }

// NewPlanStore returns the plan store of one of a number of controllers. No plan is in force
// until Update or Clear is called.
func NewPlanStore(options Options, teams []Team, controllers int) *PlanStore {
	return &PlanStore{
		fallback:    FallbackPlan(options, teams),
		controllers: max(controllers, 1),
		used:        map[quotaKey]Work{},
		counts:      map[string]Counts{},
	}
}

// Update replaces the observed plan and resets the used version quotas. It ignores a plan whose
// revision is not newer than the last one. The error wraps ErrStalePlan, and the plan in force
// remains unchanged.
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
	s.revision, s.observed, s.recordKnown = observed.Revision, observed, true
	s.used = map[quotaKey]Work{}
	return nil
}

// follows reports whether the plan may replace a former one.
func (p *Plan) follows(former *Plan) bool {
	return p.FencingToken >= former.FencingToken && p.Version > former.Version
}

// Clear records that the key-value store holds no plan at a revision. A revision older than the
// last one is ignored.
func (s *PlanStore) Clear(revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision >= s.revision {
		s.revision, s.observed, s.recordKnown = revision, ObservedPlan{}, true
		s.used = map[quotaKey]Work{}
	}
}

// PlanSource is the source of the plan in force.
type PlanSource uint8

// The sources of the plan in force.
const (
	// SourceUncertain means that no plan is in force: the record was not read yet, or the plan
	// may have expired.
	SourceUncertain PlanSource = iota
	// SourceRecord means that the plan of the record is in force.
	SourceRecord
	// SourceFallback means that the fallback plan is in force: there is no other plan, or it has
	// expired.
	SourceFallback
)

// State is the state of a plan store at a time.
type State struct {
	Source   PlanSource
	Plan     *Plan        // plan in force; nil: none
	Revision uint64       // revision of the plan's record; 0: there is no record
	Age      units.Micros // upper bound of the age of the record
}

// State returns the state at a time of the steady clock.
func (s *PlanStore) State(now units.Micros) State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stateAt(now)
}

// stateAt is State for a caller that holds mu.
func (s *PlanStore) stateAt(now units.Micros) State {
	observed := s.observed
	state := State{Revision: observed.Revision, Age: now - observed.WrittenAfter}
	switch {
	case !s.recordKnown:
	case observed.Plan != nil && state.Age < PlanLifetime:
		state.Source, state.Plan = SourceRecord, observed.Plan
	case observed.Plan == nil, now-observed.WrittenBefore >= PlanLifetime:
		state.Source, state.Plan = SourceFallback, s.fallback
	}
	return state
}

// LatestPlan returns the plan for estimates of work: the last one that was read, whether it is
// in force or not, or else the fallback plan.
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

// The roles of a controller. An isolated controller does not reach the leader. It may use only
// its part of a version quota, since all other controllers may be admitting jobs, too.
const (
	RoleIsolated Role = iota
	RoleLeader
)

// Decide decides on a new job by the plan in force. An admitted job is charged to its version
// quota. The caller must make the acceptance conditional on the returned revision of the plan's
// record.
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
		if role == RoleIsolated || state.Source == SourceFallback {
			sharedBy = uint64(s.controllers)
		}
		if !s.charge(d.quota, state.Plan.versionQuota(d.quota).scaled(1, sharedBy), d.Cost) {
			d.Verdict, d.Reason, d.RetryAfter = Undecided, QuotaExhausted, undecidedRetry
		}
	}
	s.countDecision(job.Team, d.Verdict)
	return d, state.Revision
}

// charge charges an admission to a quota and reports whether the quota was not used up before.
// The last admission may exceed the quota, so that a job larger than the quota can be admitted;
// a quota of 0 admits one job.
func (s *PlanStore) charge(key quotaKey, quota, cost Work) bool {
	if s.used[key] >= max(quota, 1) {
		return false
	}
	s.used[key] = s.used[key].Plus(cost)
	return true
}

// renewFallbackQuotas renews the version quotas of the fallback plan once per PlanLifetime, so
// that it admits the jobs of each team at the rate of the team's guaranteed quota.
func (s *PlanStore) renewFallbackQuotas(now units.Micros) {
	if s.fallbackRenewedAt == 0 || now-s.fallbackRenewedAt >= PlanLifetime {
		s.fallbackRenewedAt = now
		s.used = map[quotaKey]Work{}
	}
}

// versionQuota returns the version quota for a key.
func (p *Plan) versionQuota(key quotaKey) Work {
	if key.unrestricted {
		entry, _ := p.Team(key.flow.Team, key.flow.Pool)
		return entry.VersionQuota
	}
	restriction, _, _ := p.Restriction(key.flow)
	return restriction.VersionQuota
}

// countDecision counts a decision on a job of a team.
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

// TeamCounts holds the number of decisions on a team's jobs, by verdict.
type TeamCounts struct {
	Team string
	Counts
}

// CountsByTeam returns the number of decisions since the start, in the order of team names.
func (s *PlanStore) CountsByTeam() []TeamCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]TeamCounts, 0, len(s.counts))
	for _, team := range slices.Sorted(maps.Keys(s.counts)) {
		out = append(out, TeamCounts{Team: team, Counts: s.counts[team]})
	}
	return out
}
