package admission

import (
	"math/bits"

	"dunestand/internal/units"
)

// Pool is a resource that work is measured in.
type Pool uint8

// The pools. A job counts in the one of which it needs the larger part of the fleet.
const (
	CPU Pool = iota
	GPU
	numPools = 2
)

func (p Pool) String() string {
	if p == GPU {
		return "gpu"
	}
	return "cpu"
}

// Amounts is an amount of each pool's resource.
type Amounts [numPools]units.Amount

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
