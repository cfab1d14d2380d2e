package coordination

import (
	"cmp"
	"slices"

	"dunestand/internal/cluster"
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
	Types          map[string]protocol.InstanceType
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
				kindOffer{Kind{name, zone, false}, cluster.CapacityOf(t), t.Price},
				kindOffer{
					Kind{name, zone, true},
					cluster.CapacityOf(t),
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
	p := newRentPlan(v)
	needs := slices.Clone(v.Needs)
	// What has the fewest kinds to choose from chooses first.
	slices.SortStableFunc(needs, func(a, b Need) int { return cmp.Compare(p.choices(a), p.choices(b)) })
	for _, n := range needs {
		if left := p.useRoom(n); left > 0 {
			p.rentFor(n, left)
		}
	}
	p.rentReserve()
	return p.result()
}

// rentPlan is a renting decision in the making.
type rentPlan struct {
	view   *FleetView
	offers []kindOffer
	pool   map[Kind]units.Resources // room left, of what there is and what is to be rented
	orders map[Kind]int
	total  units.Amount // processors of both
}

func newRentPlan(v *FleetView) *rentPlan {
	p := &rentPlan{
		view:   v,
		offers: offers(v),
		pool:   map[Kind]units.Resources{},
		orders: map[Kind]int{},
	}
	for _, o := range p.offers {
		p.addMachines(o, v.Have[o.kind])
	}
	return p
}

// addMachines adds the room of some machines.
func (p *rentPlan) addMachines(o kindOffer, n int) {
	p.pool[o.kind] = p.pool[o.kind].Plus(o.size, n)
	p.total += o.size.CPU * units.Amount(n)
}

func (p *rentPlan) rent(o kindOffer, n int) {
	p.orders[o.kind] += n
	p.addMachines(o, n)
}

// allows tells whether a need's tasks may be on machines of an offered kind.
func (o *kindOffer) allows(n Need) bool {
	return allowed(n.Spec, o.kind.Type, o.kind.Zone, o.kind.Spot)
}

// choices counts the kinds that a need's tasks may be on.
func (p *rentPlan) choices(n Need) int {
	count := 0
	for i := range p.offers {
		if p.offers[i].allows(n) {
			count++
		}
	}
	return count
}

// useRoom takes room for a need's tasks and gives how many of them find none.
func (p *rentPlan) useRoom(n Need) int {
	left := n.Count
	for i := range p.offers {
		o := &p.offers[i]
		if k := min(left, p.pool[o.kind].Fits(n.Spec.Request)); k > 0 && o.allows(n) {
			p.pool[o.kind] = p.pool[o.kind].Plus(n.Spec.Request, -k)
			left -= k
		}
	}
	return left
}

// planned is how many machines of a kind there are and are to be rented.
func (p *rentPlan) planned(kind Kind) int { return p.view.Have[kind] + p.orders[kind] }

// rentFor rents machines of the kind that is cheapest for each of a need's tasks. Of
// those alike it is the one with fewer machines.
func (p *rentPlan) rentFor(n Need, tasks int) {
	var best *kindOffer
	bestCost, bestFits := 0.0, 0
	for i := range p.offers {
		o := &p.offers[i]
		fits := o.size.Fits(n.Spec.Request)
		if fits == 0 || p.view.Refused(o.kind) || !o.allows(n) {
			continue
		}
		cost := o.cost / float64(fits)
		if best == nil || cost < bestCost || cost == bestCost && p.planned(o.kind) < p.planned(best.kind) {
			best, bestCost, bestFits = o, cost, fits
		}
	}
	if best == nil {
		return
	}
	p.rent(*best, (tasks+bestFits-1)/bestFits)
	p.pool[best.kind] = p.pool[best.kind].Plus(n.Spec.Request, -tasks)
}

// rentReserve rents what lacks to the reserve, machine by machine.
func (p *rentPlan) rentReserve() {
	for p.total < p.view.Reserve {
		best := p.cheapestPerCPU()
		if best == nil {
			return
		}
		p.rent(*best, 1)
	}
}

// cheapestPerCPU gives the kind that may still be rented whose processors cost least; of
// those alike, the one with fewer machines.
func (p *rentPlan) cheapestPerCPU() *kindOffer {
	var best *kindOffer
	for i := range p.offers {
		o := &p.offers[i]
		if o.size.CPU == 0 || p.view.Refused(o.kind) || p.orders[o.kind] >= protocol.MaxScaleOut {
			continue
		}
		if best == nil {
			best = o
			continue
		}
		cost, bestCost := o.cost*best.size.CPU.Float(), best.cost*o.size.CPU.Float()
		if o.costPerCPU() < best.costPerCPU() || cost == bestCost && p.planned(o.kind) < p.planned(best.kind) {
			best = o
		}
	}
	return best
}

func (o *kindOffer) costPerCPU() float64 { return o.cost / o.size.CPU.Float() }

// result gives the orders, in the order of the offers.
func (p *rentPlan) result() []Order {
	var out []Order
	for _, o := range p.offers {
		if n := p.orders[o.kind]; n > 0 {
			out = append(out, Order{o.kind, min(n, protocol.MaxScaleOut)})
		}
	}
	return out
}
