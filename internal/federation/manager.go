package federation

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"

	"dunestand/internal/units"
)

// Manager executes the transfers of a cell on behalf of one leader: it writes records, sends
// messages, resends unanswered ones, and calls the scheduler. It is safe for concurrent use.
// It starts no goroutines; its methods block until the store has answered.
type Manager struct {
	Options
	Stats Stats

	// mu guards the fields below. It is released while a record is being written.
	mu            sync.Mutex
	outgoing      map[string]*outgoingTransfer // by job ID
	incoming      map[TransferID]*incomingTransfer
	unreadable    map[string]error // decoding errors by record key
	reservations  *Reservations
	transferCount uint64 // number of transfers begun by this leader
	superseded    bool   // set by a version conflict: another leader may be active, so no more decisions are made
}

// Stats holds the counters of a Manager.
type Stats struct {
	Sent     atomic.Int64 // messages sent
	Received atomic.Int64 // messages received, including rejected ones
	Rejected atomic.Int64 // received messages that were malformed or forbidden to their sender
	Writes   atomic.Int64 // record writes and deletions, including failed ones
}

// versionedRecord is a record with its version in the store. Messages about a transfer are
// dropped while its record is being written; the other cell sends them again.
type versionedRecord[R transferRecord] struct {
	record  R
	version uint64 // 0: not stored
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
	lastRenewal units.Micros // steady time of the last MessageRenew, 0: none sent
}

const (
	// reservationHold is the time after which a reservation without a commit expires.
	reservationHold = 10 * units.Second
	// renewalsPerLease is the number of renewal requests per lease duration. It is above 1 so
	// that the lease survives a lost message.
	renewalsPerLease = 3
	// reclaimAfterLeases is the time without renewal requests after which the origin reclaims
	// a job, in lease durations.
	reclaimAfterLeases = 3
	// incarnationBits is the number of low bits of an incarnation that hold the leader's
	// transfer count. The fencing token occupies the bits above.
	incarnationBits = 24
)

// NewManager returns the Manager of a leader. Restore must be called before any other method.
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

// Restore loads the records written by previous leaders. A record that cannot be decoded is
// logged and blocks its transfer: it is not overwritten, and messages about the transfer are
// not answered. Restore returns an error only if the store cannot be listed.
func (m *Manager) Restore(ctx context.Context) error {
	outgoing, err := m.Store.List(ctx, OutgoingPrefix)
	if err != nil {
		return fmt.Errorf("list outgoing transfers: %w", err)
	}
	incoming, err := m.Store.List(ctx, IncomingPrefix)
	if err != nil {
		return fmt.Errorf("list incoming transfers: %w", err)
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
	m.Log.Error("cannot decode transfer record; the record is kept and its job is blocked", "key", key, "error", err)
}

// ReadError returns the error from decoding the transfer record of a job of this cell. It is
// nil if the record was decoded or does not exist. A job with such an error has no owner.
func (m *Manager) ReadError(job string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.unreadable[outgoingKey(job)]
}

// SetCapacity sets the amount of work that this cell accepts from other cells in addition to its
// own jobs. Existing reservations are kept, even if they exceed the new capacity.
func (m *Manager) SetCapacity(work Work) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reservations.SetCapacity(work)
}

// FreeCapacity returns the unreserved part of the capacity that SetCapacity has set.
func (m *Manager) FreeCapacity() Work {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reservations.Free()
}
