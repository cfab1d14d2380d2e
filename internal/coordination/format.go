package coordination

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync/atomic"

	"dunestand/internal/kv"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// FleetFormat answers one question, for all that is written: which format of
// records does every controller read that may ever lead again? During an upgrade
// controllers of the version before are among them, and any of them may lead at
// any moment. Each controller says in a record of its own, durably, which format
// it reads; once all that are configured have said so, the leader raises the
// fleet's format. It is never lowered, so a leader that comes later decides the
// same.
type FleetFormat struct {
	node  string
	nodes []string // all that are configured
	store *kv.Client
	log   *slog.Logger
	reads int // the format that this node tells the others

	level      atomic.Int64
	newer      atomic.Bool // the fleet has a format that this version does not know
	registered bool
}

const formatEvery = units.Second

// NewFleetFormat makes the fleet's format as a controller knows it. The controller tells
// the others that it reads the format given, and all before it.
func NewFleetFormat(node string, others []string, reads int, store *kv.Client, log *slog.Logger) *FleetFormat {
	f := &FleetFormat{node: node, nodes: append([]string{node}, others...), reads: reads, store: store, log: log}
	f.level.Store(storage.FormatOld)
	return f
}

// Level is the format that may be written.
func (f *FleetFormat) Level() int { return int(f.level.Load()) }

// Newer tells whether records may have a format that this version does not
// know. It then must not lead: what it cannot read it would forget.
func (f *FleetFormat) Newer() bool { return f.newer.Load() }

// Run tells the others which format this node reads, and raises the fleet's
// while it leads.
func (f *FleetFormat) Run(ctx context.Context, leads func() bool) {
	for wait := units.Micros(0); pause(ctx, wait); wait = formatEvery {
		err := f.step(ctx, leads())
		if err != nil {
			f.log.Debug("the fleet's format is not known for certain", "error", err)
		}
		if err == nil && f.registered && f.Level() >= f.reads {
			return
		}
	}
}

// Read finds out what the fleet's format is now.
func (f *FleetFormat) Read(ctx context.Context) error {
	_, err := f.read(ctx)
	return err
}

func (f *FleetFormat) read(ctx context.Context) (map[string]stored, error) {
	list, err := f.store.List(ctx, storage.PrefixFormats, "", stateCall)
	if err != nil {
		return nil, err
	}
	known := map[string]stored{}
	for _, item := range list.Items {
		var r storage.FormatRecord
		if err := protocol.Decode(item.Value, &r); err != nil {
			return nil, fmt.Errorf("record %s: %w", item.Key, err)
		}
		known[item.Key] = stored{r.Format, item.Version}
	}
	f.learn(known[storage.KeyFleetFormat].format)
	return known, nil
}

// stored is a format as a record has it.
type stored struct {
	format  int
	version uint64
}

func (f *FleetFormat) learn(level int) {
	if level > storage.NewestFormat && !f.newer.Swap(true) {
		f.log.Error("the fleet's records have a format of a later version; this node does not lead", "format", level, "known", storage.NewestFormat)
	}
	if level > f.Level() {
		f.level.Store(int64(level))
		f.store.ApplyNextLimits()
		f.log.Info("fleet format", "format", level)
	}
}

func (f *FleetFormat) step(ctx context.Context, leads bool) error {
	known, err := f.read(ctx)
	if err != nil {
		return err
	}
	own := storage.KeyFormat(f.node)
	if known[own].format < f.reads {
		if err := f.write(ctx, own, f.reads, known[own].version); err != nil {
			return err
		}
		f.log.Info("format told", "node", f.node, "format", f.reads)
		known[own] = stored{format: f.reads}
	}
	f.registered = true
	if level := readByAll(f.nodes, known); leads && level > f.Level() {
		if err := f.write(ctx, storage.KeyFleetFormat, level, known[storage.KeyFleetFormat].version); err != nil {
			return err
		}
		f.learn(level)
	}
	return nil
}

// readByAll gives the newest format that every controller reads.
func readByAll(nodes []string, known map[string]stored) int {
	level := storage.NewestFormat
	for _, node := range nodes {
		level = min(level, max(known[storage.KeyFormat(node)].format, storage.FormatOld))
	}
	return level
}

func (f *FleetFormat) write(ctx context.Context, key string, format int, on uint64) error {
	_, err := f.store.CompareAndSwap(ctx, protocol.Txn{
		If: []protocol.Condition{{Key: key, Version: on}},
		Then: []protocol.Change{{
			Set:   key,
			Value: protocol.Encode(storage.FormatRecord{Format: format, WrittenBy: f.node}),
		}},
	}, kv.Urgent, stateCall)
	var conflict *kv.VersionConflictError
	if errors.As(err, &conflict) {
		return errors.New("another write came first") // the next look tells
	}
	return err
}
