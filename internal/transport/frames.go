package transport

import (
	"encoding/binary"
	"fmt"
	"io"
)

// MaxFrame bounds a frame between controllers: a whole user's body and its
// wrapping.
const MaxFrame = MaxBody + 4<<10

// WriteFrame writes one frame: its length in four bytes, then its content.
// Header and content go out in a single write.
func WriteFrame(w io.Writer, frame []byte) error {
	if len(frame) > MaxFrame {
		return fmt.Errorf("frame of %d bytes is over the limit", len(frame))
	}
	buf := make([]byte, 4+len(frame))
	binary.BigEndian.PutUint32(buf, uint32(len(frame)))
	copy(buf[4:], frame)
	_, err := w.Write(buf)
	return err
}

// ReadFrame reads one frame. The declared length is checked before anything
// is allocated for it.
func ReadFrame(r io.Reader) ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n == 0 || n > MaxFrame {
		return nil, fmt.Errorf("frame declares %d bytes", n)
	}
	frame := make([]byte, n)
	_, err := io.ReadFull(r, frame)
	return frame, err
}
