package coordination

import (
	"context"
	"log/slog"
	"sync/atomic"

	"dunestand/internal/cluster"
	"dunestand/internal/config"
	"dunestand/internal/kv"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// Ingester takes the jobs that other controllers accepted without a leader from the queue
// of pending submissions into the state.
type Ingester struct {
	state       *cluster.State
	leadership  Leadership
	terminals   *TerminalJobs
	settings    *config.Settings
	kv          *kv.Client
	clock       units.Clock
	log         *slog.Logger
	writeSignal chan struct{}

	// pendingUncleared: the queue may hold what should have been removed from it.
	pendingUncleared atomic.Bool
}

func newIngester(l *Leader) *Ingester {
	return &Ingester{
		state:       l.state,
		leadership:  l.leadership,
		terminals:   l.terminals,
		settings:    l.Settings,
		kv:          l.KV,
		clock:       l.Clock,
		log:         l.Log,
		writeSignal: l.writeSignal,
	}
}

// ingestLoop takes in what other controllers accepted.
func (in *Ingester) ingestLoop(ctx context.Context) {
	var watch pendingWatcher
	for wait := units.Micros(0); sleep(ctx, wait); wait = ingestInterval {
		if !in.leadership.Valid() || !in.kv.HasRequestBudget() {
			continue
		}
		items, err := watch.next(ctx, in)
		if err != nil {
			in.log.Debug("inbox not read", "error", err)
			continue
		}
		in.ingest(ctx, items)
	}
}

// ingestOne takes a single job in, if it is in the inbox.
func (in *Ingester) ingestOne(ctx context.Context, id string) error {
	item, ok, err := in.kv.Get(ctx, storage.KeyPending(id), pendingTimeout)
	if err == nil && ok {
		return in.ingest(ctx, []protocol.Item{item})
	}
	return err
}

// ingest adds jobs from the inbox to the ledger. One that is over has no more
// use there: its user sent it again, and the leader was in reach then.
func (in *Ingester) ingest(ctx context.Context, items []protocol.Item) (unreadable error) {
	var over protocol.Txn
	in.state.Lock()
	for _, item := range items {
		a, err := cluster.ParsePendingSubmission(item)
		if err != nil {
			in.log.Error("a job in the inbox is not readable; it is left there", "error", err)
			unreadable = err
			continue
		}
		if _, final := in.terminals.terminalJobs.get(a.Spec.ID); !final {
			if in.state.Jobs[a.Spec.ID] == nil {
				in.log.Info("job taken in", "job", a.Spec.ID, "class", a.Spec.Class, "team", a.Spec.Team, "tasks", a.Spec.Tasks)
			}
			in.state.AddPending(a, in.clock.Steady())
		} else if len(over.Then) < in.settings.Fleet.State.Both().TxnOps {
			over.If = append(over.If, protocol.Condition{Key: item.Key, Version: item.Version})
			over.Then = append(over.Then, protocol.Change{Delete: item.Key})
		} else {
			in.pendingUncleared.Store(true)
		}
	}
	in.state.Unlock()
	if len(items) > 0 {
		raise(in.writeSignal)
	}
	if len(over.Then) > 0 {
		if _, err := in.kv.CompareAndSwap(ctx, over, kv.Paced, kvTimeout); err != nil {
			in.log.Debug("inbox not cleared", "error", err)
			in.pendingUncleared.Store(true)
		}
	}
	return unreadable
}

// isLive tells whether a job is live here.
func (l *Leader) isLive(id string) bool {
	l.state.Lock()
	defer l.state.Unlock()
	return l.state.Jobs[id] != nil
}
