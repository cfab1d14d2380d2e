package federation

import (
	"errors"
	"fmt"
)

// MessageKind is what a message says.
type MessageKind uint8

// The messages of a transfer. Each may be sent again at any time.
const (
	// MessageReserve asks the target for room.
	MessageReserve MessageKind = iota + 1
	// MessageReserved tells that there is room, for a while.
	MessageReserved
	// MessageNoCapacity tells that there is none now. Unlike Refused it settles nothing.
	MessageNoCapacity
	// MessageCommit hands the job over. The origin starts nothing of it from then on.
	MessageCommit
	// MessageAccepted tells that the target has the job.
	MessageAccepted
	// MessageRefused tells that nothing of the job is at the target, and that the target will
	// never take this transfer. It is durable there.
	MessageRefused
	// MessageRenew asks for a grant.
	MessageRenew
	// MessageGrant lets the target run tasks, from when it sent the Renew that is answered.
	MessageGrant
	// MessageRevoke ends the transfer: the target stops the tasks and answers Refused.
	MessageRevoke
	// MessageResult tells that all tasks of the job are done.
	MessageResult
	// MessageSettle tells that the origin needs no answer of this transfer any more.
	MessageSettle
	messageKindCount
)

var messageNames = [messageKindCount]string{
	MessageReserve:    "reserve",
	MessageReserved:   "reserved",
	MessageNoCapacity: "no room",
	MessageCommit:     "commit",
	MessageAccepted:   "accepted",
	MessageRefused:    "refused",
	MessageRenew:      "renew",
	MessageGrant:      "grant",
	MessageRevoke:     "revoke",
	MessageResult:     "result",
	MessageSettle:     "settle",
}

func (k MessageKind) String() string {
	if k > 0 && k < messageKindCount {
		return messageNames[k]
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

// toTarget tells whether a message goes from a job's origin to the target.
func (k MessageKind) toTarget() bool {
	switch k {
	case MessageReserve, MessageCommit, MessageGrant, MessageRevoke, MessageSettle:
		return true
	}
	return false
}

// Message is one message of a transfer.
type Message struct {
	Kind     MessageKind `cbor:"kind"`
	Transfer TransferID  `cbor:"transfer"`
	// Job is the job's description as its user sent it: in Reserve and Commit.
	Job []byte `cbor:"job,omitempty"`
	// Work is how much of the target's capacity the job takes: in Reserve.
	Work Work `cbor:"work,omitempty"`
	// Renewal tells which Renew a Grant answers.
	Renewal RenewalID `cbor:"renewal,omitzero"`
	// Run is the run of the job at the target that is asked for or granted, from 1; in
	// Refused the last one that began, 0: none.
	Run int `cbor:"run,omitempty"`
	// Unbounded is set in a Grant that holds without renewals.
	Unbounded bool `cbor:"unbounded,omitempty"`
	// Done are the tasks that are done: in Renew, Refused and Result.
	Done TaskSet `cbor:"done,omitempty"`
}

// RenewalID names a Renew: the fleet lease's incarnation at the target, and a number within.
type RenewalID struct {
	FencingToken uint64 `cbor:"term"`
	Sequence     uint64 `cbor:"n"`
}

// maxRun bounds the runs that a message may name.
const maxRun = 1 << 20

// ErrMalformedMessage says that a message cannot be what a cell of this version sends.
var ErrMalformedMessage = errors.New("malformed message of a transfer")

// Check tells whether a message can be acted on. One that cannot is ignored and counted.
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
