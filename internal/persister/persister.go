// Package persister writes the leader's state to the key-value store in write batches, reads
// it back after a failover, and ingests jobs that were accepted without a leader.
//
// No other package writes job records or bucket heads. Every batch is conditional on the heads
// of the buckets that it writes to. A new leader claims these heads before it reads any record, so
// a write of a former leader that arrives later fails.
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

// PlanConflictHandler is notified when a batch conflicts because the admission plan by which its
// new jobs were admitted has been replaced.
type PlanConflictHandler interface {
	// Reconsider decides again whether to admit the jobs that are not accepted yet. The caller
	// must hold the state lock.
	Reconsider()
	// RereadPlan reads the current plan, and retries until it succeeds or ctx ends. It must be
	// called without the state lock.
	RereadPlan(ctx context.Context)
}

// Deps are the dependencies of a Persister. All are required; Admission must be set before Run is
// called, the others before New.
type Deps struct {
	State      *cluster.State
	Leadership election.Leadership
	Ingester   *Ingester
	Terminals  *TerminalJobs
	Admission  PlanConflictHandler
	// OnCatalog is called once, by Restore, with the versions of the stored catalog records by
	// key. The state lock is held during the call.
	OnCatalog   func(versions map[string]uint64)
	Settings    *config.Settings
	KV          *kv.Client
	Format      recordformat.Source
	Clock       units.Clock
	Log         *slog.Logger
	Tracer      cluster.AttemptTracer
	Token       uint64       // the leader's fencing token
	ElectedAt   units.Micros // steady time
	WriteSignal loop.Signal  // wakes Run when urgent changes are due
	CycleSignal loop.Signal  // raised when records have been restored or written
}

// Persister writes changed records to the key-value store and reads them back after a
// failover. Each leadership has its own Persister. Methods that require the state lock say so;
// the others may be called concurrently.
type Persister struct {
	Deps

	restored chan struct{} // closed once the records are restored

	// The fields below are guarded by the state lock.
	writes         uint64 // number of write IDs issued
	writesInFlight int
	bucketVersions []uint64 // versions of the bucket heads when this leader claimed them, by bucket
}

// New returns the persister of a new leader, which has claimed no bucket and restored no record.
func New(deps Deps) *Persister {
	return &Persister{
		Deps:           deps,
		restored:       make(chan struct{}),
		bucketVersions: make([]uint64, storage.Buckets),
	}
}

// NextWriteID returns a new ID for a write of this leader. It begins with the fencing token, so it
// is unique across leaders. Once Run has started, the caller must hold the state lock.
func (p *Persister) NextWriteID() string {
	p.writes++
	return fmt.Sprintf("%d-%d", p.Token, p.writes)
}

// BucketVersion returns the version that a bucket's head had when this leader claimed it. It must
// be called without the state lock.
func (p *Persister) BucketVersion(bucket int) uint64 {
	p.State.Lock()
	defer p.State.Unlock()
	return p.bucketVersions[bucket]
}

// BucketVersions returns the versions that the bucket heads had when this leader claimed them, by
// bucket. The caller must hold the state lock while it uses the slice, which the persister owns.
func (p *Persister) BucketVersions() []uint64 { return p.bucketVersions }

// Restored returns a channel that is closed once the records are restored.
func (p *Persister) Restored() <-chan struct{} { return p.restored }
