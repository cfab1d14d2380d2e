package coordination

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"dunestand/internal/cloud"
	"dunestand/internal/config"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// provisioningState is what the cloud loop remembers.
type provisioningState struct {
	catalog        protocol.Catalog
	catalogStored  map[string]uint64 // versions, by key
	catalogFormat  int               // in which it was stored last
	catalogReadAt  units.Micros
	listReadAt     units.Micros
	listedMachines int // machines in the last list
	unavailable    map[Offering]capacityBackoff
	unanswered     []protocol.ScaleOutRequest // sent, and not answered yet
}

type capacityBackoff struct {
	until units.Micros
	delay units.Micros
}

func newProvisioningState() provisioningState {
	return provisioningState{unavailable: map[Offering]capacityBackoff{}, catalogStored: map[string]uint64{}}
}

const (
	autoscaleInterval  = 500 * units.Millisecond
	catalogInterval    = 60 * units.Second
	scaleOutPasses     = 8
	maxScaleOutCalls   = 3
	minCapacityBackoff = 8 * units.Second
	maxCapacityBackoff = 40 * units.Second
	bootGraceFactor    = 3 // boot times until a machine is not reckoned with
	bootTimeoutFactor  = 6 // boot times until it is given up
	// A worker that looks for a new leader tries the next node after 1 s, and
	// waits 4 s on each that does not answer.
	leaderSearchStart   = 2500 * units.Millisecond
	leaderSearchPerNode = 5 * units.Second
)

// autoscaleLoop keeps the rented machines as wanted.
func (t *Leader) autoscaleLoop(ctx context.Context) {
	for wait := units.Micros(0); sleep(ctx, wait); wait = autoscaleInterval {
		if !t.Elector.Valid(t.token) {
			continue
		}
		now := t.Clock.Steady()
		if t.provisioning.catalogReadAt == 0 || now-t.provisioning.catalogReadAt >= catalogInterval {
			t.refreshCatalog(ctx)
		}
		if t.provisioning.listReadAt == 0 || now-t.provisioning.listReadAt >= listInterval(t.Settings.Fleet.Cloud, t.provisioning.listedMachines) {
			t.refreshMachineList(ctx)
		}
		t.scaleIn(ctx)
		t.scaleOut(ctx)
	}
}

// The pace of the machine list. It is read page by page, and the list of a large fleet
// must leave the cloud's rate of requests to rents and releases.
const (
	minListInterval = 2 * units.Second
	listRateShare   = 0.3
)

// listInterval is how often the machine list is read.
func listInterval(cloud config.Cloud, machines int) units.Micros {
	pages := 1 + machines/protocol.MaxListPage
	paced := units.Seconds(float64(pages) / (cloud.RPS * listRateShare))
	return max(minListInterval, units.Seconds(cloud.ListLagS)/2, paced)
}

// refreshMachineList takes in which machines the cloud lists.
func (t *Leader) refreshMachineList(ctx context.Context) {
	listed, err := t.Cloud.ListMachines(ctx)
	if err != nil {
		t.Log.Debug("machines not listed", "error", err)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Steady()
	t.provisioning.listReadAt, t.provisioning.listedMachines = now, len(listed)
	present := make(map[string]bool, len(listed))
	for _, l := range listed {
		present[l.ID] = true
		if t.released.has(l.ID) {
			continue
		}
		_, known := t.state.Machines[l.ID]
		m := t.state.EnsureMachine(l.ID, l.InstanceType, l.Zone, l.Spot, now)
		if !known {
			m.RentedAt = now - units.Seconds(l.AgeSeconds)
			t.Log.Debug("machine listed", "machine", l.ID, "type", l.InstanceType, "zone", l.Zone, "stage", l.Stage)
		}
		if !m.Registered {
			m.Stage, m.Endpoint = l.Stage, l.Endpoint
		}
		if l.Stage == protocol.MachineFailed && !m.Releasing {
			// It has stopped on its own: nothing runs there any more. The
			// check only takes it off the list.
			t.Log.Info("machine failed", "machine", m.ID, "lost", len(m.Attempts))
			t.state.MachineEmptied(m, now)
			t.state.MarkReconciled(m.ID)
			m.Releasing = true
			raise(t.cycleSignal)
		}
	}
	lag := units.Seconds(t.Settings.Fleet.Cloud.ListLagS)
	for _, m := range t.state.Machines {
		// Taken or deleted before it was up. That a machine is not listed proves
		// nothing about one that may hold tasks: its lease decides.
		if !m.Registered && !present[m.ID] && now-m.RentedAt > 4*lag+20*units.Second && !t.state.IsUnreconciled(m.ID) {
			t.removeMachine(m, now)
		}
	}
}

const (
	minZoneCutMachines = 3                  // machines of a zone that fall silent together
	zoneCutGrace       = 120 * units.Second // beyond the workers' lease, until they are given back
)

func (t *Leader) policyInput() config.FleetInput {
	in := config.FleetInput{Hour: int(t.Clock.Wall() / units.Second / 3600 % 24)}
	for _, j := range t.state.Jobs {
		if !j.IsService() {
			t.lastFiniteJobAt = t.Clock.Steady()
			break
		}
	}
	in.QuietS = (t.Clock.Steady() - t.lastFiniteJobAt).Seconds()
	for _, team := range t.state.Teams {
		in.GuaranteedCPUs += team.GuaranteedQuota.CPU.Float()
		in.LimitCPUs += team.QuotaLimit.CPU.Float()
	}
	for _, n := range t.demand() {
		in.DemandCPUs += n.Spec.Request.CPU.Float() * float64(n.Count)
	}
	for _, m := range t.state.Machines {
		if !m.Releasing {
			in.FleetCPUs += m.Capacity.CPU.Float()
		}
	}
	return in
}

// demand lists the tasks that are not done, as far as their teams' limits let
// them run, and the replicas that room is kept for.
func (t *Leader) demand() []TaskDemand {
	left := map[string]units.Resources{}
	for name, team := range t.state.Teams {
		left[name] = team.QuotaLimit
	}
	var out []TaskDemand
	for _, j := range t.jobsInOrder() {
		if j.Cancelled || !j.Accepted() {
			continue
		}
		room := left[j.Spec.Team]
		if n := min(j.Unfinished(), room.Fits(j.Spec.Request)); n > 0 {
			left[j.Spec.Team] = room.Plus(j.Spec.Request, -n)
			out = append(out, TaskDemand{&j.Spec, n})
		}
	}
	if like := t.headroomReplica(); like != nil {
		out = append(out, TaskDemand{like, t.headroomReplicaCount(like)})
	}
	return out
}

// scaleOut rents what is wanted. What one kind refuses is asked of the next
// at once: a boot takes long enough.
func (t *Leader) scaleOut(ctx context.Context) {
	for range scaleOutPasses {
		t.mu.Lock()
		if len(t.provisioning.unanswered) == 0 {
			t.provisioning.unanswered = t.scaleOutOrders(t.Clock.Steady())
		}
		orders := t.provisioning.unanswered
		t.mu.Unlock()
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
				unanswered[i] = !t.requestMachines(ctx, r)
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
		t.mu.Lock()
		t.provisioning.unanswered = open
		t.mu.Unlock()
		if len(open) > 0 {
			return
		}
	}
}

// requestMachines sends one request and tells whether it was answered.
func (t *Leader) requestMachines(ctx context.Context, r protocol.ScaleOutRequest) bool {
	names, err := t.Cloud.ScaleOut(ctx, r)
	if err != nil && !errors.Is(err, cloud.ErrNoCapacity) {
		t.Log.Debug("rent not answered", "request", r.RequestID, "error", err)
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Steady()
	kind := Offering{r.InstanceType, r.Zone, r.Spot}
	if len(names) < r.Count {
		was := t.provisioning.unavailable[kind]
		wait := min(max(2*was.delay, minCapacityBackoff), maxCapacityBackoff)
		t.provisioning.unavailable[kind] = capacityBackoff{now + wait, wait}
	} else {
		delete(t.provisioning.unavailable, kind)
	}
	for _, id := range names {
		if !t.released.has(id) {
			m := t.state.EnsureMachine(id, r.InstanceType, r.Zone, r.Spot, now)
			if m.Stage == "" {
				m.Stage = protocol.MachineBooting
			}
		}
	}
	t.Log.Info("machines rented", "request", r.RequestID, "type", r.InstanceType, "zone", r.Zone, "spot", r.Spot, "asked", r.Count, "got", names)
	return true
}

// capacityView is what the renting decision looks at.
func (t *Leader) capacityView(in config.FleetInput) CapacityView {
	v := CapacityView{InstanceTypes: t.state.InstanceTypes, Machines: map[Offering]int{}, Demand: t.demand(),
		ReserveCPUs: t.Policy.ReserveCPUs(in), SpotPreference: t.Policy.SpotPreference(in)}
	now := t.Clock.Steady()
	for _, m := range t.state.Machines {
		boot := units.Seconds(t.state.InstanceTypes[m.InstanceType].BootS)
		if m.Releasing || m.Quarantined || m.TerminatesAt > 0 || !m.Registered && now-m.RentedAt > bootGraceFactor*boot+10*units.Second {
			continue
		}
		v.Machines[Offering{m.InstanceType, m.Zone, m.Spot}]++
	}
	return v
}

// scaleOutOrders turns what is wanted into requests with names never used before: the
// token is in them, and no two terms are alike.
func (t *Leader) scaleOutOrders(now units.Micros) []protocol.ScaleOutRequest {
	if len(t.state.InstanceTypes) == 0 || t.provisioning.listReadAt == 0 {
		return nil // what there is, is not known yet
	}
	v := t.capacityView(t.policyInput())
	v.Unavailable = func(k Offering) bool { return now < t.provisioning.unavailable[k].until }
	var out []protocol.ScaleOutRequest
	for _, o := range PlanScaleOut(&v) {
		t.scaleOutRequests++
		out = append(out, protocol.ScaleOutRequest{RequestID: fmt.Sprintf("r-%d-%d", t.token, t.scaleOutRequests),
			InstanceType: o.Offering.InstanceType, Zone: o.Offering.Zone, Spot: o.Offering.Spot, Count: o.Count})
	}
	return out
}
