package autoscaler

import (
	"cmp"
	"slices"

	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// CapacityView is what a scale-out is planned on.
type CapacityView struct {
	InstanceTypes  map[string]protocol.InstanceType // by name
	Machines       map[Offering]int                 // machines that work or are thought to come up
	Demand         []TaskDemand
	ReserveCPUs    units.Amount // processors to keep whatever the demand is
	SpotPreference float64      // weight of a spot instance's price
	// Unavailable reports whether the cloud refused machines of an offering a short time ago.
	Unavailable func(Offering) bool
}

// Order is a number of machines of an offering to rent.
type Order struct {
	Offering Offering
	Count    int
}

// PlanScaleOut returns what to rent: what the tasks need beyond what there
// is, of the cheapest offerings that they allow and that were not refused lately,
// and then the reserve. The free capacity of an offering's machines is reckoned as one pool.
func PlanScaleOut(view *CapacityView) []Order {
	p := newScaleOutPlan(view)
	demands := slices.Clone(view.Demand)
	// What has the fewest offerings to choose from chooses first.
	slices.SortStableFunc(demands, func(a, b TaskDemand) int { return cmp.Compare(p.choices(a), p.choices(b)) })
	for _, demand := range demands {
		if left := p.useFreeCapacity(demand); left > 0 {
			p.orderFor(demand, left)
		}
	}
	p.orderReserve()
	return p.result()
}

// scaleOutPlan is a scale-out in the making.
type scaleOutPlan struct {
	view         *CapacityView
	offerings    []pricedOffering
	freeCapacity map[Offering]units.Resources // left, of what there is and what is ordered
	orders       map[Offering]int             // machines
	totalCPU     units.Amount                 // of what there is and what is ordered
}

func newScaleOutPlan(view *CapacityView) *scaleOutPlan {
	p := &scaleOutPlan{
		view:         view,
		offerings:    pricedOfferings(view),
		freeCapacity: map[Offering]units.Resources{},
		orders:       map[Offering]int{},
	}
	for _, o := range p.offerings {
		p.addMachines(o, view.Machines[o.offering])
	}
	return p
}

// addMachines adds the capacity of some machines.
func (p *scaleOutPlan) addMachines(o pricedOffering, count int) {
	p.freeCapacity[o.offering] = p.freeCapacity[o.offering].Plus(o.capacity, count)
	p.totalCPU += o.capacity.CPU * units.Amount(count)
}

// order orders some machines.
func (p *scaleOutPlan) order(o pricedOffering, count int) {
	p.orders[o.offering] += count
	p.addMachines(o, count)
}

// choices counts the offerings that tasks may be on.
func (p *scaleOutPlan) choices(demand TaskDemand) int {
	count := 0
	for i := range p.offerings {
		if p.offerings[i].allows(demand) {
			count++
		}
	}
	return count
}

// useFreeCapacity claims free capacity for tasks and returns how many of them find none.
func (p *scaleOutPlan) useFreeCapacity(demand TaskDemand) int {
	left := demand.Count
	for i := range p.offerings {
		o := &p.offerings[i]
		free := p.freeCapacity[o.offering]
		if fit := min(left, free.CountFitting(demand.Spec.Request)); fit > 0 && o.allows(demand) {
			p.freeCapacity[o.offering] = free.Plus(demand.Spec.Request, -fit)
			left -= fit
		}
	}
	return left
}

// planned returns how many machines of an offering there are and are ordered.
func (p *scaleOutPlan) planned(offering Offering) int {
	return p.view.Machines[offering] + p.orders[offering]
}

// orderFor orders machines for a number of tasks, of the offering that is cheapest for each
// task. Of those alike it is the one with fewer machines.
func (p *scaleOutPlan) orderFor(demand TaskDemand, tasks int) {
	var best *pricedOffering
	bestCost, bestFits := 0.0, 0
	for i := range p.offerings {
		o := &p.offerings[i]
		fits := o.capacity.CountFitting(demand.Spec.Request)
		if fits == 0 || p.view.Unavailable(o.offering) || !o.allows(demand) {
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
	p.freeCapacity[best.offering] = p.freeCapacity[best.offering].Plus(demand.Spec.Request, -tasks)
}

// orderReserve orders what lacks to the reserve, machine by machine.
func (p *scaleOutPlan) orderReserve() {
	for p.totalCPU < p.view.ReserveCPUs {
		best := p.cheapestPerCPU()
		if best == nil {
			return
		}
		p.order(*best, 1)
	}
}

// cheapestPerCPU returns the offering of which more may be ordered whose processors cost
// least; of those alike, the one with fewer machines. It returns nil if there is none.
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
		// Multiplied out, since quotients of equal costs may differ in their last digit.
		cost, bestCost := o.cost*best.capacity.CPU.Float(), best.cost*o.capacity.CPU.Float()
		if o.costPerCPU() < best.costPerCPU() || cost == bestCost && p.planned(o.offering) < p.planned(best.offering) {
			best = o
		}
	}
	return best
}

// result returns the orders, in the order of the offerings.
func (p *scaleOutPlan) result() []Order {
	var orders []Order
	for _, o := range p.offerings {
		if count := p.orders[o.offering]; count > 0 {
			orders = append(orders, Order{o.offering, min(count, protocol.MaxScaleOut)})
		}
	}
	return orders
}
