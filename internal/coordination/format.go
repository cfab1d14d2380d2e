package coordination

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync/atomic"

	"dunestand/internal/kv"
	"dunestand/internal/loop"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// FormatNegotiator answers one question, for all that is written: which format of
// records does every controller read that may ever lead again? During an upgrade
// controllers of the version before are among them, and any of them may lead at
// any moment. Each controller says in a record of its own, durably, which format
// it reads; once all that are configured have said so, the leader raises the
// fleet's format. It is never lowered, so a leader that comes later decides the
// same.
type FormatNegotiator struct {
	node      string
	nodes     []string // all that are configured
	kvClient  *kv.Client
	log       *slog.Logger
	supported int // the format that this node tells the others

	current    atomic.Int64
	tooNew     atomic.Bool // the fleet has a format that this version does not know
	registered bool
}

const formatInterval = units.Second

// NewFormatNegotiator makes the fleet's format as a controller knows it. The controller tells
// the others that it reads the format given, and all before it.
func NewFormatNegotiator(node string, others []string, reads int, store *kv.Client, log *slog.Logger) *FormatNegotiator {
	f := &FormatNegotiator{node: node, nodes: append([]string{node}, others...), supported: reads, kvClient: store, log: log}
	f.current.Store(storage.FormatOld)
	return f
}

// Current is the format that may be written.
func (f *FormatNegotiator) Current() int { return int(f.current.Load()) }

// TooNew tells whether records may have a format that this version does not
// know. It then must not lead: what it cannot read it would forget.
func (f *FormatNegotiator) TooNew() bool { return f.tooNew.Load() }

// Run tells the others which format this node reads, and raises the fleet's
// while it leads.
func (f *FormatNegotiator) Run(ctx context.Context, leads func() bool) {
	for wait := units.Micros(0); loop.Sleep(ctx, wait); wait = formatInterval {
		err := f.step(ctx, leads())
		if err != nil {
			f.log.Debug("the fleet's format is not known for certain", "error", err)
		}
		if err == nil && f.registered && f.Current() >= f.supported {
			return
		}
	}
}

// Refresh finds out what the fleet's format is now.
func (f *FormatNegotiator) Refresh(ctx context.Context) error {
	_, err := f.readRecords(ctx)
	return err
}

func (f *FormatNegotiator) readRecords(ctx context.Context) (map[string]storedFormat, error) {
	list, err := f.kvClient.List(ctx, storage.PrefixFormats, "", kv.CallTimeout)
	if err != nil {
		return nil, err
	}
	known := map[string]storedFormat{}
	for _, item := range list.Items {
		var r storage.FormatRecord
		if err := protocol.Decode(item.Value, &r); err != nil {
			return nil, fmt.Errorf("record %s: %w", item.Key, err)
		}
		known[item.Key] = storedFormat{r.Format, item.Version}
	}
	f.adopt(known[storage.KeyFleetFormat].format)
	return known, nil
}

// storedFormat is a format as a record has it.
type storedFormat struct {
	format  int
	version uint64
}

func (f *FormatNegotiator) adopt(level int) {
	if level > storage.NewestFormat && !f.tooNew.Swap(true) {
		f.log.Error("the fleet's records have a format of a later version; this node does not lead", "format", level, "known", storage.NewestFormat)
	}
	if level > f.Current() {
		f.current.Store(int64(level))
		f.kvClient.ApplyNextLimits()
		f.log.Info("fleet format", "format", level)
	}
}

func (f *FormatNegotiator) step(ctx context.Context, leads bool) error {
	known, err := f.readRecords(ctx)
	if err != nil {
		return err
	}
	own := storage.KeyFormat(f.node)
	if known[own].format < f.supported {
		if err := f.write(ctx, own, f.supported, known[own].version); err != nil {
			return err
		}
		f.log.Info("format told", "node", f.node, "format", f.supported)
		known[own] = storedFormat{format: f.supported}
	}
	f.registered = true
	if level := supportedByAll(f.nodes, known); leads && level > f.Current() {
		if err := f.write(ctx, storage.KeyFleetFormat, level, known[storage.KeyFleetFormat].version); err != nil {
			return err
		}
		f.adopt(level)
	}
	return nil
}

// supportedByAll gives the newest format that every controller reads.
func supportedByAll(nodes []string, known map[string]storedFormat) int {
	level := storage.NewestFormat
	for _, node := range nodes {
		level = min(level, max(known[storage.KeyFormat(node)].format, storage.FormatOld))
	}
	return level
}

func (f *FormatNegotiator) write(ctx context.Context, key string, format int, on uint64) error {
	_, err := f.kvClient.CompareAndSwap(ctx, protocol.Txn{
		If: []protocol.Condition{{Key: key, Version: on}},
		Then: []protocol.Change{{
			Set:   key,
			Value: protocol.Encode(storage.FormatRecord{Format: format, WrittenBy: f.node}),
		}},
	}, kv.Urgent, kv.CallTimeout)
	var conflict *kv.VersionConflictError
	if errors.As(err, &conflict) {
		return errors.New("another write came first") // the next look tells
	}
	return err
}
