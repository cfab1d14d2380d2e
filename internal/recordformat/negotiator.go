// Package recordformat negotiates among the controllers which format of records may be
// written, so that a rolling upgrade never leaves a leader with records that it cannot read.
package recordformat

import (
	"context"
	"log/slog"
	"slices"
	"sync/atomic"

	"dunestand/internal/kv"
	"dunestand/internal/loop"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// Source says which format of records may be read and written. *Negotiator is the one of a
// controller. Its methods may be called concurrently.
type Source interface {
	// Current returns the format that may be written.
	Current() storage.Format
	// TooNew reports whether records may have a format that this version does not know. Then
	// this controller must not lead: what it cannot read it would forget.
	TooNew() bool
	// Refresh reads from the key-value store what the fleet's format is now. It fails if the
	// store does not answer, or a record of a format is not readable.
	Refresh(ctx context.Context) error
}

// Negotiator answers one question, for all that is written: which format of records does every
// controller read that may ever lead again? During an upgrade controllers of the version before
// are among them, and any of them may lead at any moment. Each controller says in a record of its
// own, durably, which format it reads; once all that are configured have said so, the leader
// raises the fleet's format. It is never lowered, so that a later leader decides the same.
//
// Run must be called once; the methods of Source may be called concurrently with it.
type Negotiator struct {
	node      string
	nodes     []string // all controllers that are configured, this one included
	client    *kv.Client
	log       *slog.Logger
	supported storage.Format // the newest format that this controller announces

	current   atomic.Int64
	tooNew    atomic.Bool
	announced bool // supported is durable; used by Run alone
}

// negotiationInterval is the time between two reads of the formats.
const negotiationInterval = units.Second

// NewNegotiator returns the negotiator of a controller, which knows of the oldest format only.
// It will announce that the controller reads the supported format and all before it.
func NewNegotiator(node string, others []string, supported storage.Format, client *kv.Client, log *slog.Logger) *Negotiator {
	n := &Negotiator{
		node:      node,
		nodes:     slices.Concat([]string{node}, others),
		client:    client,
		log:       log,
		supported: supported,
	}
	n.current.Store(int64(storage.FormatOld))
	return n
}

// Current implements Source.
func (n *Negotiator) Current() storage.Format { return storage.Format(n.current.Load()) }

// TooNew implements Source.
func (n *Negotiator) TooNew() bool { return n.tooNew.Load() }

// Refresh implements Source.
func (n *Negotiator) Refresh(ctx context.Context) error {
	_, err := n.readRecords(ctx)
	return err
}

// Run announces the format that this controller reads, and raises the fleet's while it leads,
// until the fleet has reached the announced format or ctx ends. isLeader reports whether this
// controller leads.
func (n *Negotiator) Run(ctx context.Context, isLeader func() bool) {
	for wait := units.Micros(0); loop.Sleep(ctx, wait); wait = negotiationInterval {
		err := n.step(ctx, isLeader())
		if err != nil {
			n.log.Debug("fleet record format not known for certain", "error", err)
		}
		if err == nil && n.announced && n.Current() >= n.supported {
			return
		}
	}
}

// step reads all formats and writes what is due: this controller's announcement, and the
// fleet's format if it leads.
func (n *Negotiator) step(ctx context.Context, leading bool) error {
	known, err := n.readRecords(ctx)
	if err != nil {
		return err
	}
	if err := n.announce(ctx, known); err != nil {
		return err
	}
	format := SupportedByAll(n.nodes, known)
	if !leading || format <= n.Current() {
		return nil
	}
	if err := n.write(ctx, storage.KeyFleetFormat, format, known[storage.KeyFleetFormat].Version); err != nil {
		return err
	}
	n.adopt(format)
	return nil
}

// announce makes durable which format this controller reads, if it is not yet, and notes it
// among the known ones.
func (n *Negotiator) announce(ctx context.Context, known map[string]StoredFormat) error {
	own := storage.KeyFormat(n.node)
	if known[own].Format < n.supported {
		if err := n.write(ctx, own, n.supported, known[own].Version); err != nil {
			return err
		}
		n.log.Info("record format announced", "node", n.node, "format", n.supported)
		known[own] = StoredFormat{Format: n.supported}
	}
	n.announced = true
	return nil
}

// adopt makes a format of the fleet the current one, if it is newer.
func (n *Negotiator) adopt(format storage.Format) {
	if format > storage.NewestFormat && !n.tooNew.Swap(true) {
		n.log.Error("fleet record format is of a later version; this controller does not lead", "format", format, "known", storage.NewestFormat)
	}
	if format > n.Current() {
		n.current.Store(int64(format))
		n.client.ApplyNextLimits()
		n.log.Info("fleet record format", "format", format)
	}
}
