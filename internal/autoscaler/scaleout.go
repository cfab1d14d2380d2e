package autoscaler

import (
	"cmp"
	"slices"

	"dunestand/internal/cluster"
	"dunestand/internal/protocol"
	"dunestand/internal/scheduler"
	"dunestand/internal/sorted"
	"dunestand/internal/units"
)

// Offering is a kind of machine as the cloud rents it.
type Offering struct {
	InstanceType, Zone string
	Spot               bool
}

// CapacityView is what the renting decision looks at.
type CapacityView struct {
	InstanceTypes  map[string]protocol.InstanceType
	Machines       map[Offering]int // machines that work or are thought to come up
	Demand         []TaskDemand     // tasks that are not done, within their teams' limits
	ReserveCPUs    units.Amount     // processors to keep whatever is needed
	SpotPreference float64
	Unavailable    func(Offering) bool // asked lately and refused
}

// TaskDemand is a number of tasks alike.
type TaskDemand struct {
	Spec  *protocol.JobSpec
	Count int
}

// Order is a number of machines to rent.
type Order struct {
	Offering Offering
	Count    int
}

// pricedOffering is a kind with what it gives and costs.
type pricedOffering struct {
	offering Offering
	capacity units.Resources
	cost     float64
}

func pricedOfferings(v *CapacityView) []pricedOffering {
	var out []pricedOffering
	for _, name := range sorted.Keys(v.InstanceTypes) {
		t := v.InstanceTypes[name]
		for _, zone := range t.Zones {
			out = append(out,
				pricedOffering{Offering{name, zone, false}, cluster.CapacityOf(t), t.Price},
				pricedOffering{
					Offering{name, zone, true},
					cluster.CapacityOf(t),
					t.SpotPrice * max(v.SpotPreference, 0.01),
				})
		}
	}
	return out
}

// PlanScaleOut works out what to rent: what the tasks need beyond what there
// is, on the cheapest kinds that they allow and that were not refused lately,
// and then the reserve. Room is reckoned as one pool a kind.
func PlanScaleOut(v *CapacityView) []Order {
	p := newScaleOutPlan(v)
	needs := slices.Clone(v.Demand)
	// What has the fewest kinds to choose from chooses first.
	slices.SortStableFunc(needs, func(a, b TaskDemand) int { return cmp.Compare(p.choices(a), p.choices(b)) })
	for _, n := range needs {
		if left := p.useFreeCapacity(n); left > 0 {
			p.orderFor(n, left)
		}
	}
	p.orderReserve()
	return p.result()
}

// scaleOutPlan is a renting decision in the making.
type scaleOutPlan struct {
	view         *CapacityView
	offerings    []pricedOffering
	freeCapacity map[Offering]units.Resources // room left, of what there is and what is to be rented
	orders       map[Offering]int
	total        units.Amount // processors of both
}

func newScaleOutPlan(v *CapacityView) *scaleOutPlan {
	p := &scaleOutPlan{
		view:         v,
		offerings:    pricedOfferings(v),
		freeCapacity: map[Offering]units.Resources{},
		orders:       map[Offering]int{},
	}
	for _, o := range p.offerings {
		p.addMachines(o, v.Machines[o.offering])
	}
	return p
}

// addMachines adds the room of some machines.
func (p *scaleOutPlan) addMachines(o pricedOffering, n int) {
	p.freeCapacity[o.offering] = p.freeCapacity[o.offering].Plus(o.capacity, n)
	p.total += o.capacity.CPU * units.Amount(n)
}

func (p *scaleOutPlan) order(o pricedOffering, n int) {
	p.orders[o.offering] += n
	p.addMachines(o, n)
}

// allows tells whether a need's tasks may be on machines of an offered kind.
func (o *pricedOffering) allows(n TaskDemand) bool {
	return scheduler.PlacementAllowed(n.Spec, o.offering.InstanceType, o.offering.Zone, o.offering.Spot)
}

// choices counts the kinds that a need's tasks may be on.
func (p *scaleOutPlan) choices(n TaskDemand) int {
	count := 0
	for i := range p.offerings {
		if p.offerings[i].allows(n) {
			count++
		}
	}
	return count
}

// useFreeCapacity takes room for a need's tasks and gives how many of them find none.
func (p *scaleOutPlan) useFreeCapacity(n TaskDemand) int {
	left := n.Count
	for i := range p.offerings {
		o := &p.offerings[i]
		if k := min(left, p.freeCapacity[o.offering].Fits(n.Spec.Request)); k > 0 && o.allows(n) {
			p.freeCapacity[o.offering] = p.freeCapacity[o.offering].Plus(n.Spec.Request, -k)
			left -= k
		}
	}
	return left
}

// planned is how many machines of a kind there are and are to be rented.
func (p *scaleOutPlan) planned(kind Offering) int { return p.view.Machines[kind] + p.orders[kind] }

// orderFor rents machines of the kind that is cheapest for each of a need's tasks. Of
// those alike it is the one with fewer machines.
func (p *scaleOutPlan) orderFor(n TaskDemand, tasks int) {
	var best *pricedOffering
	bestCost, bestFits := 0.0, 0
	for i := range p.offerings {
		o := &p.offerings[i]
		fits := o.capacity.Fits(n.Spec.Request)
		if fits == 0 || p.view.Unavailable(o.offering) || !o.allows(n) {
			continue
		}
		cost := o.cost / float64(fits)
		if best == nil || cost < bestCost || cost == bestCost && p.planned(o.offering) < p.planned(best.offering) {
			best, bestCost, bestFits = o, cost, fits
		}
	}
	if best == nil {
		return
	}
	p.order(*best, (tasks+bestFits-1)/bestFits)
	p.freeCapacity[best.offering] = p.freeCapacity[best.offering].Plus(n.Spec.Request, -tasks)
}

// orderReserve rents what lacks to the reserve, machine by machine.
func (p *scaleOutPlan) orderReserve() {
	for p.total < p.view.ReserveCPUs {
		best := p.cheapestPerCPU()
		if best == nil {
			return
		}
		p.order(*best, 1)
	}
}

// cheapestPerCPU gives the kind that may still be rented whose processors cost least; of
// those alike, the one with fewer machines.
func (p *scaleOutPlan) cheapestPerCPU() *pricedOffering {
	var best *pricedOffering
	for i := range p.offerings {
		o := &p.offerings[i]
		if o.capacity.CPU == 0 || p.view.Unavailable(o.offering) || p.orders[o.offering] >= protocol.MaxScaleOut {
			continue
		}
		if best == nil {
			best = o
			continue
		}
		cost, bestCost := o.cost*best.capacity.CPU.Float(), best.cost*o.capacity.CPU.Float()
		if o.costPerCPU() < best.costPerCPU() || cost == bestCost && p.planned(o.offering) < p.planned(best.offering) {
			best = o
		}
	}
	return best
}

func (o *pricedOffering) costPerCPU() float64 { return o.cost / o.capacity.CPU.Float() }

// result gives the orders, in the order of the offers.
func (p *scaleOutPlan) result() []Order {
	var out []Order
	for _, o := range p.offerings {
		if n := p.orders[o.offering]; n > 0 {
			out = append(out, Order{o.offering, min(n, protocol.MaxScaleOut)})
		}
	}
	return out
}
