package autoscaler

import (
	"cmp"
	"slices"

	"dunestand/internal/protocol"
	"dunestand/internal/scheduler"
	"dunestand/internal/units"
)

// CapacityView is the input of PlanScaleOut.
type CapacityView struct {
	InstanceTypes  map[string]protocol.InstanceType // by name
	Machines       map[Offering]int                 // number of machines, including those expected to finish booting
	Demand         []TaskDemand
	ReserveCPUs    units.Amount // minimum CPUs of the fleet, whatever the demand is
	SpotPreference float64      // weight of a spot instance's price
	// Unplaceable are waiting tasks, part of Demand, for which the existing machines have no room.
	Unplaceable []scheduler.UnplaceableTasks
	QuotaLeft   map[string]units.Resources // what the unplaceable tasks may use, by team
	// Unavailable reports whether the cloud recently had too few machines of an offering.
	Unavailable func(Offering) bool
}

// Order is a number of machines of an offering to rent.
type Order struct {
	Offering Offering
	Count    int
	// For holds the IDs of the jobs with unplaceable tasks that Count was raised for.
	For []string
}

// PlanScaleOut returns the machines to rent: first those that the demand needs in addition to
// the existing machines, of the cheapest available offering that the tasks allow, then those
// that are missing from the reserve. So far it treats the capacity of an offering's machines as
// one pool, as if all tasks could be moved. Last it orders machines for the tasks that have no room
// on any single machine and get none on those ordered so far.
func PlanScaleOut(view *CapacityView) []Order {
	p := newScaleOutPlan(view)
	for _, demand := range p.orderedDemand() {
		if left := p.useFreeCapacity(demand); left > 0 {
			p.orderFor(demand, left)
		}
	}
	p.orderReserve()
	p.orderUnplaceable()
	return p.result()
}

// unmetTaskCount returns the number of tasks of the demand for which the existing machines have no
// capacity, treated as one pool for each offering.
func unmetTaskCount(view *CapacityView) int {
	p := newScaleOutPlan(view)
	count := 0
	for _, demand := range p.orderedDemand() {
		count += p.useFreeCapacity(demand)
	}
	return count
}

// scaleOutPlan holds the state of one call of PlanScaleOut.
type scaleOutPlan struct {
	view         *CapacityView
	offerings    []pricedOffering
	freeCapacity map[Offering]units.Resources // unclaimed capacity of existing and ordered machines
	orders       map[Offering]int             // number of machines
	orderedFor   map[Offering][]string        // IDs of the jobs for whose unplaceable tasks machines are ordered
	totalCPU     units.Amount                 // CPUs of existing and ordered machines
}

func newScaleOutPlan(view *CapacityView) *scaleOutPlan {
	p := &scaleOutPlan{
		view:         view,
		offerings:    pricedOfferings(view),
		freeCapacity: map[Offering]units.Resources{},
		orders:       map[Offering]int{},
		orderedFor:   map[Offering][]string{},
	}
	for _, o := range p.offerings {
		p.addMachines(o, view.Machines[o.offering])
	}
	return p
}

// addMachines adds the capacity of count machines of an offering.
func (p *scaleOutPlan) addMachines(o pricedOffering, count int) {
	p.freeCapacity[o.offering] = p.freeCapacity[o.offering].Plus(o.capacity, count)
	p.totalCPU += o.capacity.CPU * units.Amount(count)
}

// order orders count machines of an offering.
func (p *scaleOutPlan) order(o pricedOffering, count int) {
	p.orders[o.offering] += count
	p.addMachines(o, count)
}

// orderedDemand returns the demand with the tasks first that allow the fewest offerings, before
// others use up the capacity there.
func (p *scaleOutPlan) orderedDemand() []TaskDemand {
	demands := slices.Clone(p.view.Demand)
	slices.SortStableFunc(demands, func(a, b TaskDemand) int { return cmp.Compare(p.allowedOfferingCount(a), p.allowedOfferingCount(b)) })
	return demands
}

// allowedOfferingCount returns the number of offerings that the tasks allow.
func (p *scaleOutPlan) allowedOfferingCount(demand TaskDemand) int {
	count := 0
	for i := range p.offerings {
		if p.offerings[i].allows(demand) {
			count++
		}
	}
	return count
}

// useFreeCapacity claims free capacity for tasks and returns the number of tasks that do not
// fit.
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

// planned returns the number of existing and ordered machines of an offering.
func (p *scaleOutPlan) planned(offering Offering) int {
	return p.view.Machines[offering] + p.orders[offering]
}

// orderFor orders machines for a number of tasks, of the available offering with the lowest
// cost per task. Of offerings with equal cost it takes the one with fewer planned machines. It
// orders nothing if there is no such offering.
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

// orderReserve orders machines one by one until the fleet has the CPUs of the reserve or
// no offering is available.
func (p *scaleOutPlan) orderReserve() {
	for p.totalCPU < p.view.ReserveCPUs {
		best := p.cheapestPerCPU()
		if best == nil {
			return
		}
		p.order(*best, 1)
	}
}

// cheapestPerCPU returns the offering with the lowest cost per CPU of those that are
// available and not yet ordered up to the limit of a request. Of offerings with equal cost it
// returns the one with fewer planned machines. It returns nil if there is none.
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
		// Equality is tested on products: quotients of equal costs may differ by rounding.
		cost, bestCost := o.cost*best.capacity.CPU.Float(), best.cost*o.capacity.CPU.Float()
		if o.costPerCPU() < best.costPerCPU() || cost == bestCost && p.planned(o.offering) < p.planned(best.offering) {
			best = o
		}
	}
	return best
}

// result returns the orders in the sequence of the offerings, each limited to the size of a
// request.
func (p *scaleOutPlan) result() []Order {
	var orders []Order
	for _, o := range p.offerings {
		if count := p.orders[o.offering]; count > 0 {
			orders = append(orders, Order{o.offering, min(count, protocol.MaxScaleOut), p.orderedFor[o.offering]})
		}
	}
	return orders
}
