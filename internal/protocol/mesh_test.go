package protocol

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	_ "dunestand/internal/fake/fixedseed"
)

func TestEncodedFrameIsDecodedUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := Frame{
			ID:         rapid.Uint64().Draw(t, "id"),
			Kind:       rapid.SampledFrom([]FrameKind{FramePing, FrameSubmit, FramePoll, FrameCancel, FrameResponse}).Draw(t, "kind"),
			Job:        rapid.String().Draw(t, "job"),
			Body:       rapid.SliceOf(rapid.Byte()).Draw(t, "body"),
			Status:     int(rapid.Uint16().Draw(t, "status")),
			RetryAfter: int(rapid.Uint16().Draw(t, "retry")),
		}
		got, err := DecodeFrame(EncodeFrame(f))
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(got.Body, f.Body) {
			t.Fatalf("decoded body %x, encoded %x", got.Body, f.Body)
		}
		got.Body, f.Body = nil, nil
		if !reflect.DeepEqual(got, f) {
			t.Fatalf("decoded %+v, encoded %+v", got, f)
		}
	})
}

// A frame whose body is declared longer than the frame must not expose the memory behind it
// (found by FuzzFrames).
func TestFrameWithTooLongBodyIsRejected(t *testing.T) {
	frame := EncodeFrame(Frame{ID: 1, Kind: FramePoll, Job: "j-000412", Body: []byte("12345678")})
	bodyOffset := bytes.Index(frame, append([]byte{8, 0, 0, 0}, "12345678"...))
	if bodyOffset < 0 {
		t.Fatal("body not found in the frame")
	}
	malformed := make([]byte, len(frame), 1<<16)
	copy(malformed, frame)
	malformed[bodyOffset+1] = 0x20 // 8 KiB more
	if f, err := DecodeFrame(malformed); err == nil {
		t.Fatalf("decoded a body of %d bytes from a frame of %d", len(f.Body), len(frame))
	}
}

func FuzzFrames(f *testing.F) {
	f.Add(EncodeFrame(Frame{ID: 3, Kind: FramePoll, Job: "j-000412"}))
	f.Add([]byte{0xff, 0xff, 0xff, 0x7f, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		if got, err := DecodeFrame(data); err == nil && len(got.Body) > len(data) {
			t.Fatalf("decoded a body of %d bytes from a frame of %d", len(got.Body), len(data))
		}
	})
}

// Frames of the previous version are decoded correctly, and an unknown kind, which a later version
// may send, is not an error.
func TestFramesOfOtherVersionsAreDecoded(t *testing.T) {
	raw, err := os.ReadFile("testdata/production_frames.json")
	if err != nil {
		t.Fatal(err)
	}
	var frames [][]byte
	if err := json.Unmarshal(raw, &frames); err != nil {
		t.Fatal(err)
	}
	want := []Frame{
		{Kind: FramePing},
		{Kind: FrameResponse, Job: "dune-1", Status: 200},
		{ID: 5, Kind: FrameSubmit, Body: []byte{0xa1, 0x61, 0x61, 0x01}},
		{ID: 6, Kind: FramePoll, Job: "j-000412"},
		{ID: 7, Kind: FrameCancel, Job: "j-000412"},
		{ID: 7, Kind: FrameResponse, Status: 503, RetryAfter: 1, Body: []byte{0xa0}},
	}
	for i, data := range frames {
		f, err := DecodeFrame(data)
		if err != nil || f.ID != want[i].ID || f.Kind != want[i].Kind || f.Job != want[i].Job || !bytes.Equal(f.Body, want[i].Body) ||
			f.Status != want[i].Status || f.RetryAfter != want[i].RetryAfter {
			t.Errorf("frame %d: %+v, %v", i, f, err)
		}
	}
	if f, err := DecodeFrame(EncodeFrame(Frame{
		ID:   3,
		Kind: 77,
		Job:  "j-000001",
	})); err != nil || f.Kind != 77 {
		t.Errorf("frame of an unknown kind: %+v, %v", f, err)
	}
}
