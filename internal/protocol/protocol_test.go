package protocol

import (
	"bytes"
	"encoding/json"
	"math"
	"os"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	_ "dunestand/internal/fake/fixedseed"
)

func goodSubmission() map[string]any {
	return map[string]any{
		"uid":       "j-000412",
		"queue":     "train",
		"crew":      "vision",
		"shape":     "sweep",
		"urgency":   "high",
		"bolts":     16,
		"vcpus":     8.0,
		"cards":     1.0,
		"memory_gb": 64.0,
		"pattern":   "img-07",
		"image_gb":  6.2,
		"looms":     []string{"g8"},
		"yard":      nil,
		"together":  true,
		"apart":     false,
		"borrowed":  true,
		"expect_s":  240.0,
		"mark_s":    30.0,
		"stow_s":    4.0,
		"due_s":     900.0,
	}
}

func TestSubmissionFields(t *testing.T) {
	job, err := ParseSubmission(Encode(goodSubmission()))
	if err != nil {
		t.Fatal(err)
	}
	if job.ID != "j-000412" || job.Tasks != 16 || job.Priority != High || job.Request.CPU != 8_000_000 || job.Deadline != 900_000_000 || !job.ZoneAffinity || job.Zone != "" {
		t.Fatalf("%+v", job)
	}
	// Fields that may be null may be left out; unknown ones are ignored; whole
	// numbers serve as amounts.
	s := goodSubmission()
	for _, f := range []string{"looms", "yard", "due_s"} {
		delete(s, f)
	}
	s["colour"], s["vcpus"] = "red", 8
	job, err = ParseSubmission(Encode(s))
	if err != nil || job.InstanceTypes != nil || job.Zone != "" || job.Deadline != 0 {
		t.Fatalf("%+v, %v", job, err)
	}
}

func TestBadSubmissions(t *testing.T) {
	for field := range goodSubmission() {
		if field == "looms" || field == "yard" || field == "due_s" {
			continue
		}
		s := goodSubmission()
		s[field] = nil
		if _, err := ParseSubmission(Encode(s)); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("null %s: %v", field, err)
		}
		delete(s, field)
		if _, err := ParseSubmission(Encode(s)); err == nil {
			t.Errorf("missing %s is taken", field)
		}
	}
	for _, c := range []struct {
		field string
		value any
	}{
		{"uid", "job-1"},
		{"uid", "j-"},
		{"uid", 7},
		{"shape", "ring"},
		{"urgency", "soon"},
		{"bolts", 0},
		{"bolts", 100_001},
		{"bolts", 2.5},
		{"vcpus", -1.0},
		{"vcpus", math.NaN()},
		{"vcpus", math.Inf(1)},
		{"memory_gb", "64"},
		{"looms", []string{}},
		{"looms", []int{1}},
		{"yard", ""},
		{"together", 1},
		{"due_s", -5.0},
		{"due_s", "soon"},
		{"pattern", strings.Repeat("x", 200)},
	} {
		s := goodSubmission()
		s[c.field] = c.value
		if job, err := ParseSubmission(Encode(s)); err == nil {
			t.Errorf("%s = %v is taken: %+v", c.field, c.value, job)
		} else if strings.Contains(err.Error(), "\n") {
			t.Errorf("%s = %v: %q is not one line", c.field, c.value, err)
		}
	}
	for name, body := range map[string][]byte{
		"empty":     nil,
		"JSON":      []byte(`{"uid":"j-1"}`),
		"list":      Encode([]int{1}),
		"cut off":   Encode(goodSubmission())[:40],
		"deep":      append([]byte{0xa1, 0x61, 'x'}, bytes.Repeat([]byte{0x81}, 60000)...),
		"huge map":  {0xbb, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"huge text": {0xa1, 0x7b, 0, 0, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff},
	} {
		if _, err := ParseSubmission(body); err == nil {
			t.Errorf("%s is taken", name)
		}
	}
}

func TestHeartbeats(t *testing.T) {
	good := map[string]any{
		"dune":     "i-000231",
		"endpoint": "10.1.0.232:9000",
		"loom":     "g8",
		"yard":     "a",
		"borrowed": true,
		"shift":    1,
		"tally":    88,
		"baton":    41,
		"recall_s": 3.5,
		"bolts": []any{map[string]any{"bolt": "j-000412/3", "try": uint64(1) << 40, "stage": "running"},
			map[string]any{"bolt": "j-000398/0", "try": 1, "stage": "ended", "cause": "done"}},
	}
	r, err := ParseHeartbeat(Encode(good))
	if err != nil {
		t.Fatal(err)
	}
	want := []TaskStatus{
		{Job: "j-000412", Index: 3, Attempt: 1 << 40, Stage: TaskRunning},
		{Job: "j-000398", Attempt: 1, Stage: TaskExited, Cause: CauseDone},
	}
	if !reflect.DeepEqual(r.Tasks, want) || !r.TerminationNoticed || r.TerminationIn != 3_500_000 || r.FencingToken != 41 {
		t.Fatalf("%+v", r)
	}
	for field, value := range map[string]any{
		"dune":  nil,
		"shift": nil,
		"tally": -1,
		"baton": "x",
		"bolts": "x",
	} {
		bad := map[string]any{}
		for k, v := range good {
			bad[k] = v
		}
		bad[field] = value
		if _, err := ParseHeartbeat(Encode(bad)); err == nil {
			t.Errorf("%s = %v is taken", field, value)
		}
	}
	for _, task := range []string{"j-000412", "j-000412/", "j-000412/-1", "j-000412/03", "j-000412/100000", "x/1"} {
		bad := map[string]any{}
		for k, v := range good {
			bad[k] = v
		}
		bad["bolts"] = []any{map[string]any{"bolt": task, "try": 1, "stage": "running"}}
		if _, err := ParseHeartbeat(Encode(bad)); err == nil {
			t.Errorf("task %q is taken", task)
		}
	}
}

func TestFramesAreReadAsWritten(t *testing.T) {
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
			t.Fatalf("body %x, wrote %x", got.Body, f.Body)
		}
		got.Body, f.Body = nil, nil
		if !reflect.DeepEqual(got, f) {
			t.Fatalf("read %+v, wrote %+v", got, f)
		}
	})
}

// A body that is declared longer than its frame must not be read from what
// lies behind the frame in memory (found by FuzzFrames).
func TestFramesAreNotReadBeyondTheirEnd(t *testing.T) {
	frame := EncodeFrame(Frame{ID: 1, Kind: FramePoll, Job: "j-000412", Body: []byte("12345678")})
	at := bytes.Index(frame, append([]byte{8, 0, 0, 0}, "12345678"...))
	if at < 0 {
		t.Fatal("no body in the frame")
	}
	longer := make([]byte, len(frame), 1<<16)
	copy(longer, frame)
	longer[at+1] = 0x20 // 8 KiB more
	if f, err := DecodeFrame(longer); err == nil {
		t.Fatalf("read a body of %d bytes from a frame of %d", len(f.Body), len(frame))
	}
}

func FuzzFrames(f *testing.F) {
	f.Add(EncodeFrame(Frame{ID: 3, Kind: FramePoll, Job: "j-000412"}))
	f.Add([]byte{0xff, 0xff, 0xff, 0x7f, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		if got, err := DecodeFrame(data); err == nil && len(got.Body) > len(data) {
			t.Fatalf("%d bytes read out of %d", len(got.Body), len(data))
		}
	})
}

func FuzzHeartbeats(f *testing.F) {
	f.Add(Encode(map[string]any{
		"dune":  "i-1",
		"loom":  "m",
		"yard":  "a",
		"shift": 1,
		"tally": 1,
		"bolts": []any{},
	}))
	f.Fuzz(func(t *testing.T, data []byte) {
		if r, err := ParseHeartbeat(data); err == nil {
			for _, task := range r.Tasks {
				if !ValidJobID(task.Job) || task.Index < 0 || task.Index >= MaxTasks {
					t.Fatalf("task %+v", task)
				}
			}
		}
	})
}

func FuzzSubmissions(f *testing.F) {
	f.Add(Encode(goodSubmission()))
	f.Fuzz(func(t *testing.T, data []byte) {
		job, err := ParseSubmission(data)
		if err == nil && (!ValidJobID(job.ID) || job.Tasks < 1 || job.Tasks > MaxTasks || job.Request.CPU < 0 || job.Deadline < 0) {
			t.Fatalf("%+v", job)
		}
	})
}

func BenchmarkParseHeartbeat(b *testing.B) {
	bolts := make([]any, 16)
	for i := range bolts {
		bolts[i] = map[string]any{
			"bolt":  TaskName("j-000412", i),
			"try":   uint64(1)<<32 + uint64(i),
			"stage": "running",
		}
	}
	body := Encode(map[string]any{
		"dune":     "i-000231",
		"endpoint": "10.1.0.232:9000",
		"loom":     "g8",
		"yard":     "a",
		"borrowed": true,
		"shift":    1,
		"tally":    88,
		"baton":    41,
		"recall_s": nil,
		"bolts":    bolts,
	})
	b.ReportAllocs()
	for b.Loop() {
		if _, err := ParseHeartbeat(body); err != nil {
			b.Fatal(err)
		}
	}
}

// Frames of the version before are read as they were meant, and a kind of a
// later version is no error: whoever gets it ignores it.
func TestFramesOfOtherVersions(t *testing.T) {
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
		t.Errorf("%+v, %v", f, err)
	}
}

// A report that lists the same tasks as the one before costs little, and says the same
// as one that is read alone. A list that changed is read anew, whatever came between.
func TestUnchangedTaskListIsNotParsedAgain(t *testing.T) {
	body := func(seq uint64, stage string, tasks int) []byte {
		bolts := []map[string]any{}
		for i := range tasks {
			bolts = append(bolts, map[string]any{"bolt": TaskName("j-000001", i), "try": 7, "stage": stage})
		}
		return Encode(map[string]any{
			"dune":  "i-000001",
			"loom":  "m",
			"yard":  "a",
			"shift": 1,
			"tally": seq,
			"bolts": bolts,
		})
	}
	reader := NewHeartbeatReader()
	for seq, b := range [][]byte{body(1, "running", 3), body(2, "running", 3), body(3, "fetching", 3), body(4, "running", 3), body(5, "running", 2), body(6, "no stage", 2), body(7, "running", 2)} {
		got, err := reader.Parse(b)
		want, alone := ParseHeartbeat(b)
		if (err == nil) != (alone == nil) || err == nil && !reflect.DeepEqual(got, want) {
			t.Fatalf("report %d: %+v %v, read alone %+v %v", seq+1, got, err, want, alone)
		}
	}
	few, many := body(8, "running", 1), body(9, "running", 64)
	allocs := func(b []byte) float64 {
		return testing.AllocsPerRun(100, func() { _, _ = reader.Parse(b) })
	}
	if a, b := allocs(few), allocs(many); a != b {
		t.Errorf("%v allocations for one task, %v for 64", a, b)
	}
}
