package coordination

import (
	"dunestand/internal/units"
)

// completionRate is what tasks that end by themselves leave, as observed.
type completionRate struct {
	freedCPU  units.Amount // unchangedSince then
	since     units.Micros
	perSecond units.Amount // processors, moving mean
}

// advance brings the mean up to date.
func (o *completionRate) advance(now units.Micros) {
	if passed := now - o.since; passed >= units.Second {
		rate := o.freedCPU * units.Amount(units.Second/units.Millisecond) / units.Amount(passed/units.Millisecond)
		o.perSecond, o.freedCPU, o.since = (3*o.perSecond+rate)/4, 0, now
	}
}

// within is what tasks are expected to leave in a time.
func (o *completionRate) within(d units.Micros) units.Amount {
	return o.perSecond * units.Amount(d/units.Millisecond) / units.Amount(units.Second/units.Millisecond)
}
