package autoscaler

import (
	"dunestand/internal/standin"
	_ "dunestand/internal/standin/fixedseed"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

var rentTypes = map[string]protocol.InstanceType{
	"small": {Name: "small", CPUs: 4, MemoryGB: 16, Price: 1, SpotPrice: 0.3, Zones: []string{"a", "b"}},
	"big":   {Name: "big", CPUs: 32, MemoryGB: 128, Price: 7, SpotPrice: 2, Zones: []string{"a"}},
}

// What is ordered covers the need and the reserve, on kinds that were not
// refused lately, and ordering comes to an end.
func TestScaleOutCoversTheDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		refused := map[Offering]bool{}
		for _, k := range []Offering{{"small", "a", true}, {"small", "a", false}, {"big", "a", true}} {
			refused[k] = rapid.Bool().Draw(t, "refused")
		}
		v := CapacityView{InstanceTypes: rentTypes, Machines: map[Offering]int{}, SpotPreference: 1,
			ReserveCPUs: units.Amount(rapid.IntRange(0, 100).Draw(t, "reserve")) * 1_000_000,
			Unavailable: func(k Offering) bool { return refused[k] }}
		for range rapid.IntRange(0, 4).Draw(t, "needs") {
			v.Demand = append(v.Demand, TaskDemand{&protocol.JobSpec{
				Request:   standin.CPUs(rapid.IntRange(1, 4).Draw(t, "cpus")),
				AllowSpot: rapid.Bool().Draw(t, "spot"),
				Zone:      rapid.SampledFrom([]string{"", "b"}).Draw(t, "zone"),
			},
				rapid.IntRange(1, 30).Draw(t, "count")})
		}
		for _, o := range PlanScaleOut(&v) {
			if refused[o.Offering] || o.Count <= 0 || o.Count > protocol.MaxScaleOut {
				t.Fatalf("order %+v", o)
			}
			v.Machines[o.Offering] += o.Count
		}
		// Rooms of one kind are reckoned as one pool, so a later pass may find
		// that tasks pack worse than thought; but it must come to an end.
		for pass := 0; ; pass++ {
			again := PlanScaleOut(&v)
			if len(again) == 0 {
				break
			}
			if pass == 5 {
				t.Fatalf("still ordering: %+v", again)
			}
			for _, o := range again {
				v.Machines[o.Offering] += o.Count
			}
		}
		var need, have units.Amount
		for _, n := range v.Demand {
			need += n.Spec.Request.CPU * units.Amount(n.Count)
		}
		for k, n := range v.Machines {
			have += units.AmountOf(rentTypes[k.InstanceType].CPUs) * units.Amount(n)
		}
		if have < max(need, v.ReserveCPUs) {
			t.Fatalf("%v processors for a need of %v and a reserve of %v", have, need, v.ReserveCPUs)
		}
	})
}

func TestScaleOutTakesTheCheapestOffering(t *testing.T) {
	v := CapacityView{
		InstanceTypes:  rentTypes,
		Machines:       map[Offering]int{},
		SpotPreference: 1,
		Unavailable:    func(Offering) bool { return false },
		Demand:         []TaskDemand{{&protocol.JobSpec{Request: standin.CPUs(4), AllowSpot: true}, 8}},
	}
	want := []Order{{Offering{"big", "a", true}, 1}}
	if got := PlanScaleOut(&v); !reflect.DeepEqual(got, want) {
		t.Fatalf("got %+v, want %+v", got, want)
	}
}
