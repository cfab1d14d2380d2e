package transport

import (
	"encoding/binary"
	"fmt"
	"io"
)

// MaxFrameBytes bounds a frame between controllers: a whole user's body and its
// wrapping.
const MaxFrameBytes = MaxBodyBytes + 4<<10

// frameHeaderBytes is the length of a frame's header: the size of its content, big-endian.
const frameHeaderBytes = 4

// FrameSizeError reports a frame that is empty or longer than MaxFrameBytes.
type FrameSizeError struct{ Bytes int64 }

func (e *FrameSizeError) Error() string {
	return fmt.Sprintf("frame of %d bytes is not between 1 and %d", e.Bytes, MaxFrameBytes)
}

// WriteFrame writes one frame: its length in four bytes, then its content.
// Header and content go out in a single write. It returns a *FrameSizeError, and writes
// nothing, if the frame is over MaxFrameBytes.
func WriteFrame(w io.Writer, frame []byte) error {
	if len(frame) > MaxFrameBytes {
		return &FrameSizeError{Bytes: int64(len(frame))}
	}
	wire := make([]byte, frameHeaderBytes+len(frame))
	binary.BigEndian.PutUint32(wire, uint32(len(frame)))
	copy(wire[frameHeaderBytes:], frame)
	_, err := w.Write(wire)
	return err
}

// ReadFrame reads one frame. The declared length is checked before anything
// is allocated for it: it returns a *FrameSizeError if that is out of bounds, and
// otherwise the error of the reader.
func ReadFrame(r io.Reader) ([]byte, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size == 0 || size > MaxFrameBytes {
		return nil, &FrameSizeError{Bytes: int64(size)}
	}
	frame := make([]byte, size)
	_, err := io.ReadFull(r, frame)
	return frame, err
}
