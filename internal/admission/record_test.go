package admission

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// crowded is a plan that restricts many classes of many teams.
func crowded(teams, classes int) *Plan {
	names := make([]string, teams)
	for i := range names {
		names[i] = fmt.Sprintf("kitchen-%02d", i)
	}
	f := newFleet(Options{Horizon: testHorizon}, testTeams(names...))
	n := 0
	for _, team := range names {
		for c := range classes {
			for _, tasks := range []int{10, 9000} {
				for range 3 {
					n++
					f.backlog[Cell{Team: team, Class: fmt.Sprintf("class-%d", c)}] += WorkOf(1, f.capacity[CPU], testHorizon)
					f.offer(testJob(n, team, fmt.Sprintf("class-%d", c), tasks, 100))
				}
			}
		}
	}
	f.publish()
	for _, team := range names {
		for c := range classes {
			n++
			f.offer(testJob(n, team, fmt.Sprintf("class-%d", c), 9000, 100))
		}
	}
	return f.publish()
}

// A plan goes into one value of the state service: it is made coarser until it fits, and
// what cannot fit is refused.
func TestPlanFitsItsRecord(t *testing.T) {
	plan := crowded(12, 4)
	if plan.Gates() < 48 {
		t.Fatalf("only %d cells are restricted", plan.Gates())
	}
	for _, most := range []int{8 << 10, 2 << 10, 1 << 10} {
		raw, held, err := Encode(plan, most)
		if err != nil || held.record().size() > most {
			t.Fatalf("%d bytes: %v", most, err)
		}
		read, err := Decode(raw)
		if err != nil || !read.Like(held) || read.Version != plan.Version || read.Term != plan.Term {
			t.Errorf("%d bytes: %v, %+v", most, err, read)
		}
		restricted := testJob(77, "kitchen-03", "class-2", 10, 100)
		if _, _, found := read.Restriction(mustCell(read, restricted)); !found {
			t.Errorf("%d bytes: a restricted class is open", most)
		}
	}
	if _, _, err := Encode(plan, 300); !errors.Is(err, ErrTooLarge) {
		t.Errorf("a plan of 12 teams in 300 bytes: %v", err)
	}
}

func mustCell(p *Plan, job *protocol.JobSpec) Cell {
	cell, _ := p.Classify(job)
	return cell
}

// A record that no leader writes is an error that names the field, never a plan.
func TestImpossibleRecordsAreRefused(t *testing.T) {
	good := func() *record { return crowded(2, 2).record() }
	if _, err := Decode(protocol.Encode(good())); err != nil {
		t.Fatal(err)
	}
	teams, cells := len(good().Teams), len(good().Cells)
	for _, test := range []struct {
		field string
		cause error
		spoil func(*record)
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
		{"teams[0].large_threshold", errOutOfRange, func(r *record) { r.Teams[0].LargeThreshold = maxStored + 1 }},
		{"teams[0].estimate_correction", errOutOfRange, func(r *record) { r.Teams[0].EstimateCorrection = 0 }},
		{"cells[0].team", errUnknownTeam, func(r *record) { r.Cells[0].TeamIndex = 99 }},
		{fmt.Sprintf("cells[%d].class", cells), errDuplicate, func(r *record) { r.Cells = append(r.Cells, r.Cells[0]) }},
		{"cells[0].band", errOutOfRange, func(r *record) { r.Cells[0].Band = numBands }},
		{"cells[0].width", errOutOfRange, func(r *record) { r.Cells[0].Width = ringSize + 1 }},
		{"cells[0].start", errOutOfRange, func(r *record) { r.Cells[0].Start = ringSize }},
		{"cells[0].version_quota", errOutOfRange, func(r *record) { r.Cells[0].VersionQuota = 1 << 62 }},
		{"queue_heads[0]", errInvalidJobID, func(r *record) { r.QueueHeads = []string{"who"} }},
	} {
		t.Run(test.field, func(t *testing.T) {
			r := good()
			test.spoil(r)
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

func FuzzDecode(f *testing.F) {
	f.Add([]byte(protocol.Encode(crowded(2, 2).record())))
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, raw []byte) {
		plan, err := Decode(raw)
		if err != nil {
			return
		}
		if again, err := Decode(protocol.Encode(plan.record())); err != nil || !again.Like(plan) {
			t.Errorf("a plan that was read is not readable: %v", err)
		}
	})
}

// A plan leaves the one before it as it is, and shares what is the same.
func TestPlansAreImmutable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(Options{Horizon: testHorizon}, testTeams("mill", "dye", "ink"))
		var plans []*Plan
		var records []string
		for step := range 5 {
			for i := range rapid.IntRange(0, 60).Draw(t, "jobs") {
				f.offer(drawJob(t, 100*step+i))
			}
			f.now += units.Second
			plan := f.publish()
			plans, records = append(plans, plan), append(records, string(protocol.Encode(plan.record())))
		}
		for i, plan := range plans {
			if string(protocol.Encode(plan.record())) != records[i] {
				t.Fatalf("plan %d has changed", plan.Version)
			}
		}
	})
}
