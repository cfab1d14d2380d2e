package transport

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"pgregory.net/rapid"
)

func TestFramesBeforeTruncationAreReadUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		frames := rapid.SliceOfN(rapid.SliceOfN(rapid.Byte(), 1, 300), 1, 5).Draw(t, "frames")
		var wire bytes.Buffer
		for _, frame := range frames {
			if err := WriteFrame(&wire, frame); err != nil {
				t.Fatal(err)
			}
		}
		length := rapid.IntRange(0, wire.Len()).Draw(t, "length")
		reader := bytes.NewReader(wire.Bytes()[:length])
		for _, frame := range frames {
			got, err := ReadFrame(reader)
			if err != nil {
				return // the truncated frame; those before it were complete
			}
			if !bytes.Equal(got, frame) {
				t.Fatalf("read %x, wrote %x", got, frame)
			}
		}
	})
}

func TestFrameOfInvalidSizeIsRejected(t *testing.T) {
	for _, c := range []struct {
		name   string
		header []byte
		bytes  int64
	}{
		{"empty", []byte{0, 0, 0, 0}, 0},
		{"one byte over", []byte{0, 1, 0x10, 1}, MaxFrameBytes + 1},
		{"4 GiB", []byte{0xff, 0xff, 0xff, 0xff}, 1<<32 - 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := ReadFrame(bytes.NewReader(c.header))
			if err == nil {
				t.Fatal("the frame is accepted")
			}
			sizeError, ok := errors.AsType[*FrameSizeError](err)
			if !ok || sizeError.Bytes != c.bytes {
				t.Errorf("reported as %v", err)
			}
		})
	}
	err := WriteFrame(io.Discard, make([]byte, MaxFrameBytes+1))
	if err == nil {
		t.Fatal("an oversized frame is accepted")
	}
	if sizeError, ok := errors.AsType[*FrameSizeError](err); !ok || sizeError.Bytes != MaxFrameBytes+1 {
		t.Errorf("an oversized frame is reported as %v", err)
	}
}
