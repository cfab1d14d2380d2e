// Package recordformat negotiates among the controllers which format of records may be
// written, so that a rolling upgrade never leaves a leader with records that it cannot read.
package recordformat

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

// Source tells which format of records may be read and written. *Negotiator is the one
// of a controller. Its methods may be called concurrently.
type Source interface {
	// Current is the format that may be written.
	Current() storage.Format
	// TooNew reports whether records may have a format that this version does not know.
	TooNew() bool
	// Refresh reads from the key-value store what the fleet's format is now.
	Refresh(ctx context.Context) error
}

// Negotiator answers one question, for all that is written: which format of
// records does every controller read that may ever lead again? During an upgrade
// controllers of the version before are among them, and any of them may lead at
// any moment. Each controller says in a record of its own, durably, which format
// it reads; once all that are configured have said so, the leader raises the
// fleet's format. It is never lowered, so a leader that comes later decides the
// same.
type Negotiator struct {
	node      string
	nodes     []string // all that are configured
	kvClient  *kv.Client
	log       *slog.Logger
	supported storage.Format // the format that this node tells the others

	current    atomic.Int64
	tooNew     atomic.Bool // the fleet has a format that this version does not know
	registered bool
}

const formatInterval = units.Second

// NewNegotiator makes the fleet's format as a controller knows it. The controller tells
// the others that it reads the format given, and all before it.
func NewNegotiator(node string, others []string, reads storage.Format, store *kv.Client, log *slog.Logger) *Negotiator {
	f := &Negotiator{node: node, nodes: append([]string{node}, others...), supported: reads, kvClient: store, log: log}
	f.current.Store(int64(storage.FormatOld))
	return f
}

// Current is the format that may be written.
func (f *Negotiator) Current() storage.Format { return storage.Format(f.current.Load()) }

// TooNew tells whether records may have a format that this version does not
// know. It then must not lead: what it cannot read it would forget.
func (f *Negotiator) TooNew() bool { return f.tooNew.Load() }

// Run tells the others which format this node reads, and raises the fleet's
// while it leads.
func (f *Negotiator) Run(ctx context.Context, leads func() bool) {
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
func (f *Negotiator) Refresh(ctx context.Context) error {
	_, err := f.readRecords(ctx)
	return err
}

func (f *Negotiator) readRecords(ctx context.Context) (map[string]StoredFormat, error) {
	list, err := f.kvClient.List(ctx, storage.PrefixFormats, "", kv.CallTimeout)
	if err != nil {
		return nil, err
	}
	known := map[string]StoredFormat{}
	for _, item := range list.Items {
		var r storage.FormatRecord
		if err := protocol.Decode(item.Value, &r); err != nil {
			return nil, fmt.Errorf("record %s: %w", item.Key, err)
		}
		known[item.Key] = StoredFormat{r.Format, item.Version}
	}
	f.adopt(known[storage.KeyFleetFormat].Format)
	return known, nil
}

// StoredFormat is a format as a record has it.
type StoredFormat struct {
	Format  storage.Format
	Version uint64
}

func (f *Negotiator) adopt(level storage.Format) {
	if level > storage.NewestFormat && !f.tooNew.Swap(true) {
		f.log.Error("the fleet's records have a format of a later version; this node does not lead", "format", level, "known", storage.NewestFormat)
	}
	if level > f.Current() {
		f.current.Store(int64(level))
		f.kvClient.ApplyNextLimits()
		f.log.Info("fleet format", "format", level)
	}
}

func (f *Negotiator) step(ctx context.Context, leads bool) error {
	known, err := f.readRecords(ctx)
	if err != nil {
		return err
	}
	own := storage.KeyFormat(f.node)
	if known[own].Format < f.supported {
		if err := f.write(ctx, own, f.supported, known[own].Version); err != nil {
			return err
		}
		f.log.Info("format told", "node", f.node, "format", f.supported)
		known[own] = StoredFormat{Format: f.supported}
	}
	f.registered = true
	if level := SupportedByAll(f.nodes, known); leads && level > f.Current() {
		if err := f.write(ctx, storage.KeyFleetFormat, level, known[storage.KeyFleetFormat].Version); err != nil {
			return err
		}
		f.adopt(level)
	}
	return nil
}

// SupportedByAll gives the newest format that every controller reads.
func SupportedByAll(nodes []string, known map[string]StoredFormat) storage.Format {
	level := storage.NewestFormat
	for _, node := range nodes {
		level = min(level, max(known[storage.KeyFormat(node)].Format, storage.FormatOld))
	}
	return level
}

func (f *Negotiator) write(ctx context.Context, key string, format storage.Format, on uint64) error {
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
