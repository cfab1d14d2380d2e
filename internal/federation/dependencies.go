package federation

import (
	"context"
	"errors"
	"log/slog"

	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// ErrVersionConflict reports a failed compare-and-swap: another leader has written the record,
// or the outcome of the write is unknown.
var ErrVersionConflict = errors.New("version conflict on a transfer record")

// Store stores the transfer records of a cell in its key-value store.
type Store interface {
	// List returns all records whose keys begin with a prefix.
	List(ctx context.Context, prefix string) ([]protocol.Item, error)
	// CompareAndSwap writes a value, or deletes the key if the value is nil, provided that the
	// record has the given version; version 0 means that the key does not exist. It returns
	// the new version. Any error other than ErrVersionConflict means that the write has not
	// happened and never will.
	CompareAndSwap(ctx context.Context, key string, value []byte, version uint64) (uint64, error)
}

// Transport sends messages to other cells. Messages may be lost, duplicated or delayed.
type Transport interface {
	// Send sends a message to a cell. It is called with the Manager's lock held: it must not
	// block and must not call the Manager.
	Send(cell string, message Message)
}

// Scheduler runs jobs in this cell. Its methods must be idempotent: they are called repeatedly
// for the same transfer. They are called with the Manager's lock held: they must not block
// and must not call the Manager.
type Scheduler interface {
	// Run makes the scheduler run the tasks of another cell's job, except those in done. After
	// Run has returned, the scheduler must check Manager.MayRun before it starts a task of
	// the job and before it extends the lease of a worker that runs such a task.
	Run(id TransferID, job []byte, done TaskSet)
	// Stop stops all tasks of another cell's job.
	Stop(id TransferID)
	// Progress returns the progress of another cell's job.
	Progress(id TransferID) Progress
	// Returned gives a job of this cell back to its scheduler. restarts is the number of
	// restarts so far, including the one that follows. It reports whether the scheduler has
	// stored the return durably; until then the transfer record is kept.
	Returned(job string, done TaskSet, restarts int) bool
	// Finished ends a job of this cell whose tasks are all done. It reports whether that is
	// durable, like Returned.
	Finished(job string, done TaskSet) bool
	// Withdrawn ends a cancelled job of this cell. It reports whether that is durable, like
	// Returned.
	Withdrawn(job string) bool
}

// Progress is the progress of another cell's job in this cell.
type Progress struct {
	// Done holds the tasks whose completion is stored durably.
	Done TaskSet
	// Complete is set if all tasks are done.
	Complete bool
	// Running is set if a task may still be running on a machine.
	Running bool
}

// Options configures a Manager. All fields except Log and OnSuperseded are required.
type Options struct {
	Config    *Config
	Store     Store
	Transport Transport
	Scheduler Scheduler
	Clock     units.Clock
	Log       *slog.Logger // nil: nothing is logged
	// FencingToken is the fencing token of this leader, greater than those of all previous
	// leaders of the cell.
	FencingToken uint64
	// LeaseAcquiredAt is the steady time at which this leader acquired the leader lease.
	LeaseAcquiredAt units.Micros
	// OnSuperseded is called at most once, after a version conflict, which means that another
	// leader may be active. It is called with the Manager's lock held: it must not block and must
	// not call the Manager.
	OnSuperseded func()
}
