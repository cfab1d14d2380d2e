package autoscaler

import (
	"dunestand/internal/cluster"
	"dunestand/internal/scheduler"
	"dunestand/internal/sorted"
	"dunestand/internal/units"
)

// Offering is a kind of machine that the cloud rents: an instance type in a zone, as a spot
// instance or not.
type Offering struct {
	InstanceType, Zone string
	Spot               bool
}

// offeringOf returns the offering of a machine.
func offeringOf(m *cluster.Machine) Offering { return Offering{m.InstanceType, m.Zone, m.Spot} }

// bootTime returns the boot time of a machine's instance type; 0 if the catalog lacks the type.
func (as *Autoscaler) bootTime(m *cluster.Machine) units.Micros {
	return units.Seconds(as.State.InstanceTypes[m.InstanceType].BootSeconds)
}

// price returns a machine's price in the catalog.
func (as *Autoscaler) price(m *cluster.Machine) float64 {
	instanceType := as.State.InstanceTypes[m.InstanceType]
	if m.Spot {
		return instanceType.SpotPrice
	}
	return instanceType.Price
}

// minSpotPreference is the lowest weight of spot prices. A weight of 0 would make the cost of
// all spot instances equal, and their prices would not be compared.
const minSpotPreference = 0.01

// pricedOffering is an offering with the capacity and the cost of one machine. The cost is the
// price in the catalog, multiplied by the policy's spot preference for a spot instance.
type pricedOffering struct {
	offering Offering
	capacity units.Resources
	cost     float64
}

// pricedOfferings returns all offerings of the catalog in a deterministic order.
func pricedOfferings(view *CapacityView) []pricedOffering {
	var offerings []pricedOffering
	for _, name := range sorted.Keys(view.InstanceTypes) {
		instanceType := view.InstanceTypes[name]
		capacity := cluster.CapacityOf(instanceType)
		spotCost := instanceType.SpotPrice * max(view.SpotPreference, minSpotPreference)
		for _, zone := range instanceType.Zones {
			offerings = append(offerings,
				pricedOffering{Offering{name, zone, false}, capacity, instanceType.Price},
				pricedOffering{Offering{name, zone, true}, capacity, spotCost})
		}
	}
	return offerings
}

// allows reports whether the tasks may run on machines of the offering.
func (o *pricedOffering) allows(demand TaskDemand) bool {
	return scheduler.PlacementAllowed(demand.Spec, o.offering.InstanceType, o.offering.Zone, o.offering.Spot)
}

func (o *pricedOffering) costPerCPU() float64 { return o.cost / o.capacity.CPU.Float() }
