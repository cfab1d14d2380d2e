package autoscaler

import (
	"maps"
	"slices"

	"dunestand/internal/protocol"
	"dunestand/internal/scheduler"
	"dunestand/internal/units"
)

// orderedMachine is a machine that the plan orders, with the capacity that no unplaceable task has
// been promised.
type orderedMachine struct {
	offering *pricedOffering
	free     units.Resources
}

// roomSearch tracks the unplaceable tasks of one job while the plan finds room for them.
type roomSearch struct {
	tasks  *scheduler.UnplaceableTasks
	left   int            // tasks without room
	inZone map[string]int // tasks that got room, by zone
}

// allowedIn returns how many of the tasks without room may go to a zone.
func (s *roomSearch) allowedIn(zone string) int {
	if s.tasks.Spec.ZoneAffinity {
		for other, tasks := range s.inZone {
			if other != zone && tasks > 0 {
				return 0
			}
		}
	}
	return min(s.left, s.tasks.TasksWithinZone(zone)-s.inZone[zone])
}

// allows reports whether the tasks may run on machines of an offering, wherever the job's other
// tasks are.
func (s *roomSearch) allows(offering Offering) bool {
	return scheduler.PlacementAllowed(s.tasks.Spec, offering.InstanceType, offering.Zone, offering.Spot)
}

// place promises a machine's free capacity to as many of the tasks as fit there.
func (s *roomSearch) place(m *orderedMachine) {
	offering := m.offering.offering
	if !s.allows(offering) {
		return
	}
	count := min(s.allowedIn(offering.Zone), m.free.CountFitting(s.tasks.Spec.Request))
	if count <= 0 {
		return
	}
	m.free = m.free.Plus(s.tasks.Spec.Request, -count)
	s.inZone[offering.Zone] += count
	s.left -= count
}

// orderUnplaceable orders machines for the unplaceable tasks that do not fit on machines which the
// plan orders anyway.
func (p *scaleOutPlan) orderUnplaceable() {
	if len(p.view.Unplaceable) == 0 {
		return
	}
	machines := p.orderedMachines()
	quotaLeft := maps.Clone(p.view.QuotaLeft)
	foundRoom := false // for all tasks of the preceding element
	for i := range p.view.Unplaceable {
		tasks := &p.view.Unplaceable[i]
		if tasks.Fallback && foundRoom {
			continue
		}
		request, team := tasks.Spec.Request, tasks.Spec.Team
		wanted := min(tasks.Count, quotaLeft[team].CountFitting(request))
		search := &roomSearch{tasks: tasks, left: wanted, inZone: map[string]int{}}
		if tasks.Spec.Kind == protocol.Gang {
			machines = p.findRoomForGang(search, machines)
		} else {
			machines = p.findRoom(search, machines)
		}
		quotaLeft[team] = quotaLeft[team].Plus(request, search.left-wanted)
		foundRoom = search.left == 0
	}
}

// findRoomForGang is findRoom for a gang, which starts only as a whole: it orders nothing unless all
// tasks get room.
func (p *scaleOutPlan) findRoomForGang(search *roomSearch, machines []orderedMachine) []orderedMachine {
	before := *p
	before.orders, before.orderedFor = maps.Clone(p.orders), maps.Clone(p.orderedFor)
	unchanged := slices.Clone(machines)
	wanted := search.left
	if wanted < search.tasks.Count {
		return machines
	}
	machines = p.findRoom(search, machines)
	if search.left == 0 {
		return machines
	}
	p.orders, p.orderedFor, p.totalCPU = before.orders, before.orderedFor, before.totalCPU
	search.left = wanted
	return unchanged
}

// findRoom promises the capacity of ordered machines to the tasks of a search, and orders machines for
// the rest. It returns the ordered machines with those that it added.
func (p *scaleOutPlan) findRoom(search *roomSearch, machines []orderedMachine) []orderedMachine {
	for i := range machines {
		search.place(&machines[i])
	}
	for search.left > 0 {
		ordered := p.orderRoom(search)
		if ordered == nil {
			break // no available offering allows these tasks
		}
		machines = append(machines, ordered...)
	}
	return machines
}

// orderedMachines returns the machines that the plan orders so far.
func (p *scaleOutPlan) orderedMachines() []orderedMachine {
	var machines []orderedMachine
	for i := range p.offerings {
		o := &p.offerings[i]
		for range p.orders[o.offering] {
			machines = append(machines, orderedMachine{o, o.capacity})
		}
	}
	return machines
}

// orderRoom orders machines of the best offering for as many of the tasks as may go to its zone, and
// returns these machines. It returns nil if there is no such offering.
func (p *scaleOutPlan) orderRoom(search *roomSearch) []orderedMachine {
	best, count := p.bestOfferingFor(search)
	if best == nil {
		return nil
	}
	p.order(*best, count)
	p.orderedFor[best.offering] = append(p.orderedFor[best.offering], search.tasks.Spec.ID)
	machines := make([]orderedMachine, count)
	for i := range machines {
		machines[i] = orderedMachine{best, best.capacity}
		search.place(&machines[i])
	}
	return machines
}

// bestOfferingFor returns the available offering with the lowest cost per task, if as many of the
// tasks as may go to its zone run on new machines of it, and the number of these machines. Of
// offerings with equal cost it returns the one with fewer planned machines. It returns nil if there
// is none.
func (p *scaleOutPlan) bestOfferingFor(search *roomSearch) (best *pricedOffering, machines int) {
	bestCost := 0.0
	for i := range p.offerings {
		o := &p.offerings[i]
		fits := o.capacity.CountFitting(search.tasks.Spec.Request)
		allowed := search.allowedIn(o.offering.Zone)
		if fits == 0 || allowed <= 0 || !search.allows(o.offering) || p.view.Unavailable(o.offering) {
			continue
		}
		count := (allowed + fits - 1) / fits
		cost := o.cost * float64(count) / float64(allowed)
		if best == nil || cost < bestCost || cost == bestCost && p.planned(o.offering) < p.planned(best.offering) {
			best, machines, bestCost = o, count, cost
		}
	}
	return best, machines
}
