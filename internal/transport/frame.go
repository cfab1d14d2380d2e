package transport

import (
	"encoding/binary"
	"fmt"
	"io"
)

// MaxFrameBytes bounds a frame between controllers. It leaves room for the largest body of a user's
// request and the fields of the frame around it.
const MaxFrameBytes = MaxBodyBytes + 4<<10

// frameHeaderBytes is the length of a frame's header, which holds the size of its content as a
// big-endian integer.
const frameHeaderBytes = 4

// FrameSizeError reports a frame that is empty or longer than MaxFrameBytes.
type FrameSizeError struct{ Bytes int64 }

// Error implements error.
func (e *FrameSizeError) Error() string {
	return fmt.Sprintf("frame of %d bytes is not between 1 and %d", e.Bytes, MaxFrameBytes)
}

// WriteFrame writes the header and the content of a frame in a single write. If the frame exceeds
// MaxFrameBytes it writes nothing and returns a *FrameSizeError.
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

// ReadFrame reads one frame. It checks the declared size before it allocates memory, and returns a
// *FrameSizeError if that is out of range. Other errors are those of the reader.
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
