package admission

import (
	"errors"
	"maps"
	"slices"
	"sync"

	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// Lifetime is for how long a plan may be obeyed after it was written. The leader renews
// it three times in that.
const Lifetime = 10 * units.Second

// ErrOldTerm says that a plan's record was written over by a leader of a former term.
// Conditional saves exclude it, so the record was damaged.
var ErrOldTerm = errors.New("the admission plan is of a former term or version, though its record is newer")

// Keeper holds the plan in force on one controller and keeps account of its quotas. It is
// safe for concurrent use.
type Keeper struct {
	fallback *Plan
	nodes    int // controllers that may admit by themselves

	mu            sync.Mutex
	read          bool   // the record, or that there is none, is known
	seen          uint64 // the newest revision that was taken in
	held          Held
	used          map[account]Work
	fallbackSince units.Micros // when its quotas were last renewed
	teams         map[string]Counts
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
		used:     map[account]Work{},
		teams:    map[string]Counts{},
	}
}

// fallbackVersion is the version of the fallback plan: no plan that was written has it.
const fallbackVersion = 0

// FallbackPlan is the plan that is in force without a valid one. It is worked out from the
// settings alone, and so is the same on every controller: any job is admitted, up to a
// quota that each team's guarantee can do in a Lifetime.
func FallbackPlan(options Options, teams []Team) *Plan {
	var capacity Amounts
	for _, team := range teams {
		for pool, amount := range team.Guarantee {
			capacity[pool] += amount
		}
	}
	plan := newPlan(fallbackVersion, 0, options.Horizon, capacity)
	for _, team := range teams {
		for pool := range Pool(Pools) {
			plan.setTeam(teamKey{Team: team.Name, Pool: pool}, TeamEntry{
				Quota:      WorkOf(1, team.Guarantee[pool], Lifetime),
				LargeAbove: MaxWork,
				Correction: Exact,
			})
		}
	}
	return plan
}

// Adopt takes over what a record holds. An older record than the one that is known
// changes nothing.
func (k *Keeper) Adopt(held Held) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if held.Revision <= k.seen {
		return nil
	}
	former := k.held.Plan
	if former != nil && held.Plan != nil && !held.Plan.follows(former) {
		return ErrOldTerm
	}
	k.seen, k.held, k.read = held.Revision, held, true
	k.used = map[account]Work{}
	return nil
}

// follows tells whether a plan may come after another one.
func (p *Plan) follows(former *Plan) bool {
	return p.Term >= former.Term && p.Version > former.Version
}

// Missing takes over that there is no record at a revision of the state service.
func (k *Keeper) Missing(revision uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if revision >= k.seen {
		k.seen, k.held, k.read = revision, Held{}, true
		k.used = map[account]Work{}
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
func (k *Keeper) Now(now units.Micros) State {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state(now)
}

func (k *Keeper) state(now units.Micros) State {
	h := k.held
	s := State{Revision: h.Revision, Age: now - h.WrittenAfter}
	switch {
	case !k.read:
	case h.Plan != nil && s.Age < Lifetime:
		s.Force, s.Plan = ByPlan, h.Plan
	case h.Plan == nil, now-h.WrittenBefore >= Lifetime:
		s.Force, s.Plan = ByFloor, k.fallback
	}
	return s
}

// Reckoning gives the plan by which work is reckoned: the last one that was read, valid
// or not, or else the fallback plan.
func (k *Keeper) Reckoning() *Plan {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.held.Plan != nil {
		return k.held.Plan
	}
	return k.fallback
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
func (k *Keeper) Decide(job *protocol.JobSpec, side Side, now units.Micros) (d Decision, revision uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.state(now)
	switch s.Force {
	case Unclear:
		k.count(job.Team, Undecided)
		return Decision{Verdict: Undecided, Reason: PlanUnclear, RetryAfter: undecidedWait}, s.Revision
	case ByFloor:
		k.renewFallbackQuotas(now)
	}
	d = s.Plan.Decide(job)
	if d.Verdict == Admit && d.charged {
		divisor := uint64(1)
		if side == Alone || s.Force == ByFloor {
			divisor = uint64(k.nodes)
		}
		if k.used[d.account] >= max(s.Plan.quota(d.account).scaled(1, divisor), 1) {
			d.Verdict, d.Reason, d.RetryAfter = Undecided, QuotaUsed, undecidedWait
		} else {
			k.used[d.account] = k.used[d.account].Plus(d.Cost)
		}
	}
	k.count(job.Team, d.Verdict)
	return d, s.Revision
}

// renewFallbackQuotas renews the fallback plan's quotas every Lifetime, so that without a plan each
// team's jobs are admitted at the rate of its guarantee.
func (k *Keeper) renewFallbackQuotas(now units.Micros) {
	if k.fallbackSince == 0 || now-k.fallbackSince >= Lifetime {
		k.fallbackSince = now
		k.used = map[account]Work{}
	}
}

// quota gives the quota that an account stands for.
func (p *Plan) quota(a account) Work {
	if a.ofTeam {
		entry, _ := p.Team(a.cell.Team, a.cell.Pool)
		return entry.Quota
	}
	restriction, _, _ := p.Restriction(a.cell)
	return restriction.Quota
}

// count counts a decision about a team's job.
func (k *Keeper) count(team string, v Verdict) {
	counts := k.teams[team]
	switch v {
	case Admit:
		counts.Admitted++
	case Wait:
		counts.Waits++
	case Undecided:
		counts.Undecided++
	}
	k.teams[team] = counts
}

// TeamCounts is what was decided about a team's jobs.
type TeamCounts struct {
	Team string
	Counts
}

// CountsByTeam tells what was decided so far, in the order of the teams' names.
func (k *Keeper) CountsByTeam() []TeamCounts {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := make([]TeamCounts, 0, len(k.teams))
	for _, team := range slices.Sorted(maps.Keys(k.teams)) {
		out = append(out, TeamCounts{Team: team, Counts: k.teams[team]})
	}
	return out
}
