// Package answer holds what users are told about jobs, each answer with the evidence that it
// rests on, and the gate that keeps any controller from answering something older than what
// another one has answered before.
package answer

import (
	"context"
	"net/http"

	"dunestand/internal/cluster"
	"dunestand/internal/config"
	"dunestand/internal/election"
	"dunestand/internal/kv"
	"dunestand/internal/loop"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/transport"
	"dunestand/internal/units"
)

// After any controller has told a user that a job is done or cancelled, no controller may
// give an older answer, not even one that was worked out before and was delayed. Answers
// are worked out from the leader's memory or from the records, pass other controllers
// and are written while other answers overtake them. So each one carries its proof, and
// Gate holds the proof against two times, on the way out of every controller:
//
//   - A provisional answer (the job is not over, or not known) is given within
//     MaxAnswerAge after its state was read.
//   - A final answer (done or cancelled) is given once its record has been durable for
//     stableAge, which is longer.
//
// A state that was read before the final record was durable is then gone by the time at
// which the first final answer is given. Nobody reads such a state later: not from the
// records, and the leader answers nothing while a save that ends the job is on its way
// (Job.EndBeingStored). Each controller measures both times by its own clock.
const (
	MaxAnswerAge = 500 * units.Millisecond
	// stableAge leaves, beyond MaxAnswerAge, time for the way of a provisional answer
	// to its user: one packet sent again.
	stableAge = MaxAnswerAge + 400*units.Millisecond
)

// evidenceKind is what an answer claims about a job.
type evidenceKind uint8

const (
	noEvidence  evidenceKind = iota // it says nothing of a job's state
	provisional                     // the job's state may change
	terminal                        // the job stays in this state
)

// Evidence is what an answer about a job rests on.
type evidence struct {
	kind    evidenceKind
	readAt  units.Micros // of a provisional answer: its state was read then or later
	version uint64       // of a final answer: of the record that tells of it
}

// Answer is a response to a user together with its proof.
type Answer struct {
	transport.Response
	Evidence evidence
}

// Plain is an answer that says nothing of a job's state.
func Plain(r transport.Response) Answer { return Answer{Response: r} }

// Unavailable refuses a request for now.
func Unavailable(why string) Answer {
	return Plain(ErrorResponse(http.StatusServiceUnavailable, why))
}

func Provisional(r transport.Response, readAt units.Micros) Answer {
	return Answer{Response: r, Evidence: evidence{kind: provisional, readAt: readAt}}
}

func Terminal(id string, f storage.StoredTerminalRecord) Answer {
	return Answer{
		Response: StateResponse(http.StatusOK, protocol.JobState{ID: id, Stage: f.Stage, Done: f.Done}),
		Evidence: evidence{kind: terminal, version: f.Version},
	}
}

// Relayed is what the leader answered to a request that was passed on at sentAt.
// It gives no final answer before its time.
func Relayed(r transport.Response, sentAt units.Micros) Answer {
	switch r.Status {
	case http.StatusOK, http.StatusCreated:
		var state protocol.JobState
		if err := protocol.Decode(r.Body, &state); err == nil && state.Stage.IsTerminal() {
			return Plain(r)
		}
		return Provisional(r, sentAt)
	case http.StatusNotFound, http.StatusBadRequest, http.StatusUnprocessableEntity:
		return Provisional(r, sentAt)
	}
	return Plain(r)
}

// Gate is passed by every answer about a job that leaves a controller.
type Gate struct {
	Clock     units.Clock
	Revisions *kv.RevisionHistory
}

// Check gives the response of an answer whose proof holds now, and otherwise tells
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

// IsStale tells whether the state of a provisional answer was read too long ago.
func (g Gate) IsStale(a Answer) bool {
	return a.Evidence.kind == provisional && g.Clock.Steady()-a.Evidence.readAt > MaxAnswerAge
}

// untilStable is how long it takes until a final answer may be given.
func (g Gate) untilStable(a Answer) units.Micros {
	if a.Evidence.kind != terminal {
		return 0
	}
	return max(0, stableAge-g.Revisions.Age(a.Evidence.version))
}

// Await waits until a final answer may be given, if that is before the time given.
func (g Gate) Await(ctx context.Context, a Answer, until units.Micros) {
	if wait := g.untilStable(a); wait > 0 && g.Clock.Steady()+wait <= until {
		loop.Sleep(ctx, wait)
	}
}

// ErrorResponse gives the answer that refuses a request in one line.
func ErrorResponse(status int, why string) transport.Response {
	r := transport.Response{Status: status, Body: protocol.Encode(protocol.ErrorResponse{Message: why})}
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		r.RetryAfter = 1
	}
	return r
}

func StateResponse(status int, s protocol.JobState) transport.Response {
	return transport.Response{Status: status, Body: protocol.Encode(s)}
}

// CancellationConfirmed tells whether the user of a job may be told that it is cancelled, though
// it is not over.
func CancellationConfirmed(j *cluster.Job, w config.Workers) bool {
	return j.CancelDurable && election.ConfirmsCancellationAtOnce(w)
}

// LiveJob tells a live job's state as it was read at readAt or later.
func LiveJob(status int, j *cluster.Job, w config.Workers, readAt units.Micros) Answer {
	s := protocol.JobState{
		ID:      j.Spec.ID,
		Stage:   protocol.StagePending,
		Done:    j.DoneCount(),
		Running: j.Running(),
	}
	if CancellationConfirmed(j, w) {
		s.Stage = protocol.StageCancelled
		return Answer{
			Response: StateResponse(status, s),
			Evidence: evidence{kind: terminal, version: j.CancelVersion()},
		}
	}
	if s.Running > 0 || s.Done > 0 {
		s.Stage = protocol.StageRunning
	}
	return Provisional(StateResponse(status, s), readAt)
}
