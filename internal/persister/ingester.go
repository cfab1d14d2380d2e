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
	ingestInterval = units.Second // between reads of the pending-submission queue
	// PendingTimeout is the timeout of a request to the pending-submission queue on behalf of
	// a waiting user.
	PendingTimeout = 1200 * units.Millisecond
)

// IngesterDeps are the dependencies of an Ingester. All are required.
type IngesterDeps struct {
	State       *cluster.State
	Leadership  election.Leadership
	Terminals   *TerminalJobs
	Settings    *config.Settings
	KV          *kv.Client
	Clock       units.Clock
	Log         *slog.Logger
	WriteSignal loop.Signal // raised when ingested jobs are due to be written
}

// Ingester adds pending submissions to the state: jobs that other controllers accepted without a
// leader and put into the pending-submission queue. Each leadership has its own Ingester. Its
// methods may be called concurrently, without the state lock.
type Ingester struct {
	IngesterDeps

	// resyncNeeded is set when the queue may still contain finished jobs, so that it must be
	// read completely.
	resyncNeeded atomic.Bool
}

// NewIngester returns the ingester of a new leader.
func NewIngester(deps IngesterDeps) *Ingester {
	return &Ingester{IngesterDeps: deps}
}

// Run watches the queue and ingests new submissions until ctx ends.
func (in *Ingester) Run(ctx context.Context) {
	var watch pendingWatcher
	for wait := units.Micros(0); loop.Sleep(ctx, wait); wait = ingestInterval {
		if !in.Leadership.Valid() || !in.KV.HasRequestBudget() {
			continue
		}
		items, err := watch.next(ctx, in)
		if err != nil {
			in.Log.Debug("pending submissions not read", "error", err)
			continue
		}
		_ = in.Ingest(ctx, items) // unreadable records have been logged
	}
}

// IngestOne ingests one job if it is in the queue. It fails if the queue cannot be read or the
// job's record in it cannot be decoded.
func (in *Ingester) IngestOne(ctx context.Context, id string) error {
	item, ok, err := in.KV.Get(ctx, storage.KeyPending(id), PendingTimeout)
	if err == nil && ok {
		return in.Ingest(ctx, []protocol.Item{item})
	}
	return err
}

// Ingest adds jobs from the queue to the state. A job known to be finished is removed from the
// queue instead: its user submitted it again while the leader was reachable. If a record cannot be
// decoded, Ingest returns an error after it has ingested the other jobs.
func (in *Ingester) Ingest(ctx context.Context, items []protocol.Item) error {
	finished, err := in.addToState(items)
	if len(items) > 0 {
		in.WriteSignal.Raise()
	}
	if len(finished.Then) > 0 {
		if _, err := in.KV.CompareAndSwap(ctx, finished, kv.Paced, kv.CallTimeout); err != nil {
			in.Log.Debug("finished jobs not removed from the pending submissions", "error", err)
			in.resyncNeeded.Store(true)
		}
	}
	return err
}

// addToState adds jobs from the queue to the state. It returns the transaction that removes
// finished jobs from the queue, and an error if a record cannot be decoded.
func (in *Ingester) addToState(items []protocol.Item) (finished protocol.Txn, unreadable error) {
	in.State.Lock()
	defer in.State.Unlock()
	for _, item := range items {
		pending, err := cluster.ParsePendingSubmission(item)
		if err != nil {
			in.Log.Error("pending submission not readable; it is left in the queue", "error", err)
			unreadable = err
			continue
		}
		spec := &pending.Spec
		if _, terminal := in.Terminals.Cached(spec.ID); !terminal {
			if in.State.Jobs[spec.ID] == nil {
				in.Log.Info("pending submission ingested", "job", spec.ID, "class", spec.Class, "team", spec.Team, "tasks", spec.Tasks)
			}
			in.State.AddPendingSubmission(pending, in.Clock.Steady())
		} else if len(finished.Then) < in.Settings.Fleet.KVLimits.Lowest().TxnOps {
			finished.If = append(finished.If, protocol.Condition{Key: item.Key, Version: item.Version})
			finished.Then = append(finished.Then, protocol.Change{Delete: item.Key})
		} else {
			in.resyncNeeded.Store(true)
		}
	}
	return finished, unreadable
}
