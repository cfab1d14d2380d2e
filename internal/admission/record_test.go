package admission

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// restrictedPlan returns a plan that restricts all classes of all teams, with queued large jobs.
func restrictedPlan(t fataler, teams, classes int) *Plan {
	names := make([]string, teams)
	for i := range names {
		names[i] = fmt.Sprintf("kitchen-%02d", i)
	}
	sim := newSimulation(t, Options{Horizon: testHorizon}, testTeams(names...))
	n := 0
	for _, team := range names {
		for c := range classes {
			class := fmt.Sprintf("class-%d", c)
			for _, tasks := range []int{10, 9000} {
				for range 3 {
					n++
					sim.backlog[Flow{Team: team, Class: class}] += WorkOf(1, sim.capacity[CPU], testHorizon)
					sim.submit(testJob(n, team, class, tasks, 100))
				}
			}
		}
	}
	sim.publishPlan()
	for _, team := range names {
		for c := range classes {
			n++
			sim.submit(testJob(n, team, fmt.Sprintf("class-%d", c), 9000, 100))
		}
	}
	return sim.publishPlan()
}

// A plan must fit into one value of the key-value store: it is made coarser until it fits, and
// a plan that cannot fit is an error.
func TestPlanIsCoarsenedUntilItFits(t *testing.T) {
	plan := restrictedPlan(t, 12, 4)
	if plan.NumRestrictedFlows() < 48 {
		t.Fatalf("only %d flows are restricted", plan.NumRestrictedFlows())
	}
	for _, maxBytes := range []int{8 << 10, 2 << 10, 1 << 10} {
		raw, kept, err := Encode(plan, maxBytes)
		if err != nil || kept.record().size() > maxBytes {
			t.Fatalf("%d bytes: %v", maxBytes, err)
		}
		read, err := Decode(raw)
		if err != nil || !read.SameRestrictions(kept) || read.Version != plan.Version || read.FencingToken != plan.FencingToken {
			t.Errorf("%d bytes: %v, %+v", maxBytes, err, read)
		}
		restricted := testJob(77, "kitchen-03", "class-2", 10, 100)
		if _, _, found := read.Restriction(flowOf(read, restricted)); !found {
			t.Errorf("%d bytes: the decoded plan does not restrict a restricted class", maxBytes)
		}
	}
	if _, _, err := Encode(plan, 300); !errors.Is(err, ErrTooLarge) {
		t.Errorf("a plan of 12 teams in 300 bytes: %v", err)
	}
}

// flowOf returns the flow of a job.
func flowOf(p *Plan, job *protocol.JobSpec) Flow {
	flow, _ := p.Classify(job)
	return flow
}

// Decode rejects a record that no leader writes with an error that names the field.
func TestDecodeRejectsImpossibleRecords(t *testing.T) {
	validRecord := func() *record { return restrictedPlan(t, 2, 2).record() }
	if _, err := Decode(protocol.Encode(validRecord())); err != nil {
		t.Fatal(err)
	}
	teams, flows := len(validRecord().Teams), len(validRecord().Flows)
	for _, test := range []struct {
		field   string
		cause   error
		corrupt func(*record)
	}{
		{"format", errUnknownFormat, func(r *record) { r.Format = 2 }},
		{"version", errMissing, func(r *record) { r.Version = 0 }},
		{"fencing_token", errMissing, func(r *record) { r.FencingToken = 0 }},
		{"horizon", errMissing, func(r *record) { r.Horizon = -units.Second }},
		{"capacity.gpu", errOutOfRange, func(r *record) { r.Capacity[GPU] = -1 }},
		{fmt.Sprintf("teams[%d].name", teams), errDuplicate, func(r *record) { r.Teams = append(r.Teams, r.Teams[0]) }},
		{"teams[0].name", errMissing, func(r *record) { r.Teams[0].Name = "" }},
		{"teams[0].pool", errOutOfRange, func(r *record) { r.Teams[0].Pool = numPools }},
		{"teams[0].version_quota", errOutOfRange, func(r *record) { r.Teams[0].VersionQuota = -1 }},
		{"teams[0].large_threshold", errOutOfRange, func(r *record) { r.Teams[0].LargeThreshold = maxStoredWork + 1 }},
		{"teams[0].estimate_correction", errOutOfRange, func(r *record) { r.Teams[0].EstimateCorrection = 0 }},
		{"cells[0].team", errUnknownTeam, func(r *record) { r.Flows[0].TeamIndex = 99 }},
		{fmt.Sprintf("cells[%d].class", flows), errDuplicate, func(r *record) { r.Flows = append(r.Flows, r.Flows[0]) }},
		{"cells[0].band", errOutOfRange, func(r *record) { r.Flows[0].Band = numBands }},
		{"cells[0].width", errOutOfRange, func(r *record) { r.Flows[0].Width = ringSize + 1 }},
		{"cells[0].start", errOutOfRange, func(r *record) { r.Flows[0].Start = ringSize }},
		{"cells[0].version_quota", errOutOfRange, func(r *record) { r.Flows[0].VersionQuota = 1 << 62 }},
		{"queue_heads[0]", errInvalidJobID, func(r *record) { r.QueueHeads = []string{"who"} }},
	} {
		t.Run(test.field, func(t *testing.T) {
			r := validRecord()
			test.corrupt(r)
			_, err := Decode(protocol.Encode(r))
			if err == nil {
				t.Fatal("the record is accepted")
			}
			var invalid *FieldError
			if !errors.As(err, &invalid) || invalid.Field != test.field || !errors.Is(err, test.cause) {
				t.Errorf("%v, want %s: %v", err, test.field, test.cause)
			}
		})
	}
}

// A plan that Decode accepts survives encoding and decoding.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(protocol.Encode(restrictedPlan(f, 2, 2).record())))
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, raw []byte) {
		plan, err := Decode(raw)
		if err != nil {
			return
		}
		if again, err := Decode(protocol.Encode(plan.record())); err != nil || !again.SameRestrictions(plan) {
			t.Errorf("a decoded plan does not survive encoding and decoding: %v", err)
		}
	})
}

// Making a plan does not change the former plans, with which it shares memory.
func TestPlansAreImmutable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, Options{Horizon: testHorizon}, testTeams("mill", "dye", "ink"))
		var plans []*Plan
		var records []string
		for step := range 5 {
			for i := range rapid.IntRange(0, 60).Draw(t, "jobs") {
				sim.submit(drawJob(t, 100*step+i))
			}
			sim.now += units.Second
			plan := sim.publishPlan()
			plans, records = append(plans, plan), append(records, string(protocol.Encode(plan.record())))
		}
		for i, plan := range plans {
			if string(protocol.Encode(plan.record())) != records[i] {
				t.Fatalf("plan %d has changed", plan.Version)
			}
		}
	})
}
