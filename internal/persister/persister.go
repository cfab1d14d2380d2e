// Package persister writes the leader's state to the key-value store in write batches, reads
// it back after a failover, and ingests jobs that were accepted without a leader.
//
// It alone writes the records of jobs and the heads of their buckets. Every batch is
// conditional on the heads of the buckets that it touches, which a new leader claims before it
// reads a record; so nothing that a former leader sent is carried out any more.
package persister

import (
	"context"
	"fmt"
	"log/slog"

	"dunestand/internal/cluster"
	"dunestand/internal/config"
	"dunestand/internal/election"
	"dunestand/internal/kv"
	"dunestand/internal/loop"
	"dunestand/internal/recordformat"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// PlanConflictHandler is notified when a batch met another version of the admission plan than
// the one that its new jobs were accepted by.
type PlanConflictHandler interface {
	// Reconsider decides again about the jobs that are not accepted yet. It needs the lock
	// of the state held.
	Reconsider()
	// RereadPlan finds out which plan is in force. It must not be called with the lock of
	// the state held.
	RereadPlan(ctx context.Context)
}

// Deps is what a Persister works with. All fields but Admission are needed before New;
// Admission before Run.
type Deps struct {
	State      *cluster.State
	Leadership election.Leadership
	Ingester   *Ingester
	Terminals  *TerminalJobs
	Admission  PlanConflictHandler
	// OnCatalog is called once by Restore, with the lock of the state held, with the keys and
	// versions of the records that hold the stored catalog.
	OnCatalog   func(versions map[string]uint64)
	Settings    *config.Settings
	KV          *kv.Client
	Format      recordformat.Source
	Clock       units.Clock
	Log         *slog.Logger
	Tracer      cluster.AttemptTracer
	Token       uint64       // the leader's fencing token
	ElectedAt   units.Micros // steady time
	WriteSignal loop.Signal  // wakes Run: something is to be written for which somebody waits
	CycleSignal loop.Signal  // raised once records are restored or written
}

// Persister writes changed records to the key-value store and reads them back after a
// failover. It belongs to one leader. Its methods may be called concurrently, unless they say
// that they need the lock of the state held.
type Persister struct {
	Deps

	restored chan struct{} // closed once the records are restored

	// What follows is guarded by the lock of the state.
	writes         uint64 // numbers the batches
	writesInFlight int
	bucketVersions []uint64 // of the buckets' heads, as this leader claimed them
}

// New returns the persister of a leader that has restored nothing yet.
func New(deps Deps) *Persister {
	return &Persister{
		Deps:           deps,
		restored:       make(chan struct{}),
		bucketVersions: make([]uint64, storage.Buckets),
	}
}

// NextWriteID returns a new id for a write of this leader, which begins with its fencing
// token. It needs the lock of the state held once Run has begun.
func (p *Persister) NextWriteID() string {
	p.writes++
	return fmt.Sprintf("%d-%d", p.Token, p.writes)
}

// BucketVersion returns the version of a bucket's head, as this leader claimed it.
func (p *Persister) BucketVersion(bucket int) uint64 {
	p.State.Lock()
	defer p.State.Unlock()
	return p.bucketVersions[bucket]
}

// BucketVersions returns the versions of all buckets' heads, as this leader claimed them. It
// needs the lock of the state held; the slice is the persister's own.
func (p *Persister) BucketVersions() []uint64 { return p.bucketVersions }

// Restored returns a channel that is closed once the records are restored.
func (p *Persister) Restored() <-chan struct{} { return p.restored }
