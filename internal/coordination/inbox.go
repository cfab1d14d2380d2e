package coordination

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"

	"dunestand/internal/admission"
	"dunestand/internal/cluster"
	"dunestand/internal/kv"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// Submissions are passed on to the leader. A controller that reaches none may
// still reach the state service: it then puts a job into the inbox there, and
// the leader, or the next one, takes it in. A change of leader takes several
// seconds, and users would be refused for all of that time.

const (
	inboxEvery  = units.Second
	arrivalCall = 1200 * units.Millisecond
	typesAge    = 60 * units.Second
)

// arrivals is what a node needs to accept jobs without a leader.
type arrivals struct {
	alone atomic.Int64 // memory of the jobs accepted so since it last reached a leader
	mu    sync.Mutex
	types map[string]protocol.InstanceType
	until units.Micros
}

// machineTypes gives the types that the last leader stored.
func (c *Controller) machineTypes(ctx context.Context) map[string]protocol.InstanceType {
	a := &c.arrivals
	now := c.deps.Clock.Steady()
	a.mu.Lock()
	types := a.types
	if now >= a.until {
		types = nil
	}
	a.mu.Unlock()
	if types != nil {
		return types
	}
	list, err := c.deps.Store.List(ctx, storage.KeyCatalog, "", arrivalCall)
	if err != nil {
		return nil
	}
	catalog, _, err := storage.ParseCatalog(list.Items)
	if err != nil || len(catalog.Types) == 0 {
		return nil
	}
	types = map[string]protocol.InstanceType{}
	for _, t := range catalog.Types {
		types[t.Name] = t
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.types, a.until = types, now+typesAge
	return types
}

// acceptAlone puts a job into the inbox, if it is certain that the job can be
// taken; otherwise the refusal stands, and a leader decides when there is one.
func (c *Controller) acceptAlone(ctx context.Context, spec *protocol.JobSpec, refused answer) answer {
	store, lease := c.deps.Store, c.deps.Lease
	if lease.Unanswered() >= lease.timing.Length || !store.HasRequestBudget() || !store.HasWriteBudget() {
		return refused
	}
	if status, _ := checkRunnable(spec, c.deps.Settings, c.machineTypes(ctx), c.deps.Format.Level()); status != 0 {
		return refused
	}
	arrival := cluster.PendingSubmissionTxn(cluster.PendingSubmission{
		Spec:      *spec,
		Submitted: c.deps.Clock.Wall(),
	})
	if a := c.deps.Admitter; a != nil {
		d, condition := a.decideAlone(spec)
		if d.Verdict != admission.Admit {
			return c.refuseAlone(ctx, spec.ID, d, refused)
		}
		arrival.If = append(arrival.If, condition)
	}
	share := jobMemory(c.deps.Settings) / int64(1+len(c.deps.Settings.Others))
	if c.arrivals.alone.Add(cluster.JobMemory(spec)) > share {
		return plainAnswer(Refuse(http.StatusTooManyRequests, "too many jobs wait for a leader"))
	}
	readAt := c.deps.Clock.Steady()
	_, err := store.CompareAndSwap(ctx, arrival, kv.Paced, arrivalCall)
	var conflict *kv.VersionConflictError
	switch {
	case errors.As(err, &conflict):
		// It is known already: a repeat, or the leader took it after all.
		if r := c.records().poll(ctx, spec.ID); r.Status == http.StatusOK {
			return r
		}
		return refused
	case err != nil:
		return refused
	}
	c.deps.Log.Info("job accepted without a leader", "job", spec.ID, "class", spec.Class, "team", spec.Team, "tasks", spec.Tasks)
	accepted := provisionalAnswer(stateAnswer(http.StatusCreated, protocol.JobState{ID: spec.ID, Stage: protocol.StagePending}), readAt)
	if c.gate().outdated(accepted) {
		return c.records().poll(ctx, spec.ID) // it may be over by now
	}
	return accepted
}

// refuseAlone answers for a job that is not admitted without the leader, unless the
// records tell of it.
func (c *Controller) refuseAlone(ctx context.Context, id string, d admission.Decision, refused answer) answer {
	known := c.records().poll(ctx, id)
	switch {
	case known.Status == http.StatusOK:
		return known
	case known.Status == http.StatusNotFound && d.Verdict == admission.Wait:
		return waitingAnswer(d)
	}
	return refused
}

// inboxLoop takes in what other controllers accepted.
func (t *Term) inboxLoop(ctx context.Context) {
	var watch inboxWatch
	for wait := units.Micros(0); pause(ctx, wait); wait = inboxEvery {
		if !t.Lease.Valid(t.number) || !t.Store.HasRequestBudget() {
			continue
		}
		items, err := watch.next(ctx, t)
		if err != nil {
			t.Log.Debug("inbox not read", "error", err)
			continue
		}
		t.takeIn(ctx, items)
	}
}

// askInbox takes a single job in, if it is in the inbox.
func (t *Term) askInbox(ctx context.Context, id string) error {
	item, ok, err := t.Store.Get(ctx, storage.KeyPending(id), arrivalCall)
	if err == nil && ok {
		return t.takeIn(ctx, []protocol.Item{item})
	}
	return err
}

// takeIn adds jobs from the inbox to the ledger. One that is over has no more
// use there: its user sent it again, and the leader was in reach then.
func (t *Term) takeIn(ctx context.Context, items []protocol.Item) (unreadable error) {
	var over protocol.Txn
	t.mu.Lock()
	for _, item := range items {
		a, err := cluster.ParsePendingSubmission(item)
		if err != nil {
			t.Log.Error("a job in the inbox is not readable; it is left there", "error", err)
			unreadable = err
			continue
		}
		if _, final := t.finals.get(a.Spec.ID); !final {
			if t.ledger.Jobs[a.Spec.ID] == nil {
				t.Log.Info("job taken in", "job", a.Spec.ID, "class", a.Spec.Class, "team", a.Spec.Team, "tasks", a.Spec.Tasks)
			}
			t.ledger.AddPending(a, t.Clock.Steady())
		} else if len(over.Then) < t.Settings.Fleet.State.Both().TxnOps {
			over.If = append(over.If, protocol.Condition{Key: item.Key, Version: item.Version})
			over.Then = append(over.Then, protocol.Change{Delete: item.Key})
		} else {
			t.inboxUncleared.Store(true)
		}
	}
	t.mu.Unlock()
	if len(items) > 0 {
		signal(t.saveSignal)
	}
	if len(over.Then) > 0 {
		if _, err := t.Store.CompareAndSwap(ctx, over, kv.Paced, stateCall); err != nil {
			t.Log.Debug("inbox not cleared", "error", err)
			t.inboxUncleared.Store(true)
		}
	}
	return unreadable
}

// knows tells whether a job is live here.
func (t *Term) knows(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ledger.Jobs[id] != nil
}
