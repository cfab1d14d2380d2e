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

// WriteFrame writes one frame: its length in four bytes, then its content.
// Header and content go out in a single write.
func WriteFrame(w io.Writer, frame []byte) error {
	if len(frame) > MaxFrameBytes {
		return fmt.Errorf("frame of %d bytes is over the limit", len(frame))
	}
	wire := make([]byte, frameHeaderBytes+len(frame))
	binary.BigEndian.PutUint32(wire, uint32(len(frame)))
	copy(wire[frameHeaderBytes:], frame)
	_, err := w.Write(wire)
	return err
}

// ReadFrame reads one frame. The declared length is checked before anything
// is allocated for it.
func ReadFrame(r io.Reader) ([]byte, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size == 0 || size > MaxFrameBytes {
		return nil, fmt.Errorf("frame declares %d bytes", size)
	}
	frame := make([]byte, size)
	_, err := io.ReadFull(r, frame)
	return frame, err
}
