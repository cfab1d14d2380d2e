package protocol

import (
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"dunestand/internal/units"
)

// Parsing an encoded heartbeat yields the same values.
func TestEncodedHeartbeatIsParsedUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := drawHeartbeat(t)
		got, err := ParseHeartbeat(EncodeHeartbeat(&want))
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(*got, want) {
			t.Fatalf("%+v is parsed as %+v", want, *got)
		}
	})
}

func drawHeartbeat(t *rapid.T) Heartbeat {
	text := rapid.StringN(0, 20, maxTextBytes)
	heartbeat := Heartbeat{
		Machine:            rapid.StringN(1, 20, maxTextBytes).Draw(t, "machine"),
		Endpoint:           text.Draw(t, "endpoint"),
		InstanceType:       text.Draw(t, "instance type"),
		Zone:               text.Draw(t, "zone"),
		Spot:               rapid.Bool().Draw(t, "spot"),
		Incarnation:        rapid.Uint64().Draw(t, "incarnation"),
		Sequence:           rapid.Uint64().Draw(t, "sequence"),
		FencingToken:       rapid.Uint64().Draw(t, "token"),
		TerminationNoticed: rapid.Bool().Draw(t, "noticed"),
		Tasks:              []TaskStatus{},
	}
	if heartbeat.TerminationNoticed {
		heartbeat.TerminationIn = units.Micros(rapid.Int64Range(0, int64(3600*units.Second)).Draw(t, "notice"))
	}
	for range rapid.IntRange(0, 5).Draw(t, "tasks") {
		heartbeat.Tasks = append(heartbeat.Tasks, TaskStatus{
			Job:          rapid.SampledFrom([]string{"j-0", "j-000412"}).Draw(t, "job"),
			Index:        rapid.IntRange(0, MaxTasks-1).Draw(t, "index"),
			Attempt:      rapid.Uint64().Draw(t, "attempt"),
			Stage:        rapid.SampledFrom([]TaskStage{TaskFetching, TaskRunning, TaskCheckpointing, TaskExited}).Draw(t, "stage"),
			Cause:        rapid.SampledFrom([]ExitCause{"", CauseDone, CauseStopped, CauseNoCapacity}).Draw(t, "cause"),
			Checkpointed: rapid.Bool().Draw(t, "checkpointed"),
		})
	}
	return heartbeat
}

// A heartbeat is encoded as in the example of the protocol's specification.
func TestEncodedHeartbeatEqualsTheExample(t *testing.T) {
	want, err := ParseHeartbeat(Encode(map[string]any{
		"dune": "i-000231", "endpoint": "10.1.0.232:9000", "loom": "g8", "yard": "a", "borrowed": true,
		"shift": 1, "tally": 88, "baton": 41, "recall_s": nil,
		"bolts": []map[string]any{
			{"bolt": "j-000412/3", "try": 2, "stage": "running"},
			{"bolt": "j-000398/0", "try": 1, "stage": "ended", "cause": "done"},
		},
	}))
	if err != nil {
		t.Fatal(err)
	}
	got, err := ParseHeartbeat(EncodeHeartbeat(&Heartbeat{
		Machine:      "i-000231",
		Endpoint:     "10.1.0.232:9000",
		InstanceType: "g8",
		Zone:         "a",
		Spot:         true,
		Incarnation:  1,
		Sequence:     88,
		FencingToken: 41,
		Tasks: []TaskStatus{
			{Job: "j-000412", Index: 3, Attempt: 2, Stage: TaskRunning},
			{Job: "j-000398", Index: 0, Attempt: 1, Stage: TaskExited, Cause: CauseDone},
		},
	}))
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("encoded as %+v, error %v; want %+v", got, err, want)
	}
}

// The exported names of fields are those that the parser of submissions knows, and JobKindArray is
// a kind of job that it accepts.
func TestSubmissionFieldNamesMatchTheParser(t *testing.T) {
	var parsed []string
	for field := range reflect.TypeFor[submission]().Fields() {
		parsed = append(parsed, field.Tag.Get("cbor"))
	}
	exported := []string{
		FieldID, FieldClass, FieldTeam, FieldJobKind, FieldPriority, FieldTasks, FieldCPUs, FieldGPUs,
		FieldMemoryGB, FieldImage, FieldImageGB, FieldInstanceTypes, FieldZone, FieldZoneAffinity,
		FieldZoneSpread, FieldAllowSpot, FieldEstimate, FieldCheckpointInterval, FieldCheckpointDuration, FieldDeadline,
	}
	if !slices.Equal(exported, parsed) {
		t.Errorf("exported names %q, parsed fields %q", exported, parsed)
	}
	if kind, known := jobKinds[JobKindArray]; !known || kind != Array {
		t.Errorf("kind %q is %v, known: %v", JobKindArray, kind, known)
	}
}
