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
	// maxScaleOutPasses limits how often scaleOut plans again after the cloud had too few
	// machines of an offering.
	maxScaleOutPasses = 8
	// maxScaleOutCalls is the maximum number of concurrent requests to the cloud.
	maxScaleOutCalls = 3

	// Bounds of the time for which an offering is not ordered after the cloud had too few
	// machines of it. The time doubles with each further refusal.
	minCapacityBackoff = 8 * units.Second
	maxCapacityBackoff = 40 * units.Second
)

// capacityBackoff is the backoff of an offering of which the cloud had too few machines.
type capacityBackoff struct {
	until units.Micros // steady time until which the offering is not ordered
	delay units.Micros // total length of the backoff
}

// scaleOut plans and requests machines. If the cloud has too few machines of an offering,
// scaleOut at once requests the rest from the next best offering: the boot alone delays the
// capacity enough. It returns early if a request gets no response.
func (as *Autoscaler) scaleOut(ctx context.Context) {
	for range maxScaleOutPasses {
		requests := as.requestsToSend()
		if len(requests) == 0 {
			return
		}
		unanswered := as.sendRequests(ctx, requests)
		as.State.Lock()
		as.provisioning.unanswered = unanswered
		as.State.Unlock()
		if len(unanswered) > 0 {
			return
		}
	}
}

// requestsToSend returns the unanswered requests, to be sent again under the same IDs, or new
// requests if there are none.
func (as *Autoscaler) requestsToSend() []protocol.ScaleOutRequest {
	as.State.Lock()
	defer as.State.Unlock()
	if len(as.provisioning.unanswered) == 0 {
		as.provisioning.unanswered = as.planRequests(as.Clock.Steady())
	}
	return as.provisioning.unanswered
}

// sendRequests sends the requests, at most maxScaleOutCalls concurrently, waits for all of them,
// and returns those that got no response.
func (as *Autoscaler) sendRequests(ctx context.Context, requests []protocol.ScaleOutRequest) []protocol.ScaleOutRequest {
	var calls sync.WaitGroup
	slots := make(chan struct{}, maxScaleOutCalls)
	answered := make([]bool, len(requests))
	for i, request := range requests {
		slots <- struct{}{}
		calls.Go(func() {
			answered[i] = as.requestMachines(ctx, request)
			<-slots
		})
	}
	calls.Wait()
	var unanswered []protocol.ScaleOutRequest
	for i, request := range requests {
		if !answered[i] {
			unanswered = append(unanswered, request)
		}
	}
	return unanswered
}

// requestMachines sends one request, adds the machines in the response to the state, and reports
// whether there was a response. A lack of capacity is a response.
func (as *Autoscaler) requestMachines(ctx context.Context, request protocol.ScaleOutRequest) bool {
	ids, err := as.Cloud.ScaleOut(ctx, request)
	if err != nil && !errors.Is(err, cloud.ErrNoCapacity) {
		as.Log.Debug("scale-out request not answered", "request", request.RequestID, "error", err)
		return false
	}
	as.State.Lock()
	defer as.State.Unlock()
	now := as.Clock.Steady()
	as.updateCapacityBackoff(Offering{request.InstanceType, request.Zone, request.Spot}, len(ids) < request.Count, now)
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

// updateCapacityBackoff starts or prolongs the backoff of an offering if it is exhausted, that
// is, if the cloud had too few machines of it, and ends the backoff otherwise.
func (as *Autoscaler) updateCapacityBackoff(offering Offering, exhausted bool, now units.Micros) {
	if !exhausted {
		delete(as.provisioning.unavailable, offering)
		return
	}
	last := as.provisioning.unavailable[offering]
	delay := min(max(2*last.delay, minCapacityBackoff), maxCapacityBackoff)
	as.provisioning.unavailable[offering] = capacityBackoff{until: now + delay, delay: delay}
}

// planRequests plans a scale-out and returns it as requests. Their IDs are unique, also
// between leaders, since they contain the fencing token. It returns none until the catalog and
// the machine list have been read.
func (as *Autoscaler) planRequests(now units.Micros) []protocol.ScaleOutRequest {
	if len(as.State.InstanceTypes) == 0 || as.provisioning.listReadAt == 0 {
		return nil // the existing capacity is unknown
	}
	view := as.capacityView(as.PolicyInput())
	as.addOverdueTasks(&view, now)
	view.Unavailable = func(offering Offering) bool { return now < as.provisioning.unavailable[offering].until }
	var requests []protocol.ScaleOutRequest
	for _, order := range PlanScaleOut(&view) {
		as.scaleOutRequests++
		request := protocol.ScaleOutRequest{
			RequestID:    fmt.Sprintf("r-%d-%d", as.Token, as.scaleOutRequests),
			InstanceType: order.Offering.InstanceType,
			Zone:         order.Offering.Zone,
			Spot:         order.Offering.Spot,
			Count:        order.Count,
		}
		if len(order.For) > 0 {
			as.Log.Info("waiting tasks have no room", "request", request.RequestID, "first_job", order.For[0], "jobs", len(order.For))
		}
		requests = append(requests, request)
	}
	return requests
}
