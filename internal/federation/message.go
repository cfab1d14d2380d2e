package federation

import (
	"errors"
	"fmt"
)

// MessageKind is what a message asks for or answers.
type MessageKind uint8

// The messages of a transfer. Each may be sent again at any time.
const (
	// MessageReserve asks the target for a reservation. Origin to target.
	MessageReserve MessageKind = iota + 1
	// MessageReserved answers that capacity is reserved, for a while.
	MessageReserved
	// MessageNoCapacity answers that there is no capacity now. Unlike MessageRefused
	// it is not durable and settles nothing.
	MessageNoCapacity
	// MessageCommit hands the job over. The origin starts no task of it from then on.
	// Origin to target.
	MessageCommit
	// MessageAccepted answers that the target has the job.
	MessageAccepted
	// MessageRefused answers that nothing of the job is at the target, and that the target
	// will never accept this transfer. That is stored there before it is sent.
	MessageRefused
	// MessageRenew asks the origin for the next grant of the lease.
	MessageRenew
	// MessageGrant grants the lease, counted from when the target sent the MessageRenew
	// that it answers. Origin to target.
	MessageGrant
	// MessageRevoke ends the transfer: the target stops the tasks and then answers
	// MessageRefused. Origin to target.
	MessageRevoke
	// MessageResult reports that all tasks of the job are done.
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

func (k MessageKind) String() string { return enumName(messageNames[:], "kind", uint8(k)) }

// toTarget reports whether a message goes from a job's origin to the target.
func (k MessageKind) toTarget() bool {
	switch k {
	case MessageReserve, MessageCommit, MessageGrant, MessageRevoke, MessageSettle:
		return true
	}
	return false
}

// Message is one message of a transfer, as it is encoded between cells. Fields that a kind
// does not use are zero.
type Message struct {
	Kind     MessageKind `cbor:"kind"`
	Transfer TransferID  `cbor:"transfer"`
	// Job is the job's description as its user sent it: in MessageCommit.
	Job []byte `cbor:"job,omitempty"`
	// Work is how much of the target's capacity the job takes: in MessageReserve and
	// MessageCommit.
	Work Work `cbor:"work,omitempty"`
	// Renewal identifies a MessageRenew, and in MessageGrant the one that it answers.
	Renewal RenewalID `cbor:"renewal,omitzero"`
	// Run is the run of the job at the target that is asked for or granted, from 1; in
	// MessageRefused and MessageResult the last one that began, 0: none.
	Run int `cbor:"run,omitempty"`
	// Unbounded is set in a MessageGrant that holds without renewals.
	Unbounded bool `cbor:"unbounded,omitempty"`
	// Done are the tasks that are done: in MessageRenew, MessageRefused and MessageResult.
	Done TaskSet `cbor:"done,omitempty"`
}

// RenewalID identifies a MessageRenew: by the fencing token of the target's leader that sent
// it, and the sequence number that this leader gave it.
type RenewalID struct {
	FencingToken uint64 `cbor:"term"`
	Sequence     uint64 `cbor:"n"`
}

// maxRun is the greatest number of a run that is accepted from another cell. A class with
// unlimited restarts gets nowhere near it.
const maxRun = 1 << 20

// ErrMalformedMessage reports that a message cannot be what a cell of this version sends.
var ErrMalformedMessage = errors.New("malformed message of a transfer")

// Check returns why a message cannot be acted on, nil if it can. Its error wraps
// ErrMalformedMessage.
func (m *Message) Check() error {
	if m.Kind == 0 || m.Kind >= messageKindCount {
		return fmt.Errorf("%w: %v", ErrMalformedMessage, m.Kind)
	}
	if err := m.Transfer.check(); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformedMessage, err)
	}
	if m.Work < 0 || m.Run < 0 || m.Run > maxRun {
		return fmt.Errorf("%w: amounts out of range", ErrMalformedMessage)
	}
	if (m.Kind == MessageRenew || m.Kind == MessageGrant) && m.Run == 0 {
		return fmt.Errorf("%w: %v without a run", ErrMalformedMessage, m.Kind)
	}
	return nil
}
