// Package units defines the quantities that all layers share: time in whole microseconds,
// resource amounts in whole millionths, and the clock interface through which code reads the
// time. Sums of whole numbers are exact and the same on every machine.
package units

import (
	"math"
	"time"
)

// Micros is a point in time on a Clock, or a duration, in whole microseconds.
type Micros int64

// Durations.
const (
	Millisecond Micros = 1_000
	Second      Micros = 1_000_000
)

// Seconds converts a number of seconds on the wire. It clamps the number to the range from
// -1e12 to 1e12, which exceeds any meaningful time, and converts NaN to 0.
func Seconds(seconds float64) Micros {
	const maxSeconds = 1e12
	return Micros(millionths(seconds, maxSeconds))
}

// Seconds returns the duration in seconds, for display and for policies.
func (m Micros) Seconds() float64 { return float64(m) / perUnit }

// Duration converts the duration for the standard library.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// Fraction returns the duration times numerator/denominator, rounded towards zero.
func (m Micros) Fraction(numerator, denominator int64) Micros {
	return m * Micros(numerator) / Micros(denominator)
}

// Amount is a quantity of a resource (CPUs, GPUs or GB) in whole millionths, so that sums
// are exact.
type Amount int64

// AmountOf converts a number on the wire. It clamps the number to the range from -1e9 to 1e9,
// and converts NaN to 0.
func AmountOf(number float64) Amount {
	const maxAmount = 1e9
	return Amount(millionths(number, maxAmount))
}

// Float returns the amount as a number for the wire and for policies.
func (a Amount) Float() float64 { return float64(a) / perUnit }

// perUnit is the number of microseconds per second, and of millionths per unit of an Amount.
const perUnit = 1e6

// millionths clamps a number to the range from -limit to limit and rounds it to whole
// millionths. It converts NaN to 0.
func millionths(number, limit float64) int64 {
	if math.IsNaN(number) {
		return 0
	}
	return int64(math.Round(math.Max(-limit, math.Min(limit, number)) * perUnit))
}

// Resources is an amount of each kind of resource: a task's request or a machine's capacity,
// for example.
type Resources struct {
	CPU, GPU, Memory Amount // Memory in GB
}

// Plus returns r with o added n times; a negative n subtracts.
func (r Resources) Plus(o Resources, n int) Resources {
	times := Amount(n)
	return Resources{r.CPU + o.CPU*times, r.GPU + o.GPU*times, r.Memory + o.Memory*times}
}

// CountFitting returns how many times a request fits into the free capacity r. It returns
// math.MaxInt32 if the request is zero, and 0 if any resource of r is negative.
func (r Resources) CountFitting(request Resources) int {
	if request.CPU > r.CPU || request.Memory > r.Memory || request.GPU > r.GPU {
		return 0 // fast path for the most frequent case
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

// Clock reads the time. It is safe for concurrent use.
type Clock interface {
	// Steady returns a monotonic time since an arbitrary start, for measuring durations.
	Steady() Micros
	// Wall returns the time since the Unix epoch. Its error is within the bound in the
	// settings.
	Wall() Micros
}

// SystemClock is the clock of the operating system. Create one with NewSystemClock.
type SystemClock struct{ start time.Time }

// NewSystemClock returns a clock whose steady time starts at zero now.
func NewSystemClock() *SystemClock { return &SystemClock{start: time.Now()} }

// Steady implements Clock.
func (c *SystemClock) Steady() Micros { return Micros(time.Since(c.start) / time.Microsecond) }

// Wall implements Clock.
func (c *SystemClock) Wall() Micros { return Micros(time.Now().UnixMicro()) }
