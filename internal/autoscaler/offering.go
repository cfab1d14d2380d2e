package autoscaler

import (
	"dunestand/internal/cluster"
	"dunestand/internal/scheduler"
	"dunestand/internal/sorted"
	"dunestand/internal/units"
)

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

// allows tells whether a need's tasks may be on machines of an offered kind.
func (o *pricedOffering) allows(n TaskDemand) bool {
	return scheduler.PlacementAllowed(n.Spec, o.offering.InstanceType, o.offering.Zone, o.offering.Spot)
}

func (o *pricedOffering) costPerCPU() float64 { return o.cost / o.capacity.CPU.Float() }
