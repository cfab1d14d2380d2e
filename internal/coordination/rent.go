package coordination

import (
	"cmp"
	"slices"

	"dunestand/internal/bookkeeping"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// Kind is a kind of machine as the cloud rents it.
type Kind struct {
	Type, Zone string
	Spot       bool
}

// FleetView is what the renting decision looks at.
type FleetView struct {
	Types          map[string]protocol.MachineType
	Have           map[Kind]int // machines that work or are thought to come up
	Needs          []Need       // tasks that are not done, within their teams' limits
	Reserve        units.Amount // processors to keep whatever is needed
	SpotPreference float64
	Refused        func(Kind) bool // asked lately and refused
}

// Need is a number of tasks alike.
type Need struct {
	Spec  *protocol.JobSpec
	Count int
}

// Order is a number of machines to rent.
type Order struct {
	Kind  Kind
	Count int
}

// kindOffer is a kind with what it gives and costs.
type kindOffer struct {
	kind Kind
	size units.Resources
	cost float64
}

func offers(v *FleetView) []kindOffer {
	var out []kindOffer
	for _, name := range sortedKeys(v.Types) {
		t := v.Types[name]
		for _, zone := range t.Zones {
			out = append(out,
				kindOffer{Kind{name, zone, false}, bookkeeping.SizeOf(t), t.Price},
				kindOffer{
					Kind{name, zone, true},
					bookkeeping.SizeOf(t),
					t.SpotPrice * max(v.SpotPreference, 0.01),
				})
		}
	}
	return out
}

// WantRented works out what to rent: what the tasks need beyond what there
// is, on the cheapest kinds that they allow and that were not refused lately,
// and then the reserve. Room is reckoned as one pool a kind.
func WantRented(v *FleetView) []Order {
	all := offers(v)
	pool := map[Kind]units.Resources{}
	var total units.Amount
	for _, o := range all {
		n := v.Have[o.kind]
		pool[o.kind] = units.Resources{}.Plus(o.size, n)
		total += o.size.CPU * units.Amount(n)
	}
	orders := map[Kind]int{}
	rent := func(o kindOffer, n int) {
		orders[o.kind] += n
		pool[o.kind] = pool[o.kind].Plus(o.size, n)
		total += o.size.CPU * units.Amount(n)
	}
	needs := slices.Clone(v.Needs)
	choices := func(n Need) int {
		c := 0
		for _, o := range all {
			if allowed(n.Spec, o.kind.Type, o.kind.Zone, o.kind.Spot) {
				c++
			}
		}
		return c
	}
	slices.SortStableFunc(needs, func(a, b Need) int { return cmp.Compare(choices(a), choices(b)) })
	for _, n := range needs {
		left := n.Count
		for _, o := range all {
			if k := min(left, pool[o.kind].Fits(n.Spec.Need)); k > 0 && allowed(n.Spec, o.kind.Type, o.kind.Zone, o.kind.Spot) {
				pool[o.kind] = pool[o.kind].Plus(n.Spec.Need, -k)
				left -= k
			}
		}
		if left == 0 {
			continue
		}
		best, bestCost, bestFits := kindOffer{}, 0.0, 0
		for _, o := range all {
			fits := o.size.Fits(n.Spec.Need)
			if fits == 0 || v.Refused(o.kind) || !allowed(n.Spec, o.kind.Type, o.kind.Zone, o.kind.Spot) {
				continue
			}
			if c := o.cost / float64(fits); bestFits == 0 || c < bestCost || c == bestCost && v.Have[o.kind]+orders[o.kind] < v.Have[best.kind]+orders[best.kind] {
				best, bestCost, bestFits = o, c, fits
			}
		}
		if bestFits > 0 {
			rent(best, (left+bestFits-1)/bestFits)
			pool[best.kind] = pool[best.kind].Plus(n.Spec.Need, -left)
		}
	}
	for total < v.Reserve {
		best := -1
		for i, o := range all {
			if o.size.CPU == 0 || v.Refused(o.kind) || orders[o.kind] >= protocol.MaxRent {
				continue
			}
			if best < 0 || o.cost/o.size.CPU.Float() < all[best].cost/all[best].size.CPU.Float() ||
				o.cost*all[best].size.CPU.Float() == all[best].cost*o.size.CPU.Float() && v.Have[o.kind]+orders[o.kind] < v.Have[all[best].kind]+orders[all[best].kind] {
				best = i
			}
		}
		if best < 0 {
			break
		}
		rent(all[best], 1)
	}
	var out []Order
	for _, o := range all {
		if n := orders[o.kind]; n > 0 {
			out = append(out, Order{o.kind, min(n, protocol.MaxRent)})
		}
	}
	return out
}
