package admission

import (
	"fmt"

	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// Verdict is the outcome of a decision about a new job.
type Verdict uint8

// The verdicts.
const (
	// Admit means that the job may be accepted.
	Admit Verdict = iota
	// Wait means that the job is not accepted under this version of the plan.
	Wait
	// Undecided means that a later version of the plan decides.
	Undecided
)

// String returns the verdict in lower case.
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

// Reason is why a job is not admitted.
type Reason uint8

// The reasons.
const (
	// NoReason is the reason of jobs that are admitted.
	NoReason Reason = iota
	// OverShare means that the flow has its share, and the job is outside the window.
	OverShare
	// Queued means that the job is large and not yet at the head of the queue.
	Queued
	// QuotaExhausted means that the plan admits the job, but its version quota is used up.
	QuotaExhausted
	// PlanUncertain means that no plan is known to be in force.
	PlanUncertain
)

// String returns the text that users get; "" for NoReason.
func (r Reason) String() string {
	switch r {
	case OverShare:
		return "the team's work of this class has its share for now"
	case Queued:
		return "the job is large and waits for its turn"
	case QuotaExhausted:
		return "the admission plan is being renewed"
	case PlanUncertain:
		return "the admission plan is not known for certain"
	}
	return ""
}

// Decision is a verdict on a job under one version of the plan.
type Decision struct {
	Verdict     Verdict
	Reason      Reason
	PlanVersion uint64 // version of the plan; 0: the fallback plan, or none
	Flow        Cell
	Cost        Work
	RetryAfter  units.Micros // 0 if the job is admitted

	quota   quotaKey // that the admission is charged to, if charged
	charged bool
}

// quotaKey identifies a version quota of a plan.
type quotaKey struct {
	flow   Cell
	ofTeam bool // the quota for the team's flows without a restriction
}

// Bounds on RetryAfter. maxRetry is below waitingTimeout, so that a job whose user still asks
// does not drop out of the waiting list.
const (
	minRetry       = units.Second
	pausedRetry    = 2 * units.Second // of large jobs, and while the window is closed
	maxRetry       = 8 * units.Second
	retryJitter    = 2 * units.Second // spreads jobs that would otherwise ask at the same time
	undecidedRetry = units.Second     // the next plan comes within half a second
)

// Decide returns whether a job is admitted: Admit or Wait. It depends on the plan and the job
// alone, and so is the same on every controller, at any time and in any order. It does not
// look at what is left of the version quotas; PlanStore.Decide does.
func (p *Plan) Decide(job *protocol.JobSpec) Decision {
	flow, cost := p.Classify(job)
	d := Decision{Verdict: Admit, PlanVersion: p.Version, Flow: flow, Cost: cost}
	restriction, restrictedFlow, found := p.Restriction(flow)
	switch {
	case !found:
		d.quota, d.charged = quotaKey{flow: Cell{Team: flow.Team, Pool: flow.Pool}, ofTeam: true}, true
	case p.AtQueueHead(job.ID):
		// Its work was charged to the flow when the plan was made.
	case flow.Band == Large:
		d.Verdict, d.Reason = Wait, Queued
		d.RetryAfter = pausedRetry + p.jitter(job.ID)
	case restriction.admits(position(job.ID)):
		d.quota, d.charged = quotaKey{flow: restrictedFlow}, true
	default:
		d.Verdict, d.Reason = Wait, OverShare
		d.RetryAfter = p.windowWait(restriction, job.ID)
	}
	return d
}

// windowWait returns the time after which a job is expected to find its position in the
// window.
func (p *Plan) windowWait(restriction FlowRestriction, id string) units.Micros {
	if restriction.Width == 0 {
		return pausedRetry + p.jitter(id)
	}
	ahead := (position(id) - restriction.Start) % ringSize
	moves := units.Micros(ahead / restriction.Width)
	return min(max(moves*windowDwell-windowDwell/2, minRetry), maxRetry-retryJitter) + p.jitter(id)
}

// jitter returns a part of retryJitter that differs by job and version of the plan, so that
// the users of a flood do not all ask again in the same second.
func (p *Plan) jitter(id string) units.Micros {
	const versionStep = 40503 // odd, so that every version moves each job to another place
	place := (position(id) + uint32(p.Version%ringSize)*versionStep) % ringSize
	return retryJitter * units.Micros(place) / ringSize
}
