package coordination

import (
	"context"
	"net/http"

	"dunestand/internal/kv"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/transport"
	"dunestand/internal/units"
)

// After any controller has told a user that a job is done or cancelled, no controller may
// give an older answer, not even one that was worked out before and was delayed. Answers
// are worked out from the leader's memory or from the records, pass other controllers
// and are written while other answers overtake them. So each one carries its proof, and
// answerGate holds the proof against two times, on the way out of every controller:
//
//   - A provisional answer (the job is not over, or not known) is given within
//     maxAnswerAge after its state was read.
//   - A final answer (done or cancelled) is given once its record has been durable for
//     settleTime, which is longer.
//
// A state that was read before the final record was durable is then gone by the time at
// which the first final answer is given. Nobody reads such a state later: not from the
// records, and the leader answers nothing while a save that ends the job is on its way
// (Job.EndBeingStored). Each controller measures both times by its own clock.
const (
	maxAnswerAge = 500 * units.Millisecond
	// settleTime leaves, beyond maxAnswerAge, time for the way of a provisional answer
	// to its user: one packet sent again.
	settleTime = maxAnswerAge + 400*units.Millisecond
)

// proofKind is what an answer claims about a job.
type proofKind uint8

const (
	noClaim     proofKind = iota // it says nothing of a job's state
	provisional                  // the job's state may change
	final                        // the job stays in this state
)

// proof is what an answer about a job rests on.
type proof struct {
	kind    proofKind
	readAt  units.Micros // of a provisional answer: its state was read then or later
	version uint64       // of a final answer: of the record that tells of it
}

// answer is a response to a user together with its proof.
type answer struct {
	transport.Response
	proof proof
}

// plainAnswer is an answer that says nothing of a job's state.
func plainAnswer(r transport.Response) answer { return answer{Response: r} }

// unavailable refuses a request for now.
func unavailable(why string) answer { return plainAnswer(Refuse(http.StatusServiceUnavailable, why)) }

func provisionalAnswer(r transport.Response, readAt units.Micros) answer {
	return answer{Response: r, proof: proof{kind: provisional, readAt: readAt}}
}

func finalAnswer(id string, f storage.StoredTerminalRecord) answer {
	return answer{
		Response: stateAnswer(http.StatusOK, protocol.JobState{ID: id, Stage: f.Stage, Done: f.Done}),
		proof:    proof{kind: final, version: f.Version},
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

// answerGate is passed by every answer about a job that leaves a controller.
type answerGate struct {
	clock     units.Clock
	revisions *kv.RevisionHistory
}

// release gives the response of an answer whose proof holds now, and otherwise tells
// the user to come back.
func (g answerGate) release(a answer) transport.Response {
	switch {
	case g.outdated(a):
		return unavailable("the answer came too late to be sure of").Response
	case g.unsettled(a) > 0:
		return unavailable("the job's end was stored just now").Response
	}
	return a.Response
}

// outdated tells whether the state of a provisional answer was read too long ago.
func (g answerGate) outdated(a answer) bool {
	return a.proof.kind == provisional && g.clock.Steady()-a.proof.readAt > maxAnswerAge
}

// unsettled is how long it takes until a final answer may be given.
func (g answerGate) unsettled(a answer) units.Micros {
	if a.proof.kind != final {
		return 0
	}
	return max(0, settleTime-g.revisions.Age(a.proof.version))
}

// await waits until a final answer may be given, if that is before the time given.
func (g answerGate) await(ctx context.Context, a answer, until units.Micros) {
	if wait := g.unsettled(a); wait > 0 && g.clock.Steady()+wait <= until {
		pause(ctx, wait)
	}
}
