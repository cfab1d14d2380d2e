package admission

import "sort"

// Claim is what one party wants of something that is divided.
type Claim struct {
	Demand Work
	Weight float64 // more than 0
	Floor  Work    // it gets its demand up to here before anybody gets more
}

// Divide divides a total by weighted max-min fairness: nobody gets more than its demand,
// floors go first, and what is left is given in proportion to the weights, until a demand
// is met and its part goes to the others. All of the total is given out as long as there
// is demand. Floors that exceed the total together are cut by the same rule.
func Divide(total Work, claims []Claim) []Work {
	floors := make([]Work, len(claims))
	for i, c := range claims {
		floors[i] = min(c.Demand, c.Floor)
	}
	shares := fill(total, floors, claims)
	left := total
	rest := make([]Work, len(claims))
	for i, c := range claims {
		left -= shares[i]
		rest[i] = c.Demand - shares[i]
	}
	for i, more := range fill(left, rest, claims) {
		shares[i] += more
	}
	return shares
}

// fill is Divide without floors.
func fill(total Work, demands []Work, claims []Claim) []Work {
	order := make([]int, len(demands))
	weights := 0.0
	for i, c := range claims {
		order[i] = i
		weights += c.Weight
	}
	sort.SliceStable(order, func(a, b int) bool {
		i, k := order[a], order[b]
		return float64(demands[i])*claims[k].Weight < float64(demands[k])*claims[i].Weight
	})
	// Whoever wants least for its weight is served first; what it leaves of its part is
	// divided among the others.
	shares := make([]Work, len(demands))
	left := max(total, 0)
	for _, i := range order {
		part := Work(float64(left) * min(claims[i].Weight/weights, 1))
		shares[i] = min(max(demands[i], 0), part, left)
		left -= shares[i]
		weights -= claims[i].Weight
	}
	return shares
}
