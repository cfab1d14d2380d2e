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

// Lifetime is for how long a plan may be obeyed after it was written. The leader renews
// it three times in that.
const Lifetime = 10 * units.Second

// ErrStalePlan says that a plan's record was written over by a leader of a former term.
// Conditional saves exclude it, so the record was damaged.
var ErrStalePlan = errors.New("admission plan is older than the plan of a former revision of its record")

// Keeper holds the plan in force on one controller and accounts for its quotas. It is
// safe for concurrent use.
type Keeper struct {
	fallback *Plan
	nodes    int // controllers that may admit by themselves

	mu              sync.Mutex
	known           bool   // whether there is a record, and what it holds
	revision        uint64 // the newest one that was observed
	observed        Held
	used            map[quotaKey]Work // of the quotas of the plan in force
	fallbackRenewed units.Micros      // when its quotas were last renewed
	counts          map[string]Counts // by team
}

// Held is the plan's record as a controller knows it.
type Held struct {
	Plan     *Plan  // nil: there is none, or it is not readable
	Revision uint64 // of the record; 0: there is none
	// The record was written between these times, by the controller's steady clock: it
	// is obeyed until it might be too old, and the fallback plan is used once it surely is.
	WrittenAfter, WrittenBefore units.Micros
}

// Counts is how often a keeper has decided in which way.
type Counts struct{ Admitted, Waits, Undecided uint64 }

// NewKeeper makes a keeper for one of several controllers. Until it gets a plan the
// fallback plan is in force.
func NewKeeper(options Options, teams []Team, nodes int) *Keeper {
	return &Keeper{
		fallback: FallbackPlan(options, teams),
		nodes:    max(nodes, 1),
		used:     map[quotaKey]Work{},
		counts:   map[string]Counts{},
	}
}

// Adopt takes over what a record holds. An older record than the one that is known
// changes nothing.
func (s *Keeper) Adopt(observed Held) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if observed.Revision <= s.revision {
		return nil
	}
	former := s.observed.Plan
	if former != nil && observed.Plan != nil && !observed.Plan.follows(former) {
		return fmt.Errorf("%w: version %d with fencing token %d follows version %d with token %d", ErrStalePlan,
			observed.Plan.Version, observed.Plan.Term, former.Version, former.Term)
	}
	s.revision, s.observed, s.known = observed.Revision, observed, true
	s.used = map[quotaKey]Work{}
	return nil
}

// follows tells whether a plan may come after another one.
func (p *Plan) follows(former *Plan) bool {
	return p.Term >= former.Term && p.Version > former.Version
}

// Missing takes over that there is no record at a revision of the state service.
func (s *Keeper) Missing(revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision >= s.revision {
		s.revision, s.observed, s.known = revision, Held{}, true
		s.used = map[quotaKey]Work{}
	}
}

// Force tells what is in force.
type Force uint8

// What may be in force.
const (
	// Unclear: nothing is. The record was not read yet, or its age is not certain.
	Unclear Force = iota
	// ByPlan: the plan that the record holds.
	ByPlan
	// ByFloor: the fallback plan, as there is no plan or it has lapsed.
	ByFloor
)

// State is what a keeper goes by at a moment.
type State struct {
	Force    Force
	Plan     *Plan        // the one in force; nil: none is
	Revision uint64       // of the plan's record; 0: there is none
	Age      units.Micros // of the record, at most
}

// Now tells what is in force.
func (s *Keeper) Now(now units.Micros) State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stateAt(now)
}

func (s *Keeper) stateAt(now units.Micros) State {
	observed := s.observed
	state := State{Revision: observed.Revision, Age: now - observed.WrittenAfter}
	switch {
	case !s.known:
	case observed.Plan != nil && state.Age < Lifetime:
		state.Force, state.Plan = ByPlan, observed.Plan
	case observed.Plan == nil, now-observed.WrittenBefore >= Lifetime:
		state.Force, state.Plan = ByFloor, s.fallback
	}
	return state
}

// Reckoning gives the plan by which work is reckoned: the last one that was read, valid
// or not, or else the fallback plan.
func (s *Keeper) Reckoning() *Plan {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.observed.Plan != nil {
		return s.observed.Plan
	}
	return s.fallback
}

// Side tells in which role a controller decides.
type Side uint8

// The sides. A controller that reaches no leader may use the part of a quota that falls
// to it if all controllers do the same.
const (
	Alone Side = iota
	Leading
)

// Decide decides about a job that is not known yet, and charges what it admits. The
// revision tells on which version of the plan's record an acceptance must be conditional.
func (s *Keeper) Decide(job *protocol.JobSpec, side Side, now units.Micros) (d Decision, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.stateAt(now)
	switch state.Force {
	case Unclear:
		s.countDecision(job.Team, Undecided)
		return Decision{Verdict: Undecided, Reason: PlanUnclear, RetryAfter: undecidedRetry}, state.Revision
	case ByFloor:
		s.renewFallbackQuotas(now)
	}
	d = state.Plan.Decide(job)
	if d.Verdict == Admit && d.charged {
		sharedBy := uint64(1)
		if side == Alone || state.Force == ByFloor {
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
func (s *Keeper) charge(key quotaKey, quota, cost Work) bool {
	if s.used[key] >= max(quota, 1) {
		return false
	}
	s.used[key] = s.used[key].Plus(cost)
	return true
}

// renewFallbackQuotas renews the fallback plan's quotas every Lifetime, so that without a plan each
// team's jobs are admitted at the rate of its guarantee.
func (s *Keeper) renewFallbackQuotas(now units.Micros) {
	if s.fallbackRenewed == 0 || now-s.fallbackRenewed >= Lifetime {
		s.fallbackRenewed = now
		s.used = map[quotaKey]Work{}
	}
}

// versionQuota returns the version quota that a key identifies.
func (p *Plan) versionQuota(key quotaKey) Work {
	if key.ofTeam {
		entry, _ := p.Team(key.cell.Team, key.cell.Pool)
		return entry.VersionQuota
	}
	restriction, _, _ := p.Restriction(key.cell)
	return restriction.VersionQuota
}

// countDecision counts a decision about a team's job.
func (s *Keeper) countDecision(team string, verdict Verdict) {
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

// TeamCounts is what was decided about a team's jobs.
type TeamCounts struct {
	Team string
	Counts
}

// CountsByTeam tells what was decided so far, in the order of the teams' names.
func (s *Keeper) CountsByTeam() []TeamCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]TeamCounts, 0, len(s.counts))
	for _, team := range slices.Sorted(maps.Keys(s.counts)) {
		out = append(out, TeamCounts{Team: team, Counts: s.counts[team]})
	}
	return out
}
