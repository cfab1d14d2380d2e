package persister

import (
	"context"
	"log/slog"
	"sync/atomic"

	"dunestand/internal/cluster"
	"dunestand/internal/config"
	"dunestand/internal/election"
	"dunestand/internal/kv"
	"dunestand/internal/loop"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

const (
	ingestInterval = units.Second
	// PendingTimeout bounds a read or write of the queue of pending submissions, for which a
	// user waits.
	PendingTimeout = 1200 * units.Millisecond
)

// IngesterDeps is what a Ingester works with.
type IngesterDeps struct {
	State       *cluster.State
	Leadership  election.Leadership
	Terminals   *TerminalJobs
	Settings    *config.Settings
	KV          *kv.Client
	Clock       units.Clock
	Log         *slog.Logger
	WriteSignal loop.Signal
}

// Ingester takes the jobs that other controllers accepted without a leader from the queue
// of pending submissions into the state.
type Ingester struct {
	IngesterDeps

	// pendingUncleared: the queue may hold what should have been removed from it.
	pendingUncleared atomic.Bool
}

func NewIngester(deps IngesterDeps) *Ingester {
	return &Ingester{
		IngesterDeps: deps,
	}
}

// Run takes in what other controllers accepted.
func (in *Ingester) Run(ctx context.Context) {
	var watch pendingWatcher
	for wait := units.Micros(0); loop.Sleep(ctx, wait); wait = ingestInterval {
		if !in.Leadership.Valid() || !in.KV.HasRequestBudget() {
			continue
		}
		items, err := watch.next(ctx, in)
		if err != nil {
			in.Log.Debug("inbox not read", "error", err)
			continue
		}
		in.Ingest(ctx, items)
	}
}

// IngestOne takes a single job in, if it is in the inbox.
func (in *Ingester) IngestOne(ctx context.Context, id string) error {
	item, ok, err := in.KV.Get(ctx, storage.KeyPending(id), PendingTimeout)
	if err == nil && ok {
		return in.Ingest(ctx, []protocol.Item{item})
	}
	return err
}

// Ingest adds jobs from the inbox to the ledger. One that is over has no more
// use there: its user sent it again, and the leader was in reach then.
func (in *Ingester) Ingest(ctx context.Context, items []protocol.Item) (unreadable error) {
	var over protocol.Txn
	in.State.Lock()
	for _, item := range items {
		a, err := cluster.ParsePendingSubmission(item)
		if err != nil {
			in.Log.Error("a job in the inbox is not readable; it is left there", "error", err)
			unreadable = err
			continue
		}
		if _, final := in.Terminals.Cached(a.Spec.ID); !final {
			if in.State.Jobs[a.Spec.ID] == nil {
				in.Log.Info("job taken in", "job", a.Spec.ID, "class", a.Spec.Class, "team", a.Spec.Team, "tasks", a.Spec.Tasks)
			}
			in.State.AddPending(a, in.Clock.Steady())
		} else if len(over.Then) < in.Settings.Fleet.State.Both().TxnOps {
			over.If = append(over.If, protocol.Condition{Key: item.Key, Version: item.Version})
			over.Then = append(over.Then, protocol.Change{Delete: item.Key})
		} else {
			in.pendingUncleared.Store(true)
		}
	}
	in.State.Unlock()
	if len(items) > 0 {
		in.WriteSignal.Raise()
	}
	if len(over.Then) > 0 {
		if _, err := in.KV.CompareAndSwap(ctx, over, kv.Paced, kv.CallTimeout); err != nil {
			in.Log.Debug("inbox not cleared", "error", err)
			in.pendingUncleared.Store(true)
		}
	}
	return unreadable
}
