package admissioncheck

import (
	"fmt"
	"net/http"
	"time"

	"github.com/anishathalye/porcupine"

	"dunestand/internal/admission"
	"dunestand/internal/protocol"
)

// ResponseKind is what a response to a submission says about the job.
type ResponseKind uint8

// The kinds of responses.
const (
	Indefinite ResponseKind = iota // nothing
	Accepted                       // it is accepted
	Deferred                       // it is deferred by the admission plan
	// becameDurable is no response: the job's record was stored.
	becameDurable
)

func (k ResponseKind) String() string {
	return [...]string{"indefinite", "accepted", "deferred", "became durable"}[k]
}

// ClassifyResponse returns what a response to a submission says, and the version of the
// plan that defers the job; 0: none does.
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

// ResponseReceived checks a response to a user's submission that was sent at a time.
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
		c.violatedLocked("%s is deferred by plan %d, which was never stored", id, plan)
	} else if d := stored.Decide(&job); d.Verdict != admission.Wait {
		c.violatedLocked("%s is deferred by plan %d, which says %v", id, plan, d.Verdict)
	}
}

// recordDurableLocked adds to the history that a job's record is stored now.
func (c *Checker) recordDurableLocked(id string) {
	at := time.Since(c.startedAt).Nanoseconds()
	c.history = append(c.history, porcupine.Operation{Input: id, Output: becameDurable, Call: at, Return: at + 1})
}

// jobModel is one job as its users perceive it: accepted from the moment at which it becomes
// durable, for good. Indefinite responses do not count.
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

// nonLinearizable describes each job whose responses fit no order.
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
