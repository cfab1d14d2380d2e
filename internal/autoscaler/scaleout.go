package autoscaler

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"dunestand/internal/cloud"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// scaleOut rents what is wanted. What one kind refuses is asked of the next
// at once: a boot takes long enough.
func (as *Autoscaler) scaleOut(ctx context.Context) {
	for range scaleOutPasses {
		as.State.Lock()
		if len(as.provisioning.unanswered) == 0 {
			as.provisioning.unanswered = as.scaleOutOrders(as.Clock.Steady())
		}
		orders := as.provisioning.unanswered
		as.State.Unlock()
		if len(orders) == 0 {
			return
		}
		var wg sync.WaitGroup
		slots := make(chan struct{}, maxScaleOutCalls)
		unanswered := make([]bool, len(orders))
		for i, r := range orders {
			slots <- struct{}{}
			wg.Add(1)
			go func() {
				defer wg.Done()
				unanswered[i] = !as.requestMachines(ctx, r)
				<-slots
			}()
		}
		wg.Wait()
		var open []protocol.ScaleOutRequest // sent again under the same names
		for i, r := range orders {
			if unanswered[i] {
				open = append(open, r)
			}
		}
		as.State.Lock()
		as.provisioning.unanswered = open
		as.State.Unlock()
		if len(open) > 0 {
			return
		}
	}
}

// requestMachines sends one request and tells whether it was answered.
func (as *Autoscaler) requestMachines(ctx context.Context, r protocol.ScaleOutRequest) bool {
	names, err := as.Cloud.ScaleOut(ctx, r)
	if err != nil && !errors.Is(err, cloud.ErrNoCapacity) {
		as.Log.Debug("rent not answered", "request", r.RequestID, "error", err)
		return false
	}
	as.State.Lock()
	defer as.State.Unlock()
	now := as.Clock.Steady()
	kind := Offering{r.InstanceType, r.Zone, r.Spot}
	if len(names) < r.Count {
		was := as.provisioning.unavailable[kind]
		wait := min(max(2*was.delay, minCapacityBackoff), maxCapacityBackoff)
		as.provisioning.unavailable[kind] = capacityBackoff{now + wait, wait}
	} else {
		delete(as.provisioning.unavailable, kind)
	}
	for _, id := range names {
		if !as.State.Released.Has(id) {
			m := as.State.EnsureMachine(id, r.InstanceType, r.Zone, r.Spot, now)
			if m.Stage == "" {
				m.Stage = protocol.MachineBooting
			}
		}
	}
	as.Log.Info("machines rented", "request", r.RequestID, "type", r.InstanceType, "zone", r.Zone, "spot", r.Spot, "asked", r.Count, "got", names)
	return true
}

// scaleOutOrders turns what is wanted into requests with names never used before: the
// term is in them, and no two terms are alike.
func (as *Autoscaler) scaleOutOrders(now units.Micros) []protocol.ScaleOutRequest {
	if len(as.State.InstanceTypes) == 0 || as.provisioning.listReadAt == 0 {
		return nil // what there is, is not known yet
	}
	v := as.capacityView(as.PolicyInput())
	v.Unavailable = func(k Offering) bool { return now < as.provisioning.unavailable[k].until }
	var out []protocol.ScaleOutRequest
	for _, o := range PlanScaleOut(&v) {
		as.scaleOutRequests++
		out = append(out, protocol.ScaleOutRequest{RequestID: fmt.Sprintf("r-%d-%d", as.Token, as.scaleOutRequests),
			InstanceType: o.Offering.InstanceType, Zone: o.Offering.Zone, Spot: o.Offering.Spot, Count: o.Count})
	}
	return out
}

type capacityBackoff struct {
	until units.Micros
	delay units.Micros
}
