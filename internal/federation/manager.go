package federation

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"

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

// Stats count what a Manager did.
type Stats struct{ Sent, Received, Rejected, Writes atomic.Int64 }

// Manager carries out the transfers of a cell during one term of its leader: it stores
// records, sends messages, repeats what is not answered and tells the scheduler. It is
// safe for concurrent use.
type Manager struct {
	Options
	Stats Stats

	mu            sync.Mutex
	outgoing      map[string]*outgoingTransfer
	incoming      map[TransferID]*incomingTransfer
	unreadable    map[string]error // keys of records that cannot be read
	reservations  *Reservations
	transferCount uint64 // begun in this term
	superseded    bool
}

// outgoingTransfer is a transfer of a job of this cell. While its record is being stored it is
// busy, and messages about it are dropped: they are repeated.
type outgoingTransfer struct {
	record  OriginRecord
	version uint64
	grantor LeaseGrantor
	writing bool
}

// incomingTransfer is a transfer of another cell's job.
type incomingTransfer struct {
	record      TargetRecord
	version     uint64
	holder      LeaseHolder
	writing     bool
	lastRenewal units.Micros // when the last Renew was sent
}

const (
	// reservationHold is for how long a reservation lasts that no commitment follows.
	reservationHold = 10 * units.Second
	// renewalsPerLease is how many times within a lease the target asks for the next grant.
	renewalsPerLease = 3
	// reclaimAfterLeases is for how many leases a target may be silent until the job is taken
	// back.
	reclaimAfterLeases = 3
	// incarnationBits leaves room for so many transfers in one term.
	incarnationBits = 24
)

// NewManager begins a term. Restore has to be called before anything else.
func NewManager(o Options) *Manager {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	return &Manager{
		Options:      o,
		outgoing:     map[string]*outgoingTransfer{},
		incoming:     map[TransferID]*incomingTransfer{},
		unreadable:   map[string]error{},
		reservations: NewReservations(reservationHold),
	}
}

// Restore reads the records. One that cannot be read is told, and its transfer stands
// still; it is neither replaced nor answered for.
func (m *Manager) Restore(ctx context.Context) error {
	sent, err := m.Store.List(ctx, PrefixOut)
	if err != nil {
		return fmt.Errorf("transfers of this cell's jobs: %w", err)
	}
	taken, err := m.Store.List(ctx, IncomingPrefix)
	if err != nil {
		return fmt.Errorf("transfers of other cells' jobs: %w", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, item := range sent {
		r, err := ParseOrigin(item)
		if err != nil {
			m.markUnreadable(item.Key, err)
			continue
		}
		m.outgoing[r.Transfer.Job] = &outgoingTransfer{record: *r, version: item.Version, grantor: NewLeaseGrantor(m.LeaseAcquiredAt)}
	}
	for _, item := range taken {
		r, err := DecodeTargetRecord(item)
		if err != nil {
			m.markUnreadable(item.Key, err)
			continue
		}
		m.incoming[r.Transfer] = &incomingTransfer{record: *r, version: item.Version, holder: NewLeaseHolder(m.FencingToken)}
		m.reservations.Restore(r, m.Clock.Steady())
	}
	return nil
}

func (m *Manager) markUnreadable(key string, err error) {
	m.unreadable[key] = err
	m.Log.Error("the record of a transfer cannot be read; it is left alone", "key", key, "error", err)
}

// ReadError gives the error of the record that keeps a job's transfer from being restored.
func (m *Manager) ReadError(job string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.unreadable[PrefixOut+job]
}

// SetCapacity tells how much work of other cells this one can take over beside its own.
func (m *Manager) SetCapacity(work Work) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reservations.SetCapacity(work)
}

// FreeCapacity is how much of that is not promised.
func (m *Manager) FreeCapacity() Work {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reservations.Free()
}

// ErrNotHandedOver says that a job is not handed over.
var ErrNotHandedOver = errors.New("the job is not handed over")

// HandOver begins to hand a job over that has no task on a machine. reruns is how often it
// was begun anew. The scheduler starts nothing of it until Returned is called.
func (m *Manager) HandOver(ctx context.Context, job, class string, description []byte, work Work, reruns int, target string) error {
	rules := m.Config.Class(class)
	switch {
	case rules == nil:
		return fmt.Errorf("%w: class %q stays where it is", ErrNotHandedOver, class)
	case reruns > rules.MaxRestarts:
		return fmt.Errorf("%w: its class allows no further run", ErrNotHandedOver)
	case target == m.Config.Self || m.Config.Cell(target) == nil:
		return fmt.Errorf("%w: %q is no other cell", ErrNotHandedOver, target)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.outgoing[job] != nil || m.unreadable[PrefixOut+job] != nil {
		return fmt.Errorf("%w: it has a transfer", ErrNotHandedOver)
	}
	m.transferCount++
	id := TransferID{Origin: m.Config.Self, Job: job, Incarnation: m.FencingToken<<incarnationBits | m.transferCount}
	if err := id.check(); err != nil {
		return fmt.Errorf("%w: %w", ErrNotHandedOver, err)
	}
	o := &outgoingTransfer{grantor: NewLeaseGrantor(m.LeaseAcquiredAt)}
	m.outgoing[job] = o
	if m.applyOrigin(ctx, o, BeginTransfer(id, target, description, work, rules.MaxRestarts, reruns)); o.version == 0 {
		delete(m.outgoing, job)
		return fmt.Errorf("%w: its transfer was not stored", ErrNotHandedOver)
	}
	return nil
}

// Cancel begins to cancel a job that was handed over. It is called until the scheduler was
// told, by Withdrawn, or has the job back by Returned; then its user may be told.
func (m *Manager) Cancel(ctx context.Context, job string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if o := m.outgoing[job]; o != nil && !o.writing {
		m.applyOrigin(ctx, o, o.record.Cancel())
	}
}

// JobEnded is called before the end of a job is stored that had returned. It tells whether
// the end may be stored.
func (m *Manager) JobEnded(ctx context.Context, job string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	o := m.outgoing[job]
	switch {
	case o == nil:
		return true
	case o.writing:
		return false
	}
	m.applyOrigin(ctx, o, o.record.JobEnded())
	return o.record.Phase == OriginWithdrawn && !m.superseded
}

// Owner tells who may start tasks of a job of this cell.
func (m *Manager) Owner(job string) Owner {
	m.mu.Lock()
	defer m.mu.Unlock()
	if o := m.outgoing[job]; o != nil {
		return o.record.Owner()
	}
	if m.unreadable[PrefixOut+job] != nil {
		return OwnerNone
	}
	return OwnerOrigin
}

// MayRun tells whether tasks of another cell's job may be started, and may go on.
func (m *Manager) MayRun(id TransferID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	i := m.incoming[id]
	return i != nil && !m.superseded && i.record.MayRun(&i.holder, m.Clock.Steady())
}
