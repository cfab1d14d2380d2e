package cluster

import "dunestand/internal/units"

// CompletionRate is the rate at which tasks that end by themselves free processors, as
// observed. The lock of the State that owns it guards it; its zero value is ready for use.
type CompletionRate struct {
	freedCPU  units.Amount // since the last update
	since     units.Micros // the last update
	perSecond units.Amount // processors, moving mean
}

// Advance brings the mean up to date.
func (r *CompletionRate) Advance(now units.Micros) {
	if passed := now - r.since; passed >= units.Second {
		rate := r.freedCPU * units.Amount(units.Second/units.Millisecond) / units.Amount(passed/units.Millisecond)
		r.perSecond, r.freedCPU, r.since = (3*r.perSecond+rate)/4, 0, now
	}
}

// Within returns the processors that tasks are expected to free in a time.
func (r *CompletionRate) Within(d units.Micros) units.Amount {
	return r.perSecond * units.Amount(d/units.Millisecond) / units.Amount(units.Second/units.Millisecond)
}

// Freed notes that a task which ended by itself freed some processors.
func (r *CompletionRate) Freed(cpu units.Amount) { r.freedCPU += cpu }
