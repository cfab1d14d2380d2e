package autoscaler

import (
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"dunestand/internal/fake"
	_ "dunestand/internal/fake/fixedseed"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

var testInstanceTypes = map[string]protocol.InstanceType{
	"small": {Name: "small", CPUs: 4, MemoryGB: 16, Price: 1, SpotPrice: 0.3, Zones: []string{"a", "b"}},
	"big":   {Name: "big", CPUs: 32, MemoryGB: 128, Price: 7, SpotPrice: 2, Zones: []string{"a"}},
}

// drawCapacityView draws a view of an empty fleet. At least one offering that all tasks allow
// is always available.
func drawCapacityView(t *rapid.T) *CapacityView {
	refused := map[Offering]bool{}
	for _, offering := range []Offering{{"small", "a", true}, {"small", "a", false}, {"big", "a", true}} {
		refused[offering] = rapid.Bool().Draw(t, "refused")
	}
	view := &CapacityView{
		InstanceTypes:  testInstanceTypes,
		Machines:       map[Offering]int{},
		SpotPreference: 1,
		ReserveCPUs:    units.Amount(rapid.IntRange(0, 100).Draw(t, "reserve")) * 1_000_000,
		Unavailable:    func(offering Offering) bool { return refused[offering] },
	}
	for range rapid.IntRange(0, 4).Draw(t, "demands") {
		spec := &protocol.JobSpec{
			Request:   fake.CPUs(rapid.IntRange(1, 4).Draw(t, "cpus")),
			AllowSpot: rapid.Bool().Draw(t, "spot"),
			Zone:      rapid.SampledFrom([]string{"", "b"}).Draw(t, "zone"),
		}
		view.Demand = append(view.Demand, TaskDemand{spec, rapid.IntRange(1, 30).Draw(t, "count")})
	}
	return view
}

// The ordered machines are of available offerings and cover the demand and the reserve, and
// repeated planning soon orders nothing more.
func TestScaleOutCoversDemandAndReserve(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view := drawCapacityView(t)
		for _, order := range PlanScaleOut(view) {
			if view.Unavailable(order.Offering) || order.Count <= 0 || order.Count > protocol.MaxScaleOut {
				t.Fatalf("order %+v is empty, too large or of an unavailable offering", order)
			}
			view.Machines[order.Offering] += order.Count
		}
		// Each pass treats the free capacity of an offering as one pool. A later pass may find
		// that tasks pack worse than assumed, but the number of passes must be small.
		for pass := 0; ; pass++ {
			again := PlanScaleOut(view)
			if len(again) == 0 {
				break
			}
			if pass == 5 {
				t.Fatalf("repeated planning still orders machines: %+v", again)
			}
			for _, order := range again {
				view.Machines[order.Offering] += order.Count
			}
		}
		var wanted, have units.Amount
		for _, demand := range view.Demand {
			wanted += demand.Spec.Request.CPU * units.Amount(demand.Count)
		}
		for offering, count := range view.Machines {
			have += units.AmountOf(testInstanceTypes[offering.InstanceType].CPUs) * units.Amount(count)
		}
		if have < max(wanted, view.ReserveCPUs) {
			t.Fatalf("ordered %v CPUs for a demand of %v and a reserve of %v", have, wanted, view.ReserveCPUs)
		}
	})
}

func TestScaleOutOrdersTheCheapestOffering(t *testing.T) {
	view := CapacityView{
		InstanceTypes:  testInstanceTypes,
		Machines:       map[Offering]int{},
		SpotPreference: 1,
		Unavailable:    func(Offering) bool { return false },
		Demand:         []TaskDemand{{&protocol.JobSpec{Request: fake.CPUs(4), AllowSpot: true}, 8}},
	}
	want := []Order{{Offering: Offering{"big", "a", true}, Count: 1}}
	if got := PlanScaleOut(&view); !reflect.DeepEqual(got, want) {
		t.Fatalf("got %+v, want %+v", got, want)
	}
}
