package admission

import (
	"fmt"

	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// Verdict is what a plan says about a job that is not known yet.
type Verdict uint8

// The verdicts.
const (
	// Admit: the job may be accepted.
	Admit Verdict = iota
	// Wait: the job is not accepted under this version of the plan.
	Wait
	// Undecided: the quota of this version is used up. The next version decides.
	Undecided
)

func (v Verdict) String() string {
	switch v {
	case Admit:
		return "admit"
	case Wait:
		return "wait"
	case Undecided:
		return "undecided"
	}
	return fmt.Sprintf("verdict(%d)", uint8(v))
}

// Reason tells why a job waits.
type Reason uint8

// The reasons.
const (
	NoReason  Reason = iota
	OverShare        // the cell has its share; the window comes round
	Queued
	QuotaExhausted
	PlanUnclear
)

func (r Reason) String() string {
	switch r {
	case OverShare:
		return "the team's work of this class has its share for now"
	case Queued:
		return "the job is large and waits for its turn"
	case QuotaExhausted:
		return "the admission plan is being renewed"
	case PlanUnclear:
		return "the admission plan is not known for certain"
	}
	return ""
}

// Decision is a verdict about a job under one version of the plan.
type Decision struct {
	Verdict    Verdict
	Reason     Reason
	Plan       uint64 // the plan's version; 0: the fallback plan
	Cell       Cell
	Cost       Work
	RetryAfter units.Micros // unless the job is admitted

	quota   quotaKey // that an admission is charged to
	charged bool     // it is
}

// quotaKey identifies a quota of a plan.
type quotaKey struct {
	cell   Cell
	ofTeam bool // the team's quota, for cells without a restriction
}

// Bounds on the time after which a job that waits is to come back. The longest is shorter
// than waitingTimeout, so that who still waits is not forgotten.
const (
	minRetry       = units.Second
	pausedRetry    = 2 * units.Second
	maxRetry       = 8 * units.Second
	retryJitter    = 2 * units.Second // over which jobs that are told the same come back
	undecidedRetry = units.Second
)

// Decide tells whether a job is admitted: Admit or Wait. It depends on the plan and the
// job alone, and so is the same on every controller, at any time and in any order. What
// is left of the plan's quotas is a Keeper's matter.
func (p *Plan) Decide(job *protocol.JobSpec) Decision {
	cell, cost := p.Classify(job)
	d := Decision{Verdict: Admit, Plan: p.Version, Cell: cell, Cost: cost}
	restriction, restrictedCell, found := p.Restriction(cell)
	switch {
	case !found:
		d.quota, d.charged = quotaKey{cell: Cell{Team: cell.Team, Pool: cell.Pool}, ofTeam: true}, true
	case p.AtQueueHead(job.ID):
		// Its work was charged to the cell when the plan was made.
	case cell.Band == Large:
		d.Verdict, d.Reason = Wait, Queued
		d.RetryAfter = pausedRetry + p.jitter(job.ID)
	case restriction.admits(position(job.ID)):
		d.quota, d.charged = quotaKey{cell: restrictedCell}, true
	default:
		d.Verdict, d.Reason = Wait, OverShare
		d.RetryAfter = p.windowWait(restriction, job.ID)
	}
	return d
}

// windowWait is when a job is to come back so that it finds its position in the window.
func (p *Plan) windowWait(restriction CellRestriction, id string) units.Micros {
	if restriction.Width == 0 {
		return pausedRetry + p.jitter(id)
	}
	ahead := (position(id) - restriction.Start) % ringSize
	moves := units.Micros(ahead / restriction.Width)
	return min(max(moves*windowDwell-windowDwell/2, minRetry), maxRetry-retryJitter) + p.jitter(id)
}

// jitter returns a part of retryJitter that differs from job to job and plan to plan, so
// that a flood does not come back in one second.
func (p *Plan) jitter(id string) units.Micros {
	const versionStep = 40503 // odd: every version moves each job to another place
	place := (position(id) + uint32(p.Version%ringSize)*versionStep) % ringSize
	return retryJitter * units.Micros(place) / ringSize
}
