// Package admissioncheck provides a checker of job admission under overload. It observes only
// the responses to submissions and the transactions of the key-value store, not the state of the
// controllers.
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
//   - Once a job is accepted, no later response defers it: the responses about each job
//     are linearizable.
//
// A Checker may be used concurrently.
type Checker struct {
	mu           sync.Mutex
	startedAt    time.Time
	plans        map[uint64]*admission.Plan // all stored plans by version
	current      *admission.Plan            // the plan in the store; nil: none
	currentSince time.Time
	jobs         map[string]protocol.JobSpec // registered submissions by ID
	durable      map[string]uint64           // version of the plan at the time of storing, by job ID; 0: no plan
	history      []porcupine.Operation
	deferred     int
	violations   []string
}

// New returns a checker that observes a key-value store. It sets the store's BeforeApply and must
// be called while the store serves no requests.
func New(store *fake.KVServer) *Checker {
	c := &Checker{
		startedAt: time.Now(),
		plans:     map[uint64]*admission.Plan{},
		jobs:      map[string]protocol.JobSpec{},
		durable:   map[string]uint64{},
	}
	store.BeforeApply = c.checkTxn
	return c
}

// RegisterSubmission records a submission that users are about to send. It returns an error if
// the submission is invalid.
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

func (c *Checker) recordViolationLocked(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// checkTxn checks a transaction that is about to be applied. get reads a key's item from before
// the transaction.
func (c *Checker) checkTxn(txn protocol.Txn, get func(string) (protocol.Item, bool)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, change := range txn.Then {
		if change.Set == admission.KeyPlan {
			c.checkPlanLocked(change.Value)
		}
		if id, isNew := newlyDurableJob(change, get); isNew {
			c.checkDurableJobLocked(id)
		}
	}
}

// newlyDurableJob returns the ID of the job whose record a change writes, and reports whether
// that makes the job durable. A pending submission always does; a job record does unless the job
// is stored or pending already.
func newlyDurableJob(change protocol.Change, get func(string) (protocol.Item, bool)) (id string, isNew bool) {
	item := protocol.Item{Key: change.Set, Value: change.Value}
	if a, err := cluster.ParsePendingSubmission(item); err == nil {
		return a.Spec.ID, true
	}
	jobs, _, err := cluster.ParseJobs([]protocol.Item{item})
	if err != nil || len(jobs) != 1 {
		return "", false
	}
	id = jobs[0].Spec.ID
	_, hasJobRecord := get(storage.KeyJob(id))
	_, pending := get(storage.KeyPending(id))
	return id, !hasJobRecord && !pending
}

func (c *Checker) checkPlanLocked(raw []byte) {
	plan, err := admission.Decode(raw)
	if err != nil {
		c.recordViolationLocked("stored plan cannot be decoded: %v", err)
		return
	}
	if c.current != nil && (plan.Version <= c.current.Version || plan.FencingToken < c.current.FencingToken) {
		c.recordViolationLocked("plan %d with fencing token %d replaces plan %d with fencing token %d", plan.Version, plan.FencingToken, c.current.Version, c.current.FencingToken)
	}
	c.plans[plan.Version], c.current, c.currentSince = plan, plan, time.Now()
}

// ageTolerance allows for the error of the plan age that the checker measures.
const ageTolerance = 50 * time.Millisecond

func (c *Checker) checkDurableJobLocked(id string) {
	if _, alreadyDurable := c.durable[id]; alreadyDurable {
		c.recordViolationLocked("%s is accepted twice", id)
	}
	job, submitted := c.jobs[id]
	if !submitted {
		c.recordViolationLocked("%s is accepted but was never submitted", id)
		return
	}
	c.recordDurableLocked(id)
	if c.current == nil {
		c.durable[id] = 0
		return
	}
	expired := time.Since(c.currentSince) > admission.PlanLifetime.Duration()-ageTolerance
	if d := c.current.Decide(&job); d.Verdict != admission.Admit && !expired {
		c.recordViolationLocked("%s is accepted while the verdict of plan %d is %v", id, c.current.Version, d.Verdict)
	}
	c.durable[id] = c.current.Version
}

// Violations returns all violations, including the jobs whose responses are not linearizable.
func (c *Checker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Concat(c.violations, nonLinearizable(c.history))
}

// DurableJobs returns the IDs of the jobs that became durable. The value is the version of the
// plan that was stored at the time; 0: no plan.
func (c *Checker) DurableJobs() map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.durable)
}

// DeferredResponses returns the number of responses that deferred a job.
func (c *Checker) DeferredResponses() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.deferred
}

// StoredPlans returns the number of plan versions that were stored.
func (c *Checker) StoredPlans() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.plans)
}
