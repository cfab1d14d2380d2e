package federation

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"

	"dunestand/internal/units"
)

// Manager carries out the transfers of a cell under one leader: it writes
// records, sends messages, sends again what is not answered, and calls the scheduler. It is
// safe for concurrent use. It starts no goroutine; what it does waits for the store.
type Manager struct {
	Options
	Stats Stats

	// mu guards what follows. It is released while a record is being written.
	mu            sync.Mutex
	outgoing      map[string]*outgoingTransfer // by job
	incoming      map[TransferID]*incomingTransfer
	unreadable    map[string]error // by key, of records that cannot be read
	reservations  *Reservations
	transferCount uint64 // of transfers that began under this leader
	superseded    bool   // another leader has written a record: nothing more is decided
}

// Stats counts what a Manager did.
type Stats struct {
	Sent     atomic.Int64 // messages
	Received atomic.Int64 // messages, rejected ones included
	Rejected atomic.Int64 // messages that are malformed, or that their sender may not send
	Writes   atomic.Int64 // of records, failed ones and deletions included
}

// versionedRecord is a record with the version that the store has of it. While it is being
// written, messages about its transfer are dropped, as they are sent again.
type versionedRecord[R transferRecord] struct {
	record  R
	version uint64 // 0: it is not stored
	writing bool
}

func (v *versionedRecord[R]) stored() bool { return v.version != 0 }

// outgoingTransfer is a transfer of a job of this cell.
type outgoingTransfer struct {
	versionedRecord[OriginRecord]
	grantor LeaseGrantor
}

// incomingTransfer is a transfer of another cell's job.
type incomingTransfer struct {
	versionedRecord[TargetRecord]
	holder      LeaseHolder
	lastRenewal units.Micros // when the last MessageRenew was sent, 0: never
}

const (
	// reservationHold is for how long a reservation lasts that no commitment follows.
	reservationHold = 10 * units.Second
	// renewalsPerLease is how often within a lease the target asks for the next grant, so
	// that one lost message does not let the lease expire.
	renewalsPerLease = 3
	// reclaimAfterLeases is for how many lengths of the lease a target may be silent until
	// the job is reclaimed.
	reclaimAfterLeases = 3
	// incarnationBits is how many bits of an incarnation count the transfers of one leader;
	// the fencing token is above them.
	incarnationBits = 24
)

// NewManager returns the Manager of a leader. Restore is to be called before anything else.
func NewManager(options Options) *Manager {
	if options.Log == nil {
		options.Log = slog.New(slog.DiscardHandler)
	}
	return &Manager{
		Options:      options,
		outgoing:     map[string]*outgoingTransfer{},
		incoming:     map[TransferID]*incomingTransfer{},
		unreadable:   map[string]error{},
		reservations: NewReservations(reservationHold),
	}
}

// Restore reads the records that former leaders wrote. One that cannot be read is logged and
// blocks its transfer: it is not replaced, and messages about it are not answered.
func (m *Manager) Restore(ctx context.Context) error {
	outgoing, err := m.Store.List(ctx, OutgoingPrefix)
	if err != nil {
		return fmt.Errorf("transfers of this cell's jobs: %w", err)
	}
	incoming, err := m.Store.List(ctx, IncomingPrefix)
	if err != nil {
		return fmt.Errorf("transfers of other cells' jobs: %w", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, item := range outgoing {
		record, err := DecodeOriginRecord(item)
		if err != nil {
			m.markUnreadable(item.Key, err)
			continue
		}
		m.outgoing[record.Transfer.Job] = &outgoingTransfer{
			versionedRecord: versionedRecord[OriginRecord]{record: record, version: item.Version},
			grantor:         NewLeaseGrantor(m.LeaseAcquiredAt),
		}
	}
	for _, item := range incoming {
		record, err := DecodeTargetRecord(item)
		if err != nil {
			m.markUnreadable(item.Key, err)
			continue
		}
		m.incoming[record.Transfer] = &incomingTransfer{
			versionedRecord: versionedRecord[TargetRecord]{record: record, version: item.Version},
			holder:          NewLeaseHolder(m.FencingToken),
		}
		m.reservations.Restore(record, m.Clock.Steady())
	}
	return nil
}

func (m *Manager) markUnreadable(key string, err error) {
	m.unreadable[key] = err
	m.Log.Error("the record of a transfer cannot be read; it is left alone", "key", key, "error", err)
}

// ReadError returns why the record of a job's transfer could not be read, nil if there is
// none or it could. Such a job has no owner.
func (m *Manager) ReadError(job string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.unreadable[outgoingKey(job)]
}

// SetCapacity sets how much work of other cells' jobs this cell accepts beside its own. What
// is reserved already stays reserved.
func (m *Manager) SetCapacity(work Work) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reservations.SetCapacity(work)
}

// FreeCapacity returns how much of that is not reserved.
func (m *Manager) FreeCapacity() Work {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reservations.Free()
}
