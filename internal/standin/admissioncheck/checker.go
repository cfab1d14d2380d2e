// Package admissioncheck checks histories of submissions against the rules of admission.
package admissioncheck

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"dunestand/internal/admission"
	"dunestand/internal/bookkeeping"
	"dunestand/internal/protocol"
	"dunestand/internal/standin"
)

// Checker holds what users are told about their submissions, and what becomes
// durable, against the rules of admission:
//
//   - A job becomes durable only while the plan that is stored admits it, or after that
//     plan has lapsed.
//   - A job waits only by a plan that tells it to.
//   - Once a job is accepted no later answer tells it to wait: the answers about each job
//     are linearizable.
type Checker struct {
	mu           sync.Mutex
	startedAt    time.Time
	plans        map[uint64]*admission.Plan // by version
	current      *admission.Plan            // that is stored
	currentSince time.Time
	jobs         map[string]protocol.JobSpec
	durable      map[string]acceptance
	history      []porcupine.Operation
	deferred     int
	violations   []string
}

// acceptance is when and by which plan a job became durable.
type acceptance struct {
	plan    uint64
	expired bool
}

// New makes a checker that watches a state service.
func New(state *standin.State) *Checker {
	c := &Checker{
		startedAt: time.Now(),
		plans:     map[uint64]*admission.Plan{},
		jobs:      map[string]protocol.JobSpec{},
		durable:   map[string]acceptance{},
	}
	state.OnApply = c.txnApplied
	return c
}

// Submitted notes a job that a user is about to submit.
func (c *Checker) JobSubmitted(job protocol.JobSpec) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[job.ID] = job
}

func (c *Checker) violated(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// applied sees each transaction as it is carried out.
func (c *Checker) txnApplied(txn protocol.Txn, get func(string) (protocol.Item, bool)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, change := range txn.Then {
		if change.Set == admission.KeyPlan {
			c.planStored(change.Value)
		}
		if id, isNew := newJob(change, get); isNew {
			c.jobStored(id)
		}
	}
}

// newJob gives the job that a change makes durable for the first time.
func newJob(change protocol.Change, get func(string) (protocol.Item, bool)) (id string, isNew bool) {
	item := protocol.Item{Key: change.Set, Value: change.Value}
	if a, err := bookkeeping.ParseArrival(item); err == nil {
		return a.Spec.ID, true
	}
	jobs, _, err := bookkeeping.ParseJobs([]protocol.Item{item})
	if err != nil || len(jobs) != 1 {
		return "", false
	}
	id = jobs[0].Spec.ID
	_, live := get(bookkeeping.KeyJob(id))
	_, arrived := get(bookkeeping.KeyInbox(id))
	return id, !live && !arrived
}

func (c *Checker) planStored(raw []byte) {
	plan, err := admission.Decode(raw)
	if err != nil {
		c.violated("a plan is stored that is not readable: %v", err)
		return
	}
	if c.current != nil && (plan.Version <= c.current.Version || plan.Term < c.current.Term) {
		c.violated("plan %d of term %d replaces plan %d of term %d", plan.Version, plan.Term, c.current.Version, c.current.Term)
	}
	c.plans[plan.Version], c.current, c.currentSince = plan, plan, time.Now()
}

// lapseMargin is how far the checker's reading of a plan's age may be off.
const ageTolerance = 50 * time.Millisecond

func (c *Checker) jobStored(id string) {
	if _, twice := c.durable[id]; twice {
		c.violated("%s is accepted twice", id)
	}
	job, submitted := c.jobs[id]
	if !submitted {
		c.violated("%s is accepted, which nobody submitted", id)
		return
	}
	at := time.Since(c.startedAt).Nanoseconds()
	c.history = append(c.history, porcupine.Operation{Input: id, Output: becameDurable, Call: at, Return: at + 1})
	if c.current == nil {
		c.durable[id] = acceptance{expired: true}
		return
	}
	expired := time.Since(c.currentSince) > admission.Lifetime.Duration()-ageTolerance
	if d := c.current.Decide(&job); d.Verdict != admission.Admit && !expired {
		c.violated("%s is accepted while plan %d says %v", id, c.current.Version, d.Verdict)
	}
	c.durable[id] = acceptance{plan: c.current.Version, expired: expired}
}

// AnswerKind is what an answer to a submission says.
type AnswerKind uint8

// The kinds of answers.
const (
	Indefinite AnswerKind = iota
	SaysAccepted
	SaysWait
	becameDurable // not an answer: the job's record was stored
)

// Read tells what an answer to a submission says, and by which plan a job has to wait.
func ClassifyResponse(status int, body []byte) (kind AnswerKind, plan uint64) {
	switch status {
	case http.StatusOK, http.StatusCreated:
		return SaysAccepted, 0
	case http.StatusTooManyRequests:
		var p protocol.Problem
		if protocol.Decode(body, &p) == nil && p.Plan > 0 {
			return SaysWait, p.Plan
		}
	}
	return Indefinite, 0
}

// Answered notes an answer to a submission, and when it was asked for.
func (c *Checker) ResponseReceived(user int, id string, sent time.Time, kind AnswerKind, plan uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.history = append(c.history, porcupine.Operation{
		ClientId: user,
		Input:    id,
		Output:   kind,
		Call:     sent.Sub(c.startedAt).Nanoseconds(),
		Return:   time.Since(c.startedAt).Nanoseconds(),
	})
	if kind != SaysWait {
		return
	}
	c.deferred++
	job := c.jobs[id]
	if stored := c.plans[plan]; stored == nil {
		c.violated("%s waits by plan %d, which was never stored", id, plan)
	} else if d := stored.Decide(&job); d.Verdict != admission.Wait {
		c.violated("%s waits by plan %d, which says %v", id, plan, d.Verdict)
	}
}

// jobModel is one job as its users see it: from the moment at which it becomes durable
// it is accepted, and stays so. Answers that say nothing do not count.
var jobModel = porcupine.Model{
	Init: func() any { return false },
	Step: func(state, _, output any) (bool, any) {
		accepted := state.(bool)
		switch output.(AnswerKind) {
		case becameDurable:
			return true, true
		case SaysAccepted:
			return accepted, accepted
		case SaysWait:
			return !accepted, accepted
		}
		return true, accepted
	},
}

func partitionByJob(history []porcupine.Operation) [][]porcupine.Operation {
	byJob := map[string][]porcupine.Operation{}
	for _, operation := range history {
		id := operation.Input.(string)
		byJob[id] = append(byJob[id], operation)
	}
	out := make([][]porcupine.Operation, 0, len(byJob))
	for _, operations := range byJob {
		out = append(out, operations)
	}
	return out
}

// Verdicts tells what was broken, and checks the history of answers.
func (c *Checker) Verdicts() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.violations
	for _, operations := range partitionByJob(c.history) {
		if !porcupine.CheckOperations(jobModel, operations) {
			out = append(out, fmt.Sprintf("the answers about %v agree with no order: it waits after it was accepted, or is accepted without being durable", operations[0].Input))
		}
	}
	return out
}

// Accepted lists the jobs that became durable, with the version of the plan.
func (c *Checker) Accepted() map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]uint64{}
	for id, a := range c.durable {
		out[id] = a.plan
	}
	return out
}

// Waits counts the answers that told a job to wait.
func (c *Checker) Waits() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.deferred
}

// Plans counts the versions of the plan that were stored.
func (c *Checker) Plans() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.plans)
}
