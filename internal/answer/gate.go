// Package answer holds what users are told about jobs, each answer with the evidence that it
// rests on, and the gate that makes reads monotonic across all controllers: none answers
// something older than what another one has answered before.
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
// computed before and was delayed. Answers are computed from the leader's memory or from the
// records, pass other controllers and are written while other answers overtake them. So each one
// carries its evidence, and Gate holds the evidence against two times, on the way out of every
// controller:
//
//   - A provisional answer (the job is not finished, or not known) is given within MaxAnswerAge
//     after its state was read.
//   - A terminal answer (done or cancelled) is given once its record has been durable for
//     stableAge, which is longer.
//
// An answer whose state was read before the terminal record was durable has then expired by the
// time at which the first terminal answer is given. Nobody reads such a state later: not from the
// records, and the leader answers nothing while a write batch that ends the job is on its way
// (Job.EndInFlight). Each controller measures both times by its own clock.
const (
	// MaxAnswerAge is for how long after its state was read a provisional answer is given.
	MaxAnswerAge = 500 * units.Millisecond
	// stableAge leaves, beyond MaxAnswerAge, time for the way of a provisional answer
	// to its user: one packet sent again.
	stableAge = MaxAnswerAge + 400*units.Millisecond
)

// Gate is passed by every answer about a job that leaves a controller. It keeps no state of its
// own and may be used concurrently.
type Gate struct {
	Clock     units.Clock
	Revisions *kv.RevisionHistory
}

// Check returns the response of an answer whose evidence holds now, and otherwise one that tells
// the user to come back.
func (g Gate) Check(a Answer) transport.Response {
	switch {
	case g.IsStale(a):
		return Unavailable("the answer came too late to be sure of").Response
	case g.untilStable(a) > 0:
		return Unavailable("the job's end was stored just now").Response
	}
	return a.Response
}

// Await waits until a terminal answer may be given, if that is before the steady time until.
// Other answers are not waited for. It returns early if ctx ends; Check decides in any case.
func (g Gate) Await(ctx context.Context, a Answer, until units.Micros) {
	if wait := g.untilStable(a); wait > 0 && g.Clock.Steady()+wait <= until {
		loop.Sleep(ctx, wait)
	}
}

// IsStale reports whether the state of a provisional answer was read too long ago. It is false
// for other answers.
func (g Gate) IsStale(a Answer) bool {
	return a.Evidence.kind == provisional && g.Clock.Steady()-a.Evidence.readAt > MaxAnswerAge
}

// untilStable returns the time until a terminal answer may be given, 0 for other answers.
func (g Gate) untilStable(a Answer) units.Micros {
	if a.Evidence.kind != terminal {
		return 0
	}
	return max(0, stableAge-g.Revisions.Age(a.Evidence.version))
}
