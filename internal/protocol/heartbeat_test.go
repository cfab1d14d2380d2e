package protocol

import (
	"reflect"
	"testing"

	_ "dunestand/internal/fake/fixedseed"
)

func TestHeartbeatIsParsedAndInvalidFieldsAreRejected(t *testing.T) {
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
			t.Errorf("%s = %v is accepted", field, value)
		}
	}
	for _, task := range []string{"j-000412", "j-000412/", "j-000412/-1", "j-000412/03", "j-000412/100000", "x/1"} {
		bad := map[string]any{}
		for k, v := range good {
			bad[k] = v
		}
		bad["bolts"] = []any{map[string]any{"bolt": task, "try": 1, "stage": "running"}}
		if _, err := ParseHeartbeat(Encode(bad)); err == nil {
			t.Errorf("task %q is accepted", task)
		}
	}
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

// A cached list of tasks must give the same result as parsing the heartbeat alone, also after a
// changed or an invalid list. Parsing an unchanged list costs the same for any number of tasks.
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
			t.Fatalf("heartbeat %d: %+v %v, parsed alone %+v %v", seq+1, got, err, want, alone)
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
