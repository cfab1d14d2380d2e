package autoscaler

import (
	"dunestand/internal/cluster"
	"dunestand/internal/scheduler"
	"dunestand/internal/sorted"
	"dunestand/internal/units"
)

// Offering is what the cloud rents machines of: an instance type in a zone, as a spot instance
// or not.
type Offering struct {
	InstanceType, Zone string
	Spot               bool
}

// offeringOf returns the offering that a machine is of.
func offeringOf(m *cluster.Machine) Offering { return Offering{m.InstanceType, m.Zone, m.Spot} }

// bootTime returns how long a machine's instance type takes to boot.
func (as *Autoscaler) bootTime(m *cluster.Machine) units.Micros {
	return units.Seconds(as.State.InstanceTypes[m.InstanceType].BootS)
}

// price returns what a machine costs, as the catalog states it.
func (as *Autoscaler) price(m *cluster.Machine) float64 {
	instanceType := as.State.InstanceTypes[m.InstanceType]
	if m.Spot {
		return instanceType.SpotPrice
	}
	return instanceType.Price
}

// minSpotPreference keeps the cost of spot instances above zero, so that they are still
// compared by price.
const minSpotPreference = 0.01

// pricedOffering is an offering with its machines' capacity and what one costs, for a spot
// instance weighted by the policy's preference.
type pricedOffering struct {
	offering Offering
	capacity units.Resources
	cost     float64
}

// pricedOfferings returns all offerings, in a fixed order.
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

// allows reports whether tasks may be on machines of the offering.
func (o *pricedOffering) allows(demand TaskDemand) bool {
	return scheduler.PlacementAllowed(demand.Spec, o.offering.InstanceType, o.offering.Zone, o.offering.Spot)
}

func (o *pricedOffering) costPerCPU() float64 { return o.cost / o.capacity.CPU.Float() }
