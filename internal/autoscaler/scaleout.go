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

const (
	// scaleOutPasses bounds how often in a row the plan is made anew after refusals.
	scaleOutPasses = 8
	// maxScaleOutCalls is how many requests to the cloud are on their way at a time.
	maxScaleOutCalls = 3

	// How long an offering is left alone that had too few machines: twice as long each time.
	minCapacityBackoff = 8 * units.Second
	maxCapacityBackoff = 40 * units.Second
)

// capacityBackoff says until when an offering is left alone, and how long that is in all.
type capacityBackoff struct {
	until units.Micros
	delay units.Micros
}

// scaleOut rents what is wanted. What one offering refuses is asked of the next
// at once: a boot takes long enough.
func (as *Autoscaler) scaleOut(ctx context.Context) {
	for range scaleOutPasses {
		orders := as.ordersToSend()
		if len(orders) == 0 {
			return
		}
		unanswered := as.sendOrders(ctx, orders)
		as.State.Lock()
		as.provisioning.unanswered = unanswered
		as.State.Unlock()
		if len(unanswered) > 0 {
			return
		}
	}
}

// ordersToSend returns the requests that got no answer, to be sent again under the same IDs,
// or, if there are none, new ones.
func (as *Autoscaler) ordersToSend() []protocol.ScaleOutRequest {
	as.State.Lock()
	defer as.State.Unlock()
	if len(as.provisioning.unanswered) == 0 {
		as.provisioning.unanswered = as.scaleOutOrders(as.Clock.Steady())
	}
	return as.provisioning.unanswered
}

// sendOrders sends the requests, some at a time, waits for all of them, and returns those that
// got no answer.
func (as *Autoscaler) sendOrders(ctx context.Context, orders []protocol.ScaleOutRequest) []protocol.ScaleOutRequest {
	var calls sync.WaitGroup
	slots := make(chan struct{}, maxScaleOutCalls)
	answered := make([]bool, len(orders))
	for i, request := range orders {
		slots <- struct{}{}
		calls.Go(func() {
			answered[i] = as.requestMachines(ctx, request)
			<-slots
		})
	}
	calls.Wait()
	var unanswered []protocol.ScaleOutRequest
	for i, request := range orders {
		if !answered[i] {
			unanswered = append(unanswered, request)
		}
	}
	return unanswered
}

// requestMachines sends one request and reports whether it was answered.
func (as *Autoscaler) requestMachines(ctx context.Context, request protocol.ScaleOutRequest) bool {
	ids, err := as.Cloud.ScaleOut(ctx, request)
	if err != nil && !errors.Is(err, cloud.ErrNoCapacity) {
		as.Log.Debug("scale-out request not answered", "request", request.RequestID, "error", err)
		return false
	}
	as.State.Lock()
	defer as.State.Unlock()
	now := as.Clock.Steady()
	as.noteCapacity(Offering{request.InstanceType, request.Zone, request.Spot}, len(ids) < request.Count, now)
	for _, id := range ids {
		if as.State.Released.Has(id) {
			continue
		}
		m := as.State.EnsureMachine(id, request.InstanceType, request.Zone, request.Spot, now)
		if m.Stage == "" {
			m.Stage = protocol.MachineBooting
		}
	}
	as.Log.Info("scaled out", "request", request.RequestID, "type", request.InstanceType, "zone", request.Zone, "spot", request.Spot,
		"asked", request.Count, "got", ids)
	return true
}

// noteCapacity notes whether the cloud had too few machines of an offering.
func (as *Autoscaler) noteCapacity(offering Offering, exhausted bool, now units.Micros) {
	if !exhausted {
		delete(as.provisioning.unavailable, offering)
		return
	}
	last := as.provisioning.unavailable[offering]
	delay := min(max(2*last.delay, minCapacityBackoff), maxCapacityBackoff)
	as.provisioning.unavailable[offering] = capacityBackoff{until: now + delay, delay: delay}
}

// scaleOutOrders returns what is wanted as requests with IDs never used before: the
// fencing token is in them, and no two leaders have the same one.
func (as *Autoscaler) scaleOutOrders(now units.Micros) []protocol.ScaleOutRequest {
	if len(as.State.InstanceTypes) == 0 || as.provisioning.listReadAt == 0 {
		return nil // what there is, is not known yet
	}
	view := as.capacityView(as.PolicyInput())
	view.Unavailable = func(offering Offering) bool { return now < as.provisioning.unavailable[offering].until }
	var requests []protocol.ScaleOutRequest
	for _, order := range PlanScaleOut(&view) {
		as.scaleOutRequests++
		requests = append(requests, protocol.ScaleOutRequest{
			RequestID:    fmt.Sprintf("r-%d-%d", as.Token, as.scaleOutRequests),
			InstanceType: order.Offering.InstanceType,
			Zone:         order.Offering.Zone,
			Spot:         order.Offering.Spot,
			Count:        order.Count,
		})
	}
	return requests
}
