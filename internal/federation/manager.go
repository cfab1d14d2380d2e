package federation

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"

	"dunestand/internal/units"
)

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

// versionedRecord is a record with the version that the store has of it, 0: none. While it
// is being written, messages about its transfer are dropped: they are repeated.
type versionedRecord[R transferRecord] struct {
	record  R
	version uint64
	writing bool
}

// outgoingTransfer is a transfer of a job of this cell.
type outgoingTransfer struct {
	versionedRecord[OriginRecord]
	grantor LeaseGrantor
}

// incomingTransfer is a transfer of another cell's job.
type incomingTransfer struct {
	versionedRecord[TargetRecord]
	holder      LeaseHolder
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
		m.outgoing[r.Transfer.Job] = &outgoingTransfer{
			versionedRecord: versionedRecord[OriginRecord]{record: r, version: item.Version},
			grantor:         NewLeaseGrantor(m.LeaseAcquiredAt),
		}
	}
	for _, item := range taken {
		r, err := DecodeTargetRecord(item)
		if err != nil {
			m.markUnreadable(item.Key, err)
			continue
		}
		m.incoming[r.Transfer] = &incomingTransfer{
			versionedRecord: versionedRecord[TargetRecord]{record: r, version: item.Version},
			holder:          NewLeaseHolder(m.FencingToken),
		}
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
	return m.unreadable[outgoingKey(job)]
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
