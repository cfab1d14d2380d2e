package federation

import (
	"cmp"
	"errors"
	"fmt"
	"regexp"

	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// TransferID names one attempt to move a job. The incarnation is raised for each, so
// that what is late from an earlier one is known.
type TransferID struct {
	Origin      string `cbor:"from"`
	Job         string `cbor:"job"`
	Incarnation uint64 `cbor:"n"`
}

func (t TransferID) String() string { return fmt.Sprintf("%s/%s#%d", t.Origin, t.Job, t.Incarnation) }

// check tells what is wrong with an id that came from outside.
func (t TransferID) check() error {
	switch {
	case !ValidCellName(t.Origin):
		return fmt.Errorf("transfer %q: bad name of a cell", t)
	case !protocol.ValidJobID(t.Job):
		return fmt.Errorf("transfer %q: bad id of a job", t)
	case t.Incarnation == 0:
		return fmt.Errorf("transfer %q: no incarnation", t)
	}
	return nil
}

// cellNamePattern is what a cell may be called: its name is part of keys and addresses.
var cellNamePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,31}$`)

// ValidCellName tells whether a cell may have a name.
func ValidCellName(name string) bool { return cellNamePattern.MatchString(name) }

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

// Work is a job's expected use of processors, in thousandths of a processor times seconds.
type Work int64

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

// TaskSet is a set of a job's tasks, a bit for each.
type TaskSet []byte

// Union gives the tasks in either set.
func (s TaskSet) Union(other TaskSet) TaskSet {
	out := make(TaskSet, max(len(s), len(other)))
	copy(out, s)
	for i, bits := range other {
		out[i] |= bits
	}
	return out
}

// ContainsAll tells whether every task of other is in the set.
func (s TaskSet) ContainsAll(other TaskSet) bool {
	for i, bits := range other {
		if bits != 0 && (i >= len(s) || s[i]&bits != bits) {
			return false
		}
	}
	return true
}

// Add puts a task into the set, which grows as needed.
func (s *TaskSet) Add(task int) {
	for len(*s) <= task/8 {
		*s = append(*s, 0)
	}
	(*s)[task/8] |= 1 << (task % 8)
}

// Has tells whether a task is in the set.
func (s TaskSet) Has(task int) bool { return task/8 < len(s) && s[task/8]&(1<<(task%8)) != 0 }

// Timing are the times of a delegation, the same in both cells.
type Timing struct {
	// Lease is for how long a grant lets the target run tasks.
	Lease units.Micros
	// StopGrace is the time within which the tasks are gone after the lease's end, whatever
	// happens to the target's controllers: no less than the lease of its workers.
	StopGrace units.Micros
}

const (
	// maxDriftPPM is by how much two steady clocks may drift apart.
	maxDriftPPM = 500
	// roundingAllowance covers what the clocks' steps hide.
	roundingAllowance = 100 * units.Millisecond
)

// ReclaimDelay is how long the origin waits, by its own clock, from its last grant until nothing
// of the job runs at the target.
func (t Timing) ReclaimDelay() units.Micros {
	length := t.Lease + t.StopGrace
	return withDrift(length) + roundingAllowance
}

// compareTransferIDs orders transfers.
func compareTransferIDs(a, b TransferID) int {
	return cmp.Or(
		cmp.Compare(a.Origin, b.Origin),
		cmp.Compare(a.Job, b.Job),
		cmp.Compare(a.Incarnation, b.Incarnation),
	)
}
