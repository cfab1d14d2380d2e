package admissioncheck

import (
	"fmt"
	"net/http"
	"time"

	"github.com/anishathalye/porcupine"

	"dunestand/internal/admission"
	"dunestand/internal/protocol"
)

// ResponseKind is the outcome of a submission according to the response.
type ResponseKind uint8

// The kinds of responses.
const (
	Indefinite ResponseKind = iota // unknown: the job may be accepted or not
	Accepted                       // the job is accepted
	Deferred                       // the job is deferred by the admission plan
	// becameDurable is not a response; it marks in the history that the job's record was stored.
	becameDurable
)

func (k ResponseKind) String() string {
	return [...]string{"indefinite", "accepted", "deferred", "became durable"}[k]
}

// ClassifyResponse returns the outcome of a submission from the HTTP status and the body of the
// response, and the version of the plan that defers the job; 0: not deferred.
func ClassifyResponse(status int, body []byte) (kind ResponseKind, plan uint64) {
	switch status {
	case http.StatusOK, http.StatusCreated:
		return Accepted, 0
	case http.StatusTooManyRequests:
		var p protocol.ErrorResponse
		if protocol.Decode(body, &p) == nil && p.PlanVersion > 0 {
			return Deferred, p.PlanVersion
		}
	}
	return Indefinite, 0
}

// ResponseReceived checks a response to a user's submission and adds it to the history. The
// submission was sent at sent; the response is taken as received now.
func (c *Checker) ResponseReceived(user int, id string, sent time.Time, kind ResponseKind, plan uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.history = append(c.history, porcupine.Operation{
		ClientId: user,
		Input:    id,
		Output:   kind,
		Call:     sent.Sub(c.startedAt).Nanoseconds(),
		Return:   time.Since(c.startedAt).Nanoseconds(),
	})
	if kind != Deferred {
		return
	}
	c.deferred++
	job := c.jobs[id]
	if stored := c.plans[plan]; stored == nil {
		c.recordViolationLocked("%s is deferred by plan %d, which was never stored", id, plan)
	} else if d := stored.Decide(&job); d.Verdict != admission.Wait {
		c.recordViolationLocked("%s is deferred by plan %d, whose verdict is %v", id, plan, d.Verdict)
	}
}

// recordDurableLocked adds to the history that a job's record is being stored.
func (c *Checker) recordDurableLocked(id string) {
	at := time.Since(c.startedAt).Nanoseconds()
	c.history = append(c.history, porcupine.Operation{Input: id, Output: becameDurable, Call: at, Return: at + 1})
}

// jobModel is the sequential specification of one job: its state is whether it is accepted,
// which becomes true when the job becomes durable and then stays true. Indefinite responses are
// allowed in any state.
var jobModel = porcupine.Model{
	Init: func() any { return false },
	Step: func(state, _, output any) (bool, any) {
		accepted := state.(bool)
		switch output.(ResponseKind) {
		case becameDurable:
			return true, true
		case Accepted:
			return accepted, accepted
		case Deferred:
			return !accepted, accepted
		}
		return true, accepted
	},
}

// nonLinearizable describes each job whose responses are not linearizable under jobModel.
func nonLinearizable(history []porcupine.Operation) []string {
	byJob := map[string][]porcupine.Operation{}
	for _, operation := range history {
		id := operation.Input.(string)
		byJob[id] = append(byJob[id], operation)
	}
	var out []string
	for id, operations := range byJob {
		if !porcupine.CheckOperations(jobModel, operations) {
			out = append(out, fmt.Sprintf("the responses about %s are not linearizable: it is deferred after it was accepted, or accepted without being durable", id))
		}
	}
	return out
}
