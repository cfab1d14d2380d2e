// Package units holds the few quantities that every layer shares: time in
// whole microseconds, resource amounts in whole millionths, and the clock
// that is passed to whatever needs the time.
package units

import (
	"math"
	"time"
)

// Micros is a point on a clock, or a length of time, in whole microseconds.
type Micros int64

// Lengths of time.
const (
	Millisecond Micros = 1_000
	Second      Micros = 1_000_000
)

// Seconds turns a number of seconds, as it appears on the wire, into Micros.
// Values beyond what a schedule could mean are clamped.
func Seconds(s float64) Micros {
	const most = 1e12
	if math.IsNaN(s) {
		return 0
	}
	return Micros(math.Round(math.Max(-most, math.Min(most, s)) * 1e6))
}

// Seconds gives the length in seconds, for display and for policies.
func (m Micros) Seconds() float64 { return float64(m) / 1e6 }

// Duration gives the length for the standard library.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// Share gives the part num/den of a length.
func (m Micros) Share(num, den int64) Micros { return m * Micros(num) / Micros(den) }

// Amount is a quantity of a resource (processors, cards, GB) in millionths,
// so that sums are exact.
type Amount int64

// AmountOf turns a number on the wire into an Amount.
func AmountOf(f float64) Amount {
	const most = 1e9
	if math.IsNaN(f) {
		return 0
	}
	return Amount(math.Round(math.Max(-most, math.Min(most, f)) * 1e6))
}

// Float gives the amount as a number for the wire and for policies.
func (a Amount) Float() float64 { return float64(a) / 1e6 }

// Resources is what a task takes or a machine has.
type Resources struct {
	CPU, GPU, Memory Amount
}

// Plus adds o, n times.
func (r Resources) Plus(o Resources, n int) Resources {
	k := Amount(n)
	return Resources{r.CPU + o.CPU*k, r.GPU + o.GPU*k, r.Memory + o.Memory*k}
}

// Fits tells how many times need fits into r.
func (r Resources) Fits(need Resources) int {
	if need.CPU > r.CPU || need.Memory > r.Memory || need.GPU > r.GPU {
		return 0 // the most frequent case, for little
	}
	n := math.MaxInt32
	for _, p := range [...][2]Amount{{r.CPU, need.CPU}, {r.GPU, need.GPU}, {r.Memory, need.Memory}} {
		if p[0] < 0 {
			return 0
		}
		if p[1] > 0 {
			n = min(n, int(p[0]/p[1]))
		}
	}
	return n
}

// Clock tells the time. Steady is for lengths of time and never steps back;
// Wall is the time of day, correct only within the bound in the settings.
type Clock interface {
	Steady() Micros
	Wall() Micros
}

// SystemClock is the machine's own clock.
type SystemClock struct{ start time.Time }

// NewSystemClock starts a clock at zero.
func NewSystemClock() *SystemClock { return &SystemClock{start: time.Now()} }

// Steady implements Clock.
func (c *SystemClock) Steady() Micros { return Micros(time.Since(c.start) / time.Microsecond) }

// Wall implements Clock.
func (c *SystemClock) Wall() Micros { return Micros(time.Now().UnixMicro()) }
