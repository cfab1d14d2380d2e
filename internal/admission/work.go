package admission

import (
	"math/bits"

	"dunestand/internal/units"
)

// Work is a resource used for a time, in thousandths of a unit times seconds.
type Work int64

// MaxWork is the most work that is told apart: sums of many such amounts do not overflow
// in the arithmetic of this package, and it is exact as a floating-point number.
const MaxWork Work = 1 << 53

// workUnit is how many millionths of a unit times microseconds make one Work.
const workUnit = 1_000_000_000

// WorkOf is the work of a number of tasks that each hold an amount of a resource for a
// time. It is bounded by MaxWork.
func WorkOf(tasks int, need units.Amount, run units.Micros) Work {
	if tasks <= 0 || need <= 0 || run <= 0 {
		return 0
	}
	high, low := bits.Mul64(uint64(need), uint64(run))
	if high >= workUnit {
		return MaxWork
	}
	each, _ := bits.Div64(high, low, workUnit)
	high, low = bits.Mul64(each, uint64(tasks))
	if high > 0 || low > uint64(MaxWork) {
		return MaxWork
	}
	return Work(low)
}

// Plus adds two amounts of work, bounded by MaxWork.
func (w Work) Plus(other Work) Work { return min(w+other, MaxWork) }

// scaled gives the part numerator/denominator of some work, bounded by MaxWork.
func (w Work) scaled(numerator, denominator uint64) Work {
	if w <= 0 || numerator == 0 {
		return 0
	}
	high, low := bits.Mul64(uint64(w), numerator)
	if high >= denominator {
		return MaxWork
	}
	quotient, _ := bits.Div64(high, low, denominator)
	return Work(min(quotient, uint64(MaxWork)))
}

// UnitSeconds gives some work in units of the resource times seconds, for display.
func (w Work) UnitSeconds() float64 { return float64(w) / storedUnit }
