package coordination

import (
	"fmt"
	"testing"

	"dunestand/internal/bookkeeping"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// busyTerm is a leader under a burst: 32 machines with 16 tasks each, and 120
// jobs of up to 586 tasks that wait.
func busyTerm() (*Term, []*protocol.Report) {
	clock := &manualClock{now: units.Second}
	term := testTerm(1, clock)
	types := []protocol.MachineType{{Name: "m", CPUs: 32, MemoryGB: 64, CacheGB: 50, Price: 1, SpotPrice: 1, BootS: 5, Zones: []string{"a"}}}
	term.install(nil, protocol.Catalog{Types: types})
	term.ledger.Teams["team"].Limit = cpus(32 * 16 * 2)
	for i := range 120 {
		spec := *modelSpec(fmt.Sprintf("j-%06d", i))
		spec.Tasks, spec.Need, spec.Priority = 1+i*586/119, cpus(2), protocol.Priority(i%3)
		term.ledger.NewJob(spec, clock.now, clock.now)
	}
	for {
		s := term.ledger.BuildSave("1-1", term.heads, bookkeeping.SaveLimits{Ops: 12, Tasks: true}, clock.now)
		if s == nil {
			break
		}
		term.ledger.Applied(s, 1)
	}
	reports := make([]*protocol.Report, 32)
	for seq := uint64(1); seq <= 2; seq++ {
		for i := range reports {
			r := &protocol.Report{Machine: fmt.Sprintf("i-%06d", i), Type: "m", Zone: "a", Session: 1, Seq: seq, Term: 1}
			m := term.observe(r, clock.now)
			for _, a := range m.Sorted() {
				a.Stage = bookkeeping.Running
				r.Tasks = append(r.Tasks, protocol.TaskReport{Job: a.Job.Spec.ID, Index: a.Index, Attempt: a.Number, Stage: protocol.TaskRunning})
			}
			reports[i] = r
		}
		for range 20 {
			term.round(clock.now, nil)
		}
	}
	return term, reports
}

func BenchmarkReport(b *testing.B) {
	term, reports := busyTerm()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		r := reports[i%len(reports)]
		r.Seq += 10
		m := term.observe(r, units.Second)
		_ = term.commands(m, r, units.Second)
	}
}

func BenchmarkRound(b *testing.B) {
	term, _ := busyTerm()
	b.ReportAllocs()
	for b.Loop() {
		term.round(units.Second, nil)
	}
}

func BenchmarkSave(b *testing.B) {
	term, _ := busyTerm()
	b.ReportAllocs()
	for b.Loop() {
		for _, j := range term.ledger.Jobs {
			j.Changed(units.Second, true)
		}
		for {
			s := term.ledger.BuildSave("1-1", term.heads, bookkeeping.SaveLimits{Ops: 12, Tasks: true}, units.Second)
			if s == nil {
				break
			}
			term.ledger.Applied(s, 1)
		}
	}
}
