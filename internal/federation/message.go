package federation

import (
	"errors"
	"fmt"
)

// MessageKind is the type of a message.
type MessageKind uint8

// The messages of a transfer. Every message may be sent repeatedly.
const (
	// MessageReserve requests a reservation. Origin to target.
	MessageReserve MessageKind = iota + 1
	// MessageReserved confirms a reservation, which expires unless a MessageCommit follows.
	// Target to origin.
	MessageReserved
	// MessageNoCapacity rejects a MessageReserve for lack of capacity. Unlike MessageRefused
	// it is not durable: a later MessageReserve may succeed. Target to origin.
	MessageNoCapacity
	// MessageCommit transfers the job. The origin starts no task of it unless the job returns.
	// Origin to target.
	MessageCommit
	// MessageAccepted confirms that the target has stored the job. Target to origin.
	MessageAccepted
	// MessageRefused reports that no task of the job runs at the target and that the target
	// will never accept this transfer. The target stores the refusal before sending the
	// message. Target to origin.
	MessageRefused
	// MessageRenew requests the next grant of the lease. Target to origin.
	MessageRenew
	// MessageGrant grants the lease, counted from when the target sent the MessageRenew that
	// this message answers. Origin to target.
	MessageGrant
	// MessageRevoke ends the transfer: the target stops the tasks and then answers with
	// MessageRefused. Origin to target.
	MessageRevoke
	// MessageResult reports that all tasks of the job are done. Target to origin.
	MessageResult
	// MessageSettle reports that the origin needs no further answer, so that the target may
	// delete its record. Origin to target.
	MessageSettle
	messageKindCount
)

var messageNames = [messageKindCount]string{
	MessageReserve:    "reserve",
	MessageReserved:   "reserved",
	MessageNoCapacity: "no capacity",
	MessageCommit:     "commit",
	MessageAccepted:   "accepted",
	MessageRefused:    "refused",
	MessageRenew:      "renew",
	MessageGrant:      "grant",
	MessageRevoke:     "revoke",
	MessageResult:     "result",
	MessageSettle:     "settle",
}

// String returns the name of the kind, as it appears in logs and errors.
func (k MessageKind) String() string { return enumName(messageNames[:], "kind", uint8(k)) }

// toTarget reports whether messages of this kind are sent from the origin to the target.
func (k MessageKind) toTarget() bool {
	switch k {
	case MessageReserve, MessageCommit, MessageGrant, MessageRevoke, MessageSettle:
		return true
	}
	return false
}

// Message is the encoded form of all messages between cells. Fields that a kind does not use
// are zero.
type Message struct {
	Kind     MessageKind `cbor:"kind"`
	Transfer TransferID  `cbor:"transfer"`
	// Job is the job description as submitted by the user. Set in MessageCommit.
	Job []byte `cbor:"job,omitempty"`
	// Work is the capacity that the job needs at the target. Set in MessageReserve and
	// MessageCommit.
	Work Work `cbor:"work,omitempty"`
	// Renewal identifies a MessageRenew. A MessageGrant repeats the Renewal that it answers.
	Renewal RenewalID `cbor:"renewal,omitzero"`
	// Run is the number of a run of the job at the target, from 1: the requested run in
	// MessageRenew, the granted run in MessageGrant. In MessageRefused and MessageResult it is
	// the last run that began, 0 if none did.
	Run int `cbor:"run,omitempty"`
	// Unbounded is set in a MessageGrant that never expires and needs no renewals.
	Unbounded bool `cbor:"unbounded,omitempty"`
	// Done holds the completed tasks. Set in MessageRenew, MessageRefused and MessageResult.
	Done TaskSet `cbor:"done,omitempty"`
}

// RenewalID identifies a MessageRenew by the fencing token of the target's leader that sent
// it and a sequence number assigned by this leader.
type RenewalID struct {
	FencingToken uint64 `cbor:"term"`
	Sequence     uint64 `cbor:"n"`
}

// maxRun is the greatest run number accepted from another cell. It is far above the number of
// runs of any job, even in a class with unlimited restarts.
const maxRun = 1 << 20

// ErrMalformedMessage reports a message with a field value that no cell of this software
// version sends.
var ErrMalformedMessage = errors.New("malformed transfer message")

// Check validates the fields of a message. The error wraps ErrMalformedMessage.
func (m *Message) Check() error {
	if m.Kind == 0 || m.Kind >= messageKindCount {
		return fmt.Errorf("%w: %v", ErrMalformedMessage, m.Kind)
	}
	if err := m.Transfer.check(); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformedMessage, err)
	}
	if m.Work < 0 || m.Run < 0 || m.Run > maxRun {
		return fmt.Errorf("%w: work %d is negative or run %d is not between 0 and %d", ErrMalformedMessage, m.Work, m.Run, maxRun)
	}
	if (m.Kind == MessageRenew || m.Kind == MessageGrant) && m.Run == 0 {
		return fmt.Errorf("%w: %v without a run number", ErrMalformedMessage, m.Kind)
	}
	return nil
}
