// Package autoscaler keeps the rented machines as the demand and the policy want them: it
// plans which offerings to scale out, chooses machines to scale in, and keeps the catalog of
// instance types.
package autoscaler

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"

	"dunestand/internal/cloud"
	"dunestand/internal/cluster"
	"dunestand/internal/config"
	"dunestand/internal/election"
	"dunestand/internal/failuredetector"
	"dunestand/internal/kv"
	"dunestand/internal/loop"
	"dunestand/internal/protocol"
	"dunestand/internal/recordformat"
	"dunestand/internal/scheduler"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// Deps is what a Autoscaler works with.
type Deps struct {
	State       *cluster.State
	Leadership  election.Leadership
	Detector    *failuredetector.Detector
	Scheduler   *scheduler.Scheduler
	Settings    *config.Settings
	Policy      *config.Policy
	Cloud       *cloud.Client
	KV          *kv.Client
	Format      recordformat.Source
	Clock       units.Clock
	Log         *slog.Logger
	Token       uint64
	ElectedAt   units.Micros
	CycleSignal loop.Signal
}

// Autoscaler keeps the rented machines as the demand and the policy want them: it scales
// out, scales in, and keeps the catalog of instance types.
type Autoscaler struct {
	Deps

	// What follows is guarded by the lock of state, but for what provisioningState says.
	provisioning     provisioningState
	scaleOutRequests uint64
	lastFiniteJobAt  units.Micros // when there last was an unfinished job that ends by itself
}

func New(deps Deps) *Autoscaler {
	return &Autoscaler{
		Deps:            deps,
		provisioning:    newProvisioningState(),
		lastFiniteJobAt: deps.ElectedAt,
	}
}

// provisioningState is what the cloud loop remembers.
type provisioningState struct {
	catalog        protocol.Catalog
	catalogStored  map[string]uint64 // versions, by key
	catalogFormat  storage.Format    // in which it was stored last
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
)

// Run keeps the rented machines as wanted.
func (as *Autoscaler) Run(ctx context.Context) {
	for wait := units.Micros(0); loop.Sleep(ctx, wait); wait = autoscaleInterval {
		if !as.Leadership.Valid() {
			continue
		}
		now := as.Clock.Steady()
		if as.provisioning.catalogReadAt == 0 || now-as.provisioning.catalogReadAt >= catalogInterval {
			as.refreshCatalog(ctx)
		}
		if as.provisioning.listReadAt == 0 || now-as.provisioning.listReadAt >= listInterval(as.Settings.Fleet.Cloud, as.provisioning.listedMachines) {
			as.refreshMachineList(ctx)
		}
		as.scaleIn(ctx)
		as.scaleOut(ctx)
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
func (as *Autoscaler) refreshMachineList(ctx context.Context) {
	listed, err := as.Cloud.ListMachines(ctx)
	if err != nil {
		as.Log.Debug("machines not listed", "error", err)
		return
	}
	as.State.Lock()
	defer as.State.Unlock()
	now := as.Clock.Steady()
	as.provisioning.listReadAt, as.provisioning.listedMachines = now, len(listed)
	present := make(map[string]bool, len(listed))
	for _, l := range listed {
		present[l.ID] = true
		if as.State.Released.Has(l.ID) {
			continue
		}
		_, known := as.State.Machines[l.ID]
		m := as.State.EnsureMachine(l.ID, l.InstanceType, l.Zone, l.Spot, now)
		if !known {
			m.RentedAt = now - units.Seconds(l.AgeSeconds)
			as.Log.Debug("machine listed", "machine", l.ID, "type", l.InstanceType, "zone", l.Zone, "stage", l.Stage)
		}
		if !m.Registered {
			m.Stage, m.Endpoint = l.Stage, l.Endpoint
		}
		if l.Stage == protocol.MachineFailed && !m.Releasing {
			// It has stopped on its own: nothing runs there any more. The
			// release only takes it off the list.
			as.Log.Info("machine failed", "machine", m.ID, "lost", len(m.Attempts))
			as.State.MachineEmptied(m, now)
			as.State.Unreconciled.Resolve(m.ID)
			m.Releasing = true
			as.CycleSignal.Raise()
		}
	}
	lag := units.Seconds(as.Settings.Fleet.Cloud.ListLagS)
	for _, m := range as.State.Machines {
		// Taken or deleted before it was up. That a machine is not listed proves
		// nothing about one that may hold tasks: its lease decides.
		if !m.Registered && !present[m.ID] && now-m.RentedAt > 4*lag+20*units.Second && !as.State.Unreconciled.Contains(m.ID) {
			as.removeMachine(m, now)
		}
	}
}

func (as *Autoscaler) PolicyInput() config.FleetInput {
	in := config.FleetInput{Hour: int(as.Clock.Wall() / units.Second / 3600 % 24)}
	for _, j := range as.State.Jobs {
		if !j.IsService() {
			as.lastFiniteJobAt = as.Clock.Steady()
			break
		}
	}
	in.QuietS = (as.Clock.Steady() - as.lastFiniteJobAt).Seconds()
	for _, team := range as.State.Teams {
		in.GuaranteedCPUs += team.GuaranteedQuota.CPU.Float()
		in.LimitCPUs += team.QuotaLimit.CPU.Float()
	}
	for _, n := range as.Demand() {
		in.DemandCPUs += n.Spec.Request.CPU.Float() * float64(n.Count)
	}
	for _, m := range as.State.Machines {
		if !m.Releasing {
			in.FleetCPUs += m.Capacity.CPU.Float()
		}
	}
	return in
}

// Demand lists the tasks that are not done, as far as their teams' limits let
// them run, and the replicas that room is kept for.
func (as *Autoscaler) Demand() []TaskDemand {
	left := map[string]units.Resources{}
	for name, team := range as.State.Teams {
		left[name] = team.QuotaLimit
	}
	var out []TaskDemand
	for _, j := range as.State.JobsBySubmission() {
		if j.Cancelled || !j.Accepted() {
			continue
		}
		room := left[j.Spec.Team]
		if n := min(j.Unfinished(), room.Fits(j.Spec.Request)); n > 0 {
			left[j.Spec.Team] = room.Plus(j.Spec.Request, -n)
			out = append(out, TaskDemand{&j.Spec, n})
		}
	}
	if like := as.Scheduler.HeadroomReplica(); like != nil {
		out = append(out, TaskDemand{like, as.Scheduler.HeadroomReplicaCount(like)})
	}
	return out
}

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

// capacityView is what the renting decision looks at.
func (as *Autoscaler) capacityView(in config.FleetInput) CapacityView {
	v := CapacityView{InstanceTypes: as.State.InstanceTypes, Machines: map[Offering]int{}, Demand: as.Demand(),
		ReserveCPUs: as.Policy.ReserveCPUs(in), SpotPreference: as.Policy.SpotPreference(in)}
	now := as.Clock.Steady()
	for _, m := range as.State.Machines {
		boot := units.Seconds(as.State.InstanceTypes[m.InstanceType].BootS)
		if m.Releasing || m.Quarantined || m.TerminatesAt > 0 || !m.Registered && now-m.RentedAt > bootGraceFactor*boot+10*units.Second {
			continue
		}
		v.Machines[Offering{m.InstanceType, m.Zone, m.Spot}]++
	}
	return v
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
