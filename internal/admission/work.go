package admission

import (
	"math/bits"

	"dunestand/internal/protocol"
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

// Pool is a resource that work is measured in.
type Pool uint8

// The pools. A job counts in the one of which it needs the larger part of the fleet.
const (
	CPU Pool = iota
	GPU
	Pools = 2
)

func (p Pool) String() string {
	if p == GPU {
		return "gpu"
	}
	return "cpu"
}

// Amounts is an amount of each pool's resource.
type Amounts [Pools]units.Amount

// AmountsOf gives what resources hold of each pool.
func AmountsOf(r units.Resources) Amounts { return Amounts{CPU: r.CPU, GPU: r.GPU} }

// poolOf gives the pool of a job's dominant resource: the one of which a task needs the
// larger part of the capacity.
func poolOf(need units.Resources, capacity Amounts) Pool {
	if need.GPU <= 0 {
		return CPU
	}
	if capacity[GPU] <= 0 || capacity[CPU] <= 0 {
		return GPU
	}
	// need.GPU/capacity[GPU] against need.CPU/capacity[CPU], without rounding.
	gpuHigh, gpuLow := bits.Mul64(uint64(need.GPU), uint64(capacity[CPU]))
	cpuHigh, cpuLow := bits.Mul64(uint64(max(need.CPU, 0)), uint64(capacity[GPU]))
	if gpuHigh > cpuHigh || gpuHigh == cpuHigh && gpuLow >= cpuLow {
		return GPU
	}
	return CPU
}

// amountIn gives what a task needs of a pool's resource.
func amountIn(pool Pool, need units.Resources) units.Amount { return AmountsOf(need)[pool] }

// leastRun stands for estimates that are shorter, or missing.
const leastRun = units.Second

// runTime is how long a task of a job is reckoned to run before any was seen: by its
// owner's estimate and what the team's estimates were off by. A service holds its
// resources for the whole horizon.
func runTime(job *protocol.JobSpec, correction PerMille, horizon units.Micros) units.Micros {
	if job.Kind == protocol.Service {
		return horizon
	}
	corrected := Work(job.Estimate).scaled(uint64(correction), uint64(Exact))
	return max(units.Micros(corrected), leastRun)
}
