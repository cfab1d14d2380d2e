// Package answer defines the answers to users about jobs, each with the evidence for the job state
// in it, and a gate that makes reads of job states monotonic across all controllers: after a
// controller has reported a terminal state, no controller reports an older state.
package answer

import (
	"context"

	"dunestand/internal/kv"
	"dunestand/internal/loop"
	"dunestand/internal/transport"
	"dunestand/internal/units"
)

// The invariant is monotonic reads of terminal states: after any controller has told a user that
// a job is done or cancelled, no controller may give an older answer, not even one that was
// computed earlier and was delayed. Answers are computed from the leader's memory or from the
// records, are forwarded by other controllers, and can be overtaken by later answers. So each answer
// carries its evidence, and every controller checks it with Gate before the answer leaves:
//
//   - A provisional answer (the job is unfinished or unknown) is given only within MaxAnswerAge
//     after the read of its state.
//   - A terminal answer (done or cancelled) is given only after its record has been durable for
//     stableAge, which is longer.
//
// An answer whose state was read before the terminal record was durable has thus expired before the
// first terminal answer is given. No such state is read later: the records hold the terminal state,
// and the leader does not answer while a write batch that ends the job is in flight
// (Job.EndInFlight). Each controller measures both times with its own clock.
const (
	// MaxAnswerAge is the time after the read of its state for which a provisional answer is valid.
	MaxAnswerAge = 500 * units.Millisecond
	// stableAge exceeds MaxAnswerAge by the time that a provisional answer may take to reach its
	// user, with one packet retransmitted.
	stableAge = MaxAnswerAge + 400*units.Millisecond
)

// Gate decides whether an answer may be given now. Every answer about a job must pass it before it
// leaves a controller. Gate has no state of its own and is safe for concurrent use.
type Gate struct {
	Clock     units.Clock
	Revisions *kv.RevisionHistory
}

// Check returns the response of an answer that may be given now, and otherwise a response with status
// 503 that asks the user to retry.
func (g Gate) Check(a Answer) transport.Response {
	switch {
	case g.IsStale(a):
		return Unavailable("the answer came too late to be sure of").Response
	case g.untilStable(a) > 0:
		return Unavailable("the job's end was stored just now").Response
	}
	return a.Response
}

// Await waits until a terminal answer may be given, if that is at the steady time until or before.
// Otherwise, and for all other answers, it returns at once. It returns early if ctx ends, so the
// caller must call Check in any case.
func (g Gate) Await(ctx context.Context, a Answer, until units.Micros) {
	if wait := g.untilStable(a); wait > 0 && g.Clock.Steady()+wait <= until {
		loop.Sleep(ctx, wait)
	}
}

// IsStale reports whether the state of a provisional answer was read more than MaxAnswerAge ago. It
// returns false for other answers.
func (g Gate) IsStale(a Answer) bool {
	return a.Evidence.kind == provisional && g.Clock.Steady()-a.Evidence.readAt > MaxAnswerAge
}

// untilStable returns the time until a terminal answer may be given, or 0 for other answers.
func (g Gate) untilStable(a Answer) units.Micros {
	if a.Evidence.kind != terminal {
		return 0
	}
	return max(0, stableAge-g.Revisions.Age(a.Evidence.version))
}
