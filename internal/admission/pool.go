package admission

import (
	"math/bits"

	"dunestand/internal/units"
)

// Pool identifies a resource in which work is measured. The capacity of each pool is divided
// among the teams independently.
type Pool uint8

// The pools. A job belongs to the pool of its dominant resource.
const (
	CPU Pool = iota
	GPU
	numPools = 2
)

// String returns the name of the resource, as in the labels of metrics.
func (p Pool) String() string {
	if p == GPU {
		return "gpu"
	}
	return "cpu"
}

// Amounts holds an amount of the resource of each pool.
type Amounts [numPools]units.Amount

// AmountsOf returns the amounts of those resources that have a pool.
func AmountsOf(r units.Resources) Amounts { return Amounts{CPU: r.CPU, GPU: r.GPU} }

// poolOf returns the pool of the dominant resource of a request: the resource of which the
// request is the larger fraction of the capacity. GPUs win a tie.
func poolOf(request units.Resources, capacity Amounts) Pool {
	if request.GPU <= 0 {
		return CPU
	}
	if capacity[GPU] <= 0 || capacity[CPU] <= 0 {
		return GPU
	}
	// Compares request.GPU/capacity[GPU] with request.CPU/capacity[CPU] by cross-multiplication,
	// which does not round.
	gpuHigh, gpuLow := bits.Mul64(uint64(request.GPU), uint64(capacity[CPU]))
	cpuHigh, cpuLow := bits.Mul64(uint64(max(request.CPU, 0)), uint64(capacity[GPU]))
	if gpuHigh > cpuHigh || gpuHigh == cpuHigh && gpuLow >= cpuLow {
		return GPU
	}
	return CPU
}

// amountIn returns the amount of a pool's resource in a request.
func amountIn(pool Pool, request units.Resources) units.Amount { return AmountsOf(request)[pool] }
