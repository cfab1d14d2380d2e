package federation

import (
	"context"
	"errors"
	"log/slog"

	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// ErrConflict says that a record was not stored, as another leader has written since.
var ErrConflict = errors.New("another leader has written the record")

// Store keeps the records of a cell's transfers.
type Store interface {
	// List gives all records under a prefix.
	List(ctx context.Context, prefix string) ([]protocol.Item, error)
	// Save puts a value, or deletes the key if it is nil, on condition of the version
	// that the record has, 0: none. It gives the new version. It returns an error other
	// than ErrConflict only if the save is certain not to be carried out.
	Save(ctx context.Context, key string, value []byte, version uint64) (uint64, error)
}

// Transport sends messages to other cells. They may be lost, doubled or late.
type Transport interface {
	Send(cell string, m Message)
}

// Scheduler runs jobs in this cell. Its methods are called again and again for the same
// transfer; they return at once and do not call the Manager.
type Scheduler interface {
	// Run has the tasks of another cell's job run that are not done. The scheduler asks
	// Manager.MayRun before each start, and before each answer to a machine that holds one.
	Run(id TransferID, job []byte, done TaskSet)
	// Stop has them stopped.
	Stop(id TransferID)
	// Progress tells how far the tasks are.
	Progress(id TransferID) Progress
	// Returned gives a job of this cell back to it, Finished and Withdrawn tell that one is
	// over. They tell whether that is durable here; until then the transfer's record stays.
	Returned(job string, done TaskSet, reruns int) bool
	Finished(job string, done TaskSet) bool
	Withdrawn(job string) bool
}

// Progress is how far the tasks of another cell's job are.
type Progress struct {
	// Done are the tasks that are done, durably.
	Done TaskSet
	// Complete: none is left to be done.
	Complete bool
	// Running: some may be on a machine.
	Running bool
}

// Options are what a Manager needs.
type Options struct {
	Config    *Config
	Store     Store
	Transport Transport
	Scheduler Scheduler
	Clock     units.Clock
	Log       *slog.Logger
	// FencingToken is the incarnation of the fleet lease, ClaimedAt the steady time of its claim.
	FencingToken    uint64
	LeaseAcquiredAt units.Micros
	// OnSuperseded is called once when another leader has written a record.
	OnSuperseded func()
}
