package admission

import (
	"fmt"

	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// Verdict is the outcome of a decision on a new job.
type Verdict uint8

// The verdicts on a job.
const (
	// Admit means that the job may be accepted.
	Admit Verdict = iota
	// Wait means that the job is not admitted under this version of the plan.
	Wait
	// Undecided means that the job is decided on by a later version of the plan.
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

// The reasons why a job is not admitted.
const (
	// NoReason is the reason of an admitted job.
	NoReason Reason = iota
	// OverShare means that the demand of the flow exceeds its share and the job is outside
	// the window.
	OverShare
	// Queued means that the job is large and not at the head of the queue yet.
	Queued
	// QuotaExhausted means that the plan admits the job but the version quota is used up.
	QuotaExhausted
	// PlanUncertain means that no plan is known to be in force.
	PlanUncertain
)

// String returns the text of the reason for users, "" for NoReason.
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
	PlanVersion uint64 // 0: the fallback plan, or no plan
	Flow        Flow
	Cost        Work
	RetryAfter  units.Micros // 0 if the job is admitted

	quota   quotaKey // the version quota that the admission is charged to
	charged bool     // whether the admission is charged to a quota
}

// quotaKey identifies a version quota of a plan: that of one restricted flow, or the common one
// of a team's unrestricted flows.
type quotaKey struct {
	flow         Flow
	unrestricted bool // the common quota of the team's unrestricted flows
}

// Bounds on Decision.RetryAfter. maxRetry is below waitingTimeout, so that a job whose user
// keeps retrying does not expire from the waiting list.
const (
	minRetry       = units.Second
	pausedRetry    = 2 * units.Second // for large jobs, and while the window is empty
	maxRetry       = 8 * units.Second
	retryJitter    = 2 * units.Second // spreads retries that would otherwise coincide
	undecidedRetry = units.Second     // the next plan is published within half a second
)

// Decide returns a decision with the verdict Admit or Wait. It depends on the plan and the job
// alone, so it is the same on every controller, at any time and in any order of jobs. It does
// not check whether the version quota is used up; PlanStore.Decide does.
func (p *Plan) Decide(job *protocol.JobSpec) Decision {
	flow, cost := p.Classify(job)
	d := Decision{Verdict: Admit, PlanVersion: p.Version, Flow: flow, Cost: cost}
	restriction, restrictedFlow, found := p.Restriction(flow)
	switch {
	case !found:
		d.quota, d.charged = quotaKey{flow: Flow{Team: flow.Team, Pool: flow.Pool}, unrestricted: true}, true
	case p.AtQueueHead(job.ID):
		// The planner charged its work to the flow when it selected the job.
	case flow.Band == BandLarge:
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

// windowWait returns the expected time until the window reaches the position of a job, within
// the bounds on Decision.RetryAfter.
func (p *Plan) windowWait(restriction FlowRestriction, id string) units.Micros {
	if restriction.Width == 0 {
		return pausedRetry + p.jitter(id)
	}
	ahead := (position(id) - restriction.Start) % ringSize
	moves := units.Micros(ahead / restriction.Width)
	return min(max(moves*windowDwell-windowDwell/2, minRetry), maxRetry-retryJitter) + p.jitter(id)
}

// jitter returns a fraction of retryJitter that differs by job and by version of the plan, so
// that the users of many waiting jobs do not all retry in the same second.
func (p *Plan) jitter(id string) units.Micros {
	// versionStep is odd, so that the values of a job do not repeat within ringSize versions.
	const versionStep = 40503
	place := (position(id) + uint32(p.Version%ringSize)*versionStep) % ringSize
	return retryJitter * units.Micros(place) / ringSize
}
