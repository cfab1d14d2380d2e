package coordination

import (
	"context"
	"net/http"

	"dunestand/internal/cluster"
	"dunestand/internal/config"
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
// monotonicReadGate holds the proof against two times, on the way out of every controller:
//
//   - A provisional answer (the job is not over, or not known) is given within
//     maxAnswerAge after its state was read.
//   - A final answer (done or cancelled) is given once its record has been durable for
//     stableAge, which is longer.
//
// A state that was read before the final record was durable is then gone by the time at
// which the first final answer is given. Nobody reads such a state later: not from the
// records, and the leader answers nothing while a save that ends the job is on its way
// (Job.EndBeingStored). Each controller measures both times by its own clock.
const (
	maxAnswerAge = 500 * units.Millisecond
	// stableAge leaves, beyond maxAnswerAge, time for the way of a provisional answer
	// to its user: one packet sent again.
	stableAge = maxAnswerAge + 400*units.Millisecond
)

// evidenceKind is what an answer claims about a job.
type evidenceKind uint8

const (
	noEvidence  evidenceKind = iota // it says nothing of a job's state
	provisional                     // the job's state may change
	terminal                        // the job stays in this state
)

// evidence is what an answer about a job rests on.
type evidence struct {
	kind    evidenceKind
	readAt  units.Micros // of a provisional answer: its state was read then or later
	version uint64       // of a final answer: of the record that tells of it
}

// answer is a response to a user together with its proof.
type answer struct {
	transport.Response
	evidence evidence
}

// plainAnswer is an answer that says nothing of a job's state.
func plainAnswer(r transport.Response) answer { return answer{Response: r} }

// unavailable refuses a request for now.
func unavailable(why string) answer {
	return plainAnswer(ErrorResponse(http.StatusServiceUnavailable, why))
}

func provisionalAnswer(r transport.Response, readAt units.Micros) answer {
	return answer{Response: r, evidence: evidence{kind: provisional, readAt: readAt}}
}

func terminalAnswer(id string, f storage.StoredTerminalRecord) answer {
	return answer{
		Response: stateAnswer(http.StatusOK, protocol.JobState{ID: id, Stage: f.Stage, Done: f.Done}),
		evidence: evidence{kind: terminal, version: f.Version},
	}
}

// relayedAnswer is what the leader answered to a request that was passed on at sentAt.
// It gives no final answer before its time.
func relayedAnswer(r transport.Response, sentAt units.Micros) answer {
	switch r.Status {
	case http.StatusOK, http.StatusCreated:
		var state protocol.JobState
		if err := protocol.Decode(r.Body, &state); err == nil && state.Stage.IsTerminal() {
			return plainAnswer(r)
		}
		return provisionalAnswer(r, sentAt)
	case http.StatusNotFound, http.StatusBadRequest, http.StatusUnprocessableEntity:
		return provisionalAnswer(r, sentAt)
	}
	return plainAnswer(r)
}

// monotonicReadGate is passed by every answer about a job that leaves a controller.
type monotonicReadGate struct {
	clock     units.Clock
	revisions *kv.RevisionHistory
}

// check gives the response of an answer whose proof holds now, and otherwise tells
// the user to come back.
func (g monotonicReadGate) check(a answer) transport.Response {
	switch {
	case g.isStale(a):
		return unavailable("the answer came too late to be sure of").Response
	case g.untilStable(a) > 0:
		return unavailable("the job's end was stored just now").Response
	}
	return a.Response
}

// isStale tells whether the state of a provisional answer was read too long ago.
func (g monotonicReadGate) isStale(a answer) bool {
	return a.evidence.kind == provisional && g.clock.Steady()-a.evidence.readAt > maxAnswerAge
}

// untilStable is how long it takes until a final answer may be given.
func (g monotonicReadGate) untilStable(a answer) units.Micros {
	if a.evidence.kind != terminal {
		return 0
	}
	return max(0, stableAge-g.revisions.Age(a.evidence.version))
}

// await waits until a final answer may be given, if that is before the time given.
func (g monotonicReadGate) await(ctx context.Context, a answer, until units.Micros) {
	if wait := g.untilStable(a); wait > 0 && g.clock.Steady()+wait <= until {
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

func stateAnswer(status int, s protocol.JobState) transport.Response {
	return transport.Response{Status: status, Body: protocol.Encode(s)}
}

// cancellationConfirmed tells whether the user of a job may be told that it is cancellationConfirmed, though
// it is not over.
func cancellationConfirmed(j *cluster.Job, w config.Workers) bool {
	return j.CancelDurable && confirmsCancellationAtOnce(w)
}

// liveJobAnswer tells a live job's state as it was read at readAt or later.
func liveJobAnswer(status int, j *cluster.Job, w config.Workers, readAt units.Micros) answer {
	s := protocol.JobState{
		ID:      j.Spec.ID,
		Stage:   protocol.StagePending,
		Done:    j.DoneCount(),
		Running: j.Running(),
	}
	if cancellationConfirmed(j, w) {
		s.Stage = protocol.StageCancelled
		return answer{
			Response: stateAnswer(status, s),
			evidence: evidence{kind: terminal, version: j.CancelVersion()},
		}
	}
	if s.Running > 0 || s.Done > 0 {
		s.Stage = protocol.StageRunning
	}
	return provisionalAnswer(stateAnswer(status, s), readAt)
}
