// Package admissioncheck checks the admission of jobs under overload from outside: what
// users are told about their submissions, and which jobs become durable in the key-value
// store.
package admissioncheck

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"dunestand/internal/admission"
	"dunestand/internal/cluster"
	"dunestand/internal/fake"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
)

// Checker checks the invariants of admission:
//
//   - A job becomes durable only while the stored plan admits it, or after that plan has
//     expired.
//   - A job is deferred only by a plan that was stored and that defers it.
//   - Once a job is accepted no later response defers it: the responses about each job
//     are linearizable.
//
// It may be used concurrently.
type Checker struct {
	mu           sync.Mutex
	startedAt    time.Time
	plans        map[uint64]*admission.Plan // all that were stored, by version
	current      *admission.Plan            // the stored one; nil: none
	currentSince time.Time
	jobs         map[string]protocol.JobSpec // that users submit, by ID
	durable      map[string]uint64           // version of the plan by ID; 0: there was none
	history      []porcupine.Operation
	deferred     int
	violations   []string
}

// New returns a checker that observes a key-value store from now on.
func New(store *fake.KVServer) *Checker {
	c := &Checker{
		startedAt: time.Now(),
		plans:     map[uint64]*admission.Plan{},
		jobs:      map[string]protocol.JobSpec{},
		durable:   map[string]uint64{},
	}
	store.OnApply = c.txnApplied
	return c
}

// RegisterSubmission records a job that users are about to submit. It fails if the submission is not
// valid.
func (c *Checker) RegisterSubmission(job map[string]any) error {
	spec, err := protocol.ParseSubmission(protocol.Encode(job))
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[spec.ID] = *spec
	return nil
}

func (c *Checker) violatedLocked(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// txnApplied checks each transaction just before it is carried out.
func (c *Checker) txnApplied(txn protocol.Txn, get func(string) (protocol.Item, bool)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, change := range txn.Then {
		if change.Set == admission.KeyPlan {
			c.planStoredLocked(change.Value)
		}
		if id, isNew := newJob(change, get); isNew {
			c.jobStoredLocked(id)
		}
	}
}

// newJob returns the job that a change makes durable, and whether it is the first to do so.
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
	_, pending := get(storage.KeyPending(id))
	return id, !live && !pending
}

func (c *Checker) planStoredLocked(raw []byte) {
	plan, err := admission.Decode(raw)
	if err != nil {
		c.violatedLocked("a plan is stored that is not readable: %v", err)
		return
	}
	if c.current != nil && (plan.Version <= c.current.Version || plan.FencingToken < c.current.FencingToken) {
		c.violatedLocked("plan %d of token %d replaces plan %d of token %d", plan.Version, plan.FencingToken, c.current.Version, c.current.FencingToken)
	}
	c.plans[plan.Version], c.current, c.currentSince = plan, plan, time.Now()
}

// ageTolerance is the error of a plan's age as the checker measures it.
const ageTolerance = 50 * time.Millisecond

func (c *Checker) jobStoredLocked(id string) {
	if _, twice := c.durable[id]; twice {
		c.violatedLocked("%s is accepted twice", id)
	}
	job, submitted := c.jobs[id]
	if !submitted {
		c.violatedLocked("%s is accepted, which nobody submitted", id)
		return
	}
	c.recordDurableLocked(id)
	if c.current == nil {
		c.durable[id] = 0
		return
	}
	expired := time.Since(c.currentSince) > admission.PlanLifetime.Duration()-ageTolerance
	if d := c.current.Decide(&job); d.Verdict != admission.Admit && !expired {
		c.violatedLocked("%s is accepted while plan %d says %v", id, c.current.Version, d.Verdict)
	}
	c.durable[id] = c.current.Version
}

// Violations returns all violations, those in the history of responses among them.
func (c *Checker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Concat(c.violations, nonLinearizable(c.history))
}

// DurableJobs returns the jobs that became durable, with the version of the plan then stored;
// 0: none was.
func (c *Checker) DurableJobs() map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.durable)
}

// DeferredResponses counts the responses that deferred a job.
func (c *Checker) DeferredResponses() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.deferred
}

// StoredPlans counts the versions of the plan that were stored.
func (c *Checker) StoredPlans() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.plans)
}
