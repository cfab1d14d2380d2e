package admission

import (
	"cmp"
	"slices"
)

// ShareRequest is what one party wants of something that is divided.
type ShareRequest struct {
	Demand   Work
	Weight   float64 // more than 0
	MinShare Work    // its demand is met up to here before any request gets more
}

// FairShares divides a total by weighted max-min fairness: nobody gets more than its demand,
// minimum shares go first, and what is left is given in proportion to the weights, until a demand
// is met and its part goes to the others. All of the total is given out as long as there
// is demand. Minimum shares that together exceed the total are cut by the same rule.
func FairShares(total Work, requests []ShareRequest) []Work {
	minShares := make([]Work, len(requests))
	for i, r := range requests {
		minShares[i] = min(r.Demand, r.MinShare)
	}
	shares := waterFill(total, minShares, requests)
	left := total
	rest := make([]Work, len(requests))
	for i, r := range requests {
		left -= shares[i]
		rest[i] = r.Demand - shares[i]
	}
	for i, more := range waterFill(left, rest, requests) {
		shares[i] += more
	}
	return shares
}

// waterFill is FairShares without minimum shares.
func waterFill(total Work, demands []Work, requests []ShareRequest) []Work {
	order := make([]int, len(demands))
	weights := 0.0
	for i, r := range requests {
		order[i] = i
		weights += r.Weight
	}
	// Compared by demand for each unit of weight, without dividing.
	slices.SortStableFunc(order, func(i, k int) int {
		return cmp.Compare(float64(demands[i])*requests[k].Weight, float64(demands[k])*requests[i].Weight)
	})
	// Whoever wants least for its weight is served first; what it leaves of its part is
	// divided among the others.
	shares := make([]Work, len(demands))
	left := max(total, 0)
	for _, i := range order {
		part := Work(float64(left) * min(requests[i].Weight/weights, 1))
		shares[i] = min(max(demands[i], 0), part, left)
		left -= shares[i]
		weights -= requests[i].Weight
	}
	return shares
}
