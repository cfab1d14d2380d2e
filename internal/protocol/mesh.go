package protocol

import (
	"errors"
	"fmt"

	flatbuffers "github.com/google/flatbuffers/go"

	"dunestand/internal/protocol/wire"
)

// FrameKind says what a frame between controllers is for.
type FrameKind = wire.Kind

// The kinds of frames.
const (
	FramePing     = wire.KindPing
	FrameSubmit   = wire.KindSubmit
	FramePoll     = wire.KindPoll
	FrameCancel   = wire.KindCancel
	FrameResponse = wire.KindAnswer
)

// Frame is a message between controllers: a user's request passed on to the
// leader, or the response to it.
type Frame struct {
	ID         uint64
	Kind       FrameKind
	Job        string
	Body       []byte
	Status     int
	RetryAfter int
}

// ErrShortFrame says that a frame has no room for its header.
var ErrShortFrame = errors.New("frame too short")

// minFrameBytes is the smallest frame: the offsets at its head.
const minFrameBytes = 8

// EncodeFrame returns a frame as FlatBuffers bytes.
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

// DecodeFrame reads a frame. The generated code trusts its input, so a frame
// that points outside itself makes it panic; here that is an error like any
// other. A kind that is not known is none: controllers of a later version may
// send it, and whoever gets it ignores it.
func DecodeFrame(data []byte) (f Frame, err error) {
	if len(data) < minFrameBytes {
		return Frame{}, ErrShortFrame
	}
	defer func() {
		if r := recover(); r != nil {
			f, err = Frame{}, fmt.Errorf("malformed frame: %v", r)
		}
	}()
	// A slice may be cut anew up to its capacity: without this, a frame that
	// declares too long a body would be given whatever lies behind it in memory.
	data = data[:len(data):len(data)]
	w := wire.GetRootAsFrame(data, 0)
	f = Frame{ID: w.Id(), Kind: w.Kind(), Job: string(w.Uid()), Body: append([]byte(nil), w.BodyBytes()...),
		Status: int(w.Status()), RetryAfter: int(w.RetryAfter())}
	return f, nil
}
