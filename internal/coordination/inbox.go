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
	ingestInterval   = units.Second
	pendingTimeout   = 1200 * units.Millisecond
	instanceTypesTTL = 60 * units.Second
)

// leaderless is what a node needs to accept jobs without a leader.
type leaderlessAdmission struct {
	acceptedBytes   atomic.Int64 // memory of the jobs accepted so since it last reached a leader
	mu              sync.Mutex
	instanceTypes   map[string]protocol.InstanceType
	typesValidUntil units.Micros
}

// machineTypes gives the types that the last leader stored.
func (c *Controller) machineTypes(ctx context.Context) map[string]protocol.InstanceType {
	a := &c.leaderless
	now := c.deps.Clock.Steady()
	a.mu.Lock()
	types := a.instanceTypes
	if now >= a.typesValidUntil {
		types = nil
	}
	a.mu.Unlock()
	if types != nil {
		return types
	}
	list, err := c.deps.KV.List(ctx, storage.KeyCatalog, "", pendingTimeout)
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
	a.instanceTypes, a.typesValidUntil = types, now+instanceTypesTTL
	return types
}

// acceptWithoutLeader puts a job into the inbox, if it is certain that the job can be
// taken; otherwise the refusal stands, and a leader decides when there is one.
func (c *Controller) acceptWithoutLeader(ctx context.Context, spec *protocol.JobSpec, refused answer) answer {
	store, lease := c.deps.KV, c.deps.Elector
	if lease.UnansweredFor() >= lease.timing.Duration || !store.HasRequestBudget() || !store.HasWriteBudget() {
		return refused
	}
	if status, _ := checkFeasible(spec, c.deps.Settings, c.machineTypes(ctx), c.deps.Format.Current()); status != 0 {
		return refused
	}
	arrival := cluster.PendingSubmissionTxn(cluster.PendingSubmission{
		Spec:      *spec,
		Submitted: c.deps.Clock.Wall(),
	})
	if a := c.deps.Admitter; a != nil {
		d, condition := a.decideAlone(spec)
		if d.Verdict != admission.Admit {
			return c.refuseWithoutLeader(ctx, spec.ID, d, refused)
		}
		arrival.If = append(arrival.If, condition)
	}
	share := jobMemoryLimit(c.deps.Settings) / int64(1+len(c.deps.Settings.Others))
	if c.leaderless.acceptedBytes.Add(cluster.JobMemory(spec)) > share {
		return plainAnswer(ErrorResponse(http.StatusTooManyRequests, "too many jobs wait for a leader"))
	}
	readAt := c.deps.Clock.Steady()
	_, err := store.CompareAndSwap(ctx, arrival, kv.Paced, pendingTimeout)
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
	if c.gate().isStale(accepted) {
		return c.records().poll(ctx, spec.ID) // it may be over by now
	}
	return accepted
}

// refuseWithoutLeader answers for a job that is not admitted without the leader, unless the
// records tell of it.
func (c *Controller) refuseWithoutLeader(ctx context.Context, id string, d admission.Decision, refused answer) answer {
	known := c.records().poll(ctx, id)
	switch {
	case known.Status == http.StatusOK:
		return known
	case known.Status == http.StatusNotFound && d.Verdict == admission.Wait:
		return waitingAnswer(d)
	}
	return refused
}

// ingestLoop takes in what other controllers accepted.
func (t *Leader) ingestLoop(ctx context.Context) {
	var watch pendingWatcher
	for wait := units.Micros(0); sleep(ctx, wait); wait = ingestInterval {
		if !t.Elector.Valid(t.token) || !t.KV.HasRequestBudget() {
			continue
		}
		items, err := watch.next(ctx, t)
		if err != nil {
			t.Log.Debug("inbox not read", "error", err)
			continue
		}
		t.ingest(ctx, items)
	}
}

// ingestOne takes a single job in, if it is in the inbox.
func (t *Leader) ingestOne(ctx context.Context, id string) error {
	item, ok, err := t.KV.Get(ctx, storage.KeyPending(id), pendingTimeout)
	if err == nil && ok {
		return t.ingest(ctx, []protocol.Item{item})
	}
	return err
}

// ingest adds jobs from the inbox to the ledger. One that is over has no more
// use there: its user sent it again, and the leader was in reach then.
func (t *Leader) ingest(ctx context.Context, items []protocol.Item) (unreadable error) {
	var over protocol.Txn
	t.mu.Lock()
	for _, item := range items {
		a, err := cluster.ParsePendingSubmission(item)
		if err != nil {
			t.Log.Error("a job in the inbox is not readable; it is left there", "error", err)
			unreadable = err
			continue
		}
		if _, final := t.terminalJobs.get(a.Spec.ID); !final {
			if t.state.Jobs[a.Spec.ID] == nil {
				t.Log.Info("job taken in", "job", a.Spec.ID, "class", a.Spec.Class, "team", a.Spec.Team, "tasks", a.Spec.Tasks)
			}
			t.state.AddPending(a, t.Clock.Steady())
		} else if len(over.Then) < t.Settings.Fleet.State.Both().TxnOps {
			over.If = append(over.If, protocol.Condition{Key: item.Key, Version: item.Version})
			over.Then = append(over.Then, protocol.Change{Delete: item.Key})
		} else {
			t.pendingUncleared.Store(true)
		}
	}
	t.mu.Unlock()
	if len(items) > 0 {
		raise(t.writeSignal)
	}
	if len(over.Then) > 0 {
		if _, err := t.KV.CompareAndSwap(ctx, over, kv.Paced, kvTimeout); err != nil {
			t.Log.Debug("inbox not cleared", "error", err)
			t.pendingUncleared.Store(true)
		}
	}
	return unreadable
}

// isLive tells whether a job is live here.
func (t *Leader) isLive(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.Jobs[id] != nil
}
