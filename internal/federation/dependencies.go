package federation

import (
	"context"
	"errors"
	"log/slog"

	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// ErrVersionConflict reports that a record was not written, as another leader has written it since,
// or may have.
var ErrVersionConflict = errors.New("another leader has written the record")

// Store keeps the records of a cell's transfers in its key-value store.
type Store interface {
	// List returns all records whose keys begin with a prefix.
	List(ctx context.Context, prefix string) ([]protocol.Item, error)
	// CompareAndSwap writes a value, or deletes the key if it is nil, by a compare-and-swap on the
	// record's version, 0: the key does not exist. It returns the new version. It returns
	// an error other than ErrVersionConflict only if the write is certain not to be carried out.
	CompareAndSwap(ctx context.Context, key string, value []byte, version uint64) (uint64, error)
}

// Transport sends messages to other cells. They may be lost, duplicated or delayed.
type Transport interface {
	// Send is called with the Manager's lock held: it returns at once and does not call the
	// Manager.
	Send(cell string, message Message)
}

// Scheduler runs jobs in this cell. Its methods are called again and again for the same
// transfer, with the Manager's lock held: they return at once and do not call the Manager.
type Scheduler interface {
	// Run has those tasks of another cell's job run that are not done. The scheduler asks
	// Manager.MayRun before each start, and before it extends the lease of a worker that
	// has one of them.
	Run(id TransferID, job []byte, done TaskSet)
	// Stop has the tasks of another cell's job stopped.
	Stop(id TransferID)
	// Progress returns how far the tasks of another cell's job are.
	Progress(id TransferID) Progress
	// Returned gives a job of this cell back to it, which has been restarted so many times.
	// It reports whether that is durable here, as Finished and Withdrawn do; until then the
	// transfer's record stays.
	Returned(job string, done TaskSet, restarts int) bool
	// Finished ends a job of this cell all of whose tasks are done.
	Finished(job string, done TaskSet) bool
	// Withdrawn ends a job of this cell that is cancelled.
	Withdrawn(job string) bool
}

// Progress is how far the tasks of another cell's job are.
type Progress struct {
	// Done are the tasks that are done, durably.
	Done TaskSet
	// Complete is set if no task is left to be done.
	Complete bool
	// Running is set if a task may be on a machine.
	Running bool
}

// Options are what a Manager is made of. All fields but Log and OnSuperseded are required.
type Options struct {
	Config    *Config
	Store     Store
	Transport Transport
	Scheduler Scheduler
	Clock     units.Clock
	Log       *slog.Logger // nil: nothing is logged
	// FencingToken is the leader's, greater than those of all leaders before.
	// LeaseAcquiredAt is the steady time at which it acquired the leader lease.
	FencingToken    uint64
	LeaseAcquiredAt units.Micros
	// OnSuperseded is called once when another leader has written a record, with the
	// Manager's lock held: it returns at once and does not call the Manager.
	OnSuperseded func()
}
