package protocol

import (
	"errors"
	"fmt"

	flatbuffers "github.com/google/flatbuffers/go"

	"dunestand/internal/protocol/wire"
)

// FrameKind is the kind of message that a frame between controllers carries.
type FrameKind = wire.Kind

// The kinds of frames.
const (
	FramePing     = wire.KindPing
	FrameSubmit   = wire.KindSubmit
	FramePoll     = wire.KindPoll
	FrameCancel   = wire.KindCancel
	FrameResponse = wire.KindAnswer
)

// Frame is a message between controllers: a user's request that a follower forwards to the
// leader, the response to it, or a ping.
type Frame struct {
	ID         uint64 // matches a response to its request
	Kind       FrameKind
	Job        string // ID of the requested job; in the response to a ping, the leader's name
	Body       []byte
	Status     int // HTTP status of a response
	RetryAfter int // of a response, in seconds
}

// ErrShortFrame reports a frame that is too short to hold a message.
var ErrShortFrame = errors.New("frame too short")

// minFrameBytes is the smallest length of a frame that is decoded: the offset of the root table and
// that table's offset to its vtable, four bytes each.
const minFrameBytes = 8

// EncodeFrame returns a frame in the FlatBuffers format.
func EncodeFrame(f Frame) []byte {
	b := flatbuffers.NewBuilder(128 + len(f.Body))
	job := b.CreateString(f.Job)
	body := b.CreateByteVector(f.Body)
	wire.FrameStart(b)
	wire.FrameAddId(b, f.ID)
	wire.FrameAddKind(b, f.Kind)
	wire.FrameAddUid(b, job)
	wire.FrameAddBody(b, body)
	wire.FrameAddStatus(b, uint16(f.Status))
	wire.FrameAddRetryAfter(b, uint16(f.RetryAfter))
	b.Finish(wire.FrameEnd(b))
	return b.FinishedBytes()
}

// DecodeFrame decodes a frame and copies its contents. It returns an error for a malformed frame,
// on which the generated code panics because it does not check offsets. An unknown kind is not an
// error: controllers of a later version may send it, and the receiver ignores it.
func DecodeFrame(data []byte) (f Frame, err error) {
	if len(data) < minFrameBytes {
		return Frame{}, ErrShortFrame
	}
	defer func() {
		if r := recover(); r != nil {
			f, err = Frame{}, fmt.Errorf("malformed frame: %v", r)
		}
	}()
	// The generated code reslices data up to its capacity. Without this limit, a frame that declares
	// too long a body would expose the memory behind it.
	data = data[:len(data):len(data)]
	w := wire.GetRootAsFrame(data, 0)
	f = Frame{ID: w.Id(), Kind: w.Kind(), Job: string(w.Uid()), Body: append([]byte(nil), w.BodyBytes()...),
		Status: int(w.Status()), RetryAfter: int(w.RetryAfter())}
	return f, nil
}
