// Package admissioncheck checks histories of submissions against the rules of admission.
package admissioncheck

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"dunestand/internal/admission"
	"dunestand/internal/cluster"
	"dunestand/internal/protocol"
	"dunestand/internal/standin"
	"dunestand/internal/storage"
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
	mu        sync.Mutex
	began     time.Time
	plans     map[uint64]*admission.Plan // by version
	plan      *admission.Plan            // that is stored
	writtenAt time.Time
	jobs      map[string]protocol.JobSpec
	accepted  map[string]acceptance
	history   []porcupine.Operation
	waits     int
	broken    []string
}

// acceptance is when and by which plan a job became durable.
type acceptance struct {
	plan   uint64
	lapsed bool
}

// New makes a checker that watches a state service.
func New(state *standin.State) *Checker {
	c := &Checker{
		began:    time.Now(),
		plans:    map[uint64]*admission.Plan{},
		jobs:     map[string]protocol.JobSpec{},
		accepted: map[string]acceptance{},
	}
	state.Applied = c.applied
	return c
}

// Submitted notes a job that a user is about to submit.
func (c *Checker) Submitted(job protocol.JobSpec) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[job.ID] = job
}

func (c *Checker) breaks(format string, args ...any) {
	c.broken = append(c.broken, fmt.Sprintf(format, args...))
}

// applied sees each transaction as it is carried out.
func (c *Checker) applied(txn protocol.Txn, get func(string) (protocol.Item, bool)) {
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
	if a, err := cluster.ParsePendingSubmission(item); err == nil {
		return a.Spec.ID, true
	}
	jobs, _, err := cluster.ParseJobs([]protocol.Item{item})
	if err != nil || len(jobs) != 1 {
		return "", false
	}
	id = jobs[0].Spec.ID
	_, live := get(storage.KeyJob(id))
	_, arrived := get(storage.KeyPending(id))
	return id, !live && !arrived
}

func (c *Checker) planStored(raw []byte) {
	plan, err := admission.Decode(raw)
	if err != nil {
		c.breaks("a plan is stored that is not readable: %v", err)
		return
	}
	if c.plan != nil && (plan.Version <= c.plan.Version || plan.FencingToken < c.plan.FencingToken) {
		c.breaks("plan %d of term %d replaces plan %d of term %d", plan.Version, plan.FencingToken, c.plan.Version, c.plan.FencingToken)
	}
	c.plans[plan.Version], c.plan, c.writtenAt = plan, plan, time.Now()
}

// lapseMargin is how far the checker's reading of a plan's age may be off.
const lapseMargin = 50 * time.Millisecond

func (c *Checker) jobStored(id string) {
	if _, twice := c.accepted[id]; twice {
		c.breaks("%s is accepted twice", id)
	}
	job, submitted := c.jobs[id]
	if !submitted {
		c.breaks("%s is accepted, which nobody submitted", id)
		return
	}
	at := time.Since(c.began).Nanoseconds()
	c.history = append(c.history, porcupine.Operation{Input: id, Output: becomesDurable, Call: at, Return: at + 1})
	if c.plan == nil {
		c.accepted[id] = acceptance{lapsed: true}
		return
	}
	lapsed := time.Since(c.writtenAt) > admission.PlanLifetime.Duration()-lapseMargin
	if d := c.plan.Decide(&job); d.Verdict != admission.Admit && !lapsed {
		c.breaks("%s is accepted while plan %d says %v", id, c.plan.Version, d.Verdict)
	}
	c.accepted[id] = acceptance{plan: c.plan.Version, lapsed: lapsed}
}

// AnswerKind is what an answer to a submission says.
type AnswerKind uint8

// The kinds of answers.
const (
	SaysNothing AnswerKind = iota
	SaysAccepted
	SaysWait
	becomesDurable // not an answer: the job's record was stored
)

// Read tells what an answer to a submission says, and by which plan a job has to wait.
func Read(status int, body []byte) (kind AnswerKind, plan uint64) {
	switch status {
	case http.StatusOK, http.StatusCreated:
		return SaysAccepted, 0
	case http.StatusTooManyRequests:
		var p protocol.ErrorResponse
		if protocol.Decode(body, &p) == nil && p.PlanVersion > 0 {
			return SaysWait, p.PlanVersion
		}
	}
	return SaysNothing, 0
}

// Answered notes an answer to a submission, and when it was asked for.
func (c *Checker) Answered(user int, id string, asked time.Time, kind AnswerKind, plan uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.history = append(c.history, porcupine.Operation{
		ClientId: user,
		Input:    id,
		Output:   kind,
		Call:     asked.Sub(c.began).Nanoseconds(),
		Return:   time.Since(c.began).Nanoseconds(),
	})
	if kind != SaysWait {
		return
	}
	c.waits++
	job := c.jobs[id]
	if made := c.plans[plan]; made == nil {
		c.breaks("%s waits by plan %d, which was never stored", id, plan)
	} else if d := made.Decide(&job); d.Verdict != admission.Wait {
		c.breaks("%s waits by plan %d, which says %v", id, plan, d.Verdict)
	}
}

// jobModel is one job as its users see it: from the moment at which it becomes durable
// it is accepted, and stays so. Answers that say nothing do not count.
var jobModel = porcupine.Model{
	Init: func() any { return false },
	Step: func(state, _, output any) (bool, any) {
		accepted := state.(bool)
		switch output.(AnswerKind) {
		case becomesDurable:
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
	out := c.broken
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
	for id, a := range c.accepted {
		out[id] = a.plan
	}
	return out
}

// Waits counts the answers that told a job to wait.
func (c *Checker) Waits() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waits
}

// Plans counts the versions of the plan that were stored.
func (c *Checker) Plans() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.plans)
}
