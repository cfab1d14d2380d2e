// Package units holds the few quantities that every layer shares: time in
// whole microseconds, resource amounts in whole millionths, and the clock
// that is passed to whatever needs the time. Whole numbers add up exactly and the same on
// every machine.
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

// Seconds converts a number of seconds, as it appears on the wire. It clamps values beyond
// what a schedule could mean to 1e12 seconds either way, and converts NaN to 0.
func Seconds(seconds float64) Micros {
	const maxSeconds = 1e12
	return Micros(millionths(seconds, maxSeconds))
}

// Seconds returns the length in seconds, for display and for policies.
func (m Micros) Seconds() float64 { return float64(m) / perUnit }

// Duration returns the length for the standard library.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// Fraction returns the fraction numerator/denominator of a length, rounded towards zero.
func (m Micros) Fraction(numerator, denominator int64) Micros {
	return m * Micros(numerator) / Micros(denominator)
}

// Amount is a quantity of a resource (processors, cards, GB) in millionths,
// so that sums are exact.
type Amount int64

// AmountOf converts a number on the wire. It clamps values to 1e9 either way, and converts
// NaN to 0.
func AmountOf(number float64) Amount {
	const maxAmount = 1e9
	return Amount(millionths(number, maxAmount))
}

// Float returns the amount as a number for the wire and for policies.
func (a Amount) Float() float64 { return float64(a) / perUnit }

// perUnit is the number of Micros in a second, and of millionths in an Amount of one.
const perUnit = 1e6

// millionths rounds a number to whole millionths after clamping it to limit either way.
func millionths(number, limit float64) int64 {
	if math.IsNaN(number) {
		return 0
	}
	return int64(math.Round(math.Max(-limit, math.Min(limit, number)) * perUnit))
}

// Resources is what a task requests or a machine has.
type Resources struct {
	CPU, GPU, Memory Amount // Memory in GB
}

// Plus returns r with o added n times; a negative n subtracts.
func (r Resources) Plus(o Resources, n int) Resources {
	times := Amount(n)
	return Resources{r.CPU + o.CPU*times, r.GPU + o.GPU*times, r.Memory + o.Memory*times}
}

// CountFitting returns how many times a request fits into the free capacity r: math.MaxInt32 if the
// request is zero, and 0 if r is negative anywhere.
func (r Resources) CountFitting(request Resources) int {
	if request.CPU > r.CPU || request.Memory > r.Memory || request.GPU > r.GPU {
		return 0 // the most frequent case, at little cost
	}
	times := math.MaxInt32
	for _, resource := range [...]struct{ free, requested Amount }{
		{r.CPU, request.CPU},
		{r.GPU, request.GPU},
		{r.Memory, request.Memory},
	} {
		if resource.free < 0 {
			return 0
		}
		if resource.requested > 0 {
			times = min(times, int(resource.free/resource.requested))
		}
	}
	return times
}

// Clock reads the time. It may be used from several goroutines.
type Clock interface {
	// Steady is a monotonic time from an arbitrary start, for lengths of time.
	Steady() Micros
	// Wall is the time since the Unix epoch, correct only within the bound in the settings.
	Wall() Micros
}

// SystemClock is the machine's own clock. NewSystemClock makes one that can be used.
type SystemClock struct{ start time.Time }

// NewSystemClock makes a clock whose steady time starts at zero now.
func NewSystemClock() *SystemClock { return &SystemClock{start: time.Now()} }

// Steady implements Clock.
func (c *SystemClock) Steady() Micros { return Micros(time.Since(c.start) / time.Microsecond) }

// Wall implements Clock.
func (c *SystemClock) Wall() Micros { return Micros(time.Now().UnixMicro()) }
