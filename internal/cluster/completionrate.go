package cluster

import "dunestand/internal/units"

// CompletionRate is the observed rate at which tasks that end without being stopped free CPUs.
// The mutex of its State guards it. Its zero value is ready for use.
type CompletionRate struct {
	freedCPU  units.Amount // CPUs freed since the last update
	since     units.Micros // steady time of the last update
	perSecond units.Amount // moving mean of the CPUs freed per second
}

// Advance updates the moving mean, once at least a second has passed since its last update.
func (r *CompletionRate) Advance(now units.Micros) {
	if passed := now - r.since; passed >= units.Second {
		rate := r.freedCPU * units.Amount(units.Second/units.Millisecond) / units.Amount(passed/units.Millisecond)
		r.perSecond, r.freedCPU, r.since = (3*r.perSecond+rate)/4, 0, now
	}
}

// Within returns the number of CPUs that tasks are expected to free within d.
func (r *CompletionRate) Within(d units.Micros) units.Amount {
	return r.perSecond * units.Amount(d/units.Millisecond) / units.Amount(units.Second/units.Millisecond)
}

// RecordFreed records the CPUs of a task that ended without being stopped.
func (r *CompletionRate) RecordFreed(cpu units.Amount) { r.freedCPU += cpu }
