package admission

import (
	"math/bits"

	"dunestand/internal/units"
)

// Work is an amount of a resource times the time for which it is held, in thousandths of a unit
// times seconds.
type Work int64

// MaxWork is the greatest amount of work. It is exact as a float64, and the sum of many such
// amounts does not overflow an int64.
const MaxWork Work = 1 << 53

// workUnit is one Work, expressed in the units of units.Amount times units.Micros: millionths of
// a unit times microseconds.
const workUnit = 1_000_000_000

// WorkOf returns the work of a number of tasks that each hold an amount of a resource for a run
// time, at most MaxWork. It returns 0 if an argument is not positive.
func WorkOf(tasks int, amount units.Amount, run units.Micros) Work {
	if tasks <= 0 || amount <= 0 || run <= 0 {
		return 0
	}
	high, low := bits.Mul64(uint64(amount), uint64(run))
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

// Plus returns the sum of two amounts of work, at most MaxWork.
func (w Work) Plus(other Work) Work { return min(w+other, MaxWork) }

// scaled returns w*numerator/denominator, rounded down and at most MaxWork. It returns 0 if w is
// not positive.
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

// UnitSeconds returns the work in units of the resource times seconds, for display.
func (w Work) UnitSeconds() float64 { return float64(w) / storedUnit }
