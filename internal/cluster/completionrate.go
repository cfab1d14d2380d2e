package cluster

import (
	"dunestand/internal/units"
)

// CompletionRate is what tasks that end by themselves leave, as observed.
type CompletionRate struct {
	freedCPU  units.Amount // since then
	since     units.Micros
	perSecond units.Amount // processors, moving mean
}

// Advance brings the mean up to date.
func (o *CompletionRate) Advance(now units.Micros) {
	if passed := now - o.since; passed >= units.Second {
		rate := o.freedCPU * units.Amount(units.Second/units.Millisecond) / units.Amount(passed/units.Millisecond)
		o.perSecond, o.freedCPU, o.since = (3*o.perSecond+rate)/4, 0, now
	}
}

// Within is what tasks are expected to leave in a time.
func (o *CompletionRate) Within(d units.Micros) units.Amount {
	return o.perSecond * units.Amount(d/units.Millisecond) / units.Amount(units.Second/units.Millisecond)
}

// Freed notes that a task which ended by itself left some processors.
func (o *CompletionRate) Freed(cpu units.Amount) { o.freedCPU += cpu }
