// Package recordformat negotiates the fleet format: the format in which the controllers write
// their records. It ensures that a rolling upgrade never leaves a leader with records that it
// cannot read.
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

// Source provides the fleet format. A controller uses a *Negotiator. The methods may be called
// concurrently.
type Source interface {
	// Current returns the format in which records may be written, as far as it is known.
	Current() storage.Format
	// TooNew reports whether records may have a format that this version does not support. The
	// controller must not lead then: it would lose the state in records that it cannot read.
	TooNew() bool
	// Refresh reads the fleet format from the key-value store. It fails if the store does not
	// respond, or if a format record cannot be decoded.
	Refresh(ctx context.Context) error
}

// Negotiator determines the newest record format that every controller can read. During a rolling
// upgrade some controllers still run the previous version, and any of them may become the leader
// at any moment. Each controller announces the newest format that it reads in a durable record of
// its own. Once all configured controllers have announced a format or a newer one, the leader raises
// the fleet format to it. The fleet format is never lowered, so that later leaders come to the same
// result.
//
// Run must be called once; the methods of Source may be called concurrently with it.
type Negotiator struct {
	name        string
	controllers []string // all configured controllers, including this one
	client      *kv.Client
	log         *slog.Logger
	supported   storage.Format // the newest format that this controller announces

	current   atomic.Int64
	tooNew    atomic.Bool
	announced bool // supported is durable; used only by Run
}

// negotiationInterval is the time between two reads of the format records.
const negotiationInterval = units.Second

// NewNegotiator returns the negotiator of the controller called name, starting from the oldest
// format. Run will announce that the controller reads supported and all earlier formats. others
// are the names of the other configured controllers.
func NewNegotiator(name string, others []string, supported storage.Format, client *kv.Client, log *slog.Logger) *Negotiator {
	n := &Negotiator{
		name:        name,
		controllers: slices.Concat([]string{name}, others),
		client:      client,
		log:         log,
		supported:   supported,
	}
	n.current.Store(int64(storage.FormatV1))
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

// Run announces the format that this controller reads, and raises the fleet format while the
// controller leads, until the fleet format has reached the announced one or ctx ends. isLeader
// reports whether this controller leads.
func (n *Negotiator) Run(ctx context.Context, isLeader func() bool) {
	for wait := units.Micros(0); loop.Sleep(ctx, wait); wait = negotiationInterval {
		err := n.step(ctx, isLeader())
		if err != nil {
			n.log.Debug("failed to negotiate the fleet record format", "error", err)
		}
		if err == nil && n.announced && n.Current() >= n.supported {
			return
		}
	}
}

// step reads all format records, announces this controller's format if that is not yet durable,
// and raises the fleet format if this controller leads and all controllers support a newer one.
func (n *Negotiator) step(ctx context.Context, leading bool) error {
	known, err := n.readRecords(ctx)
	if err != nil {
		return err
	}
	if err := n.announce(ctx, known); err != nil {
		return err
	}
	format := SupportedByAll(n.controllers, known)
	if !leading || format <= n.Current() {
		return nil
	}
	if err := n.write(ctx, storage.KeyFleetFormat, format, known[storage.KeyFleetFormat].Version); err != nil {
		return err
	}
	n.adopt(format)
	return nil
}

// announce writes the format that this controller reads to its own record, unless known shows
// that it is stored already, and then adds it to known.
func (n *Negotiator) announce(ctx context.Context, known map[string]StoredFormat) error {
	own := storage.KeyFormat(n.name)
	if known[own].Format < n.supported {
		if err := n.write(ctx, own, n.supported, known[own].Version); err != nil {
			return err
		}
		n.log.Info("record format announced", "node", n.name, "format", n.supported)
		known[own] = StoredFormat{Format: n.supported}
	}
	n.announced = true
	return nil
}

// adopt sets the current format to the fleet format that was read or written, if that is newer.
func (n *Negotiator) adopt(format storage.Format) {
	if format > storage.NewestFormat && !n.tooNew.Swap(true) {
		n.log.Error("fleet record format is newer than this version supports; this controller will not lead", "format", format, "known", storage.NewestFormat)
	}
	if format > n.Current() {
		n.current.Store(int64(format))
		n.client.ApplyNextLimits()
		n.log.Info("fleet record format changed", "format", format)
	}
}
