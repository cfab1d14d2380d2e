package coordination

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"

	"dunestand/internal/cloud"
	"dunestand/internal/cluster"
	"dunestand/internal/config"
	"dunestand/internal/kv"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// Autoscaler keeps the rented machines as the demand and the policy want them: it scales
// out, scales in, and keeps the catalog of instance types.
type Autoscaler struct {
	state       *cluster.State
	leadership  Leadership
	detector    *Detector
	scheduler   *Scheduler
	settings    *config.Settings
	policy      *config.Policy
	cloud       *cloud.Client
	kv          *kv.Client
	format      *FormatNegotiator
	clock       units.Clock
	log         *slog.Logger
	token       uint64
	electedAt   units.Micros
	cycleSignal chan struct{}

	// What follows is guarded by the lock of state, but for what provisioningState says.
	provisioning     provisioningState
	scaleOutRequests uint64
	lastFiniteJobAt  units.Micros // when there last was an unfinished job that ends by itself
}

func newAutoscaler(l *Leader) *Autoscaler {
	return &Autoscaler{
		state:           l.state,
		leadership:      l.leadership,
		detector:        l.detector,
		scheduler:       l.scheduler,
		settings:        l.Settings,
		policy:          l.Policy,
		cloud:           l.Cloud,
		kv:              l.KV,
		format:          l.Format,
		clock:           l.Clock,
		log:             l.Log,
		token:           l.token,
		electedAt:       l.electedAt,
		cycleSignal:     l.cycleSignal,
		provisioning:    newProvisioningState(),
		lastFiniteJobAt: l.electedAt,
	}
}

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
func (as *Autoscaler) autoscaleLoop(ctx context.Context) {
	for wait := units.Micros(0); sleep(ctx, wait); wait = autoscaleInterval {
		if !as.leadership.Valid() {
			continue
		}
		now := as.clock.Steady()
		if as.provisioning.catalogReadAt == 0 || now-as.provisioning.catalogReadAt >= catalogInterval {
			as.refreshCatalog(ctx)
		}
		if as.provisioning.listReadAt == 0 || now-as.provisioning.listReadAt >= listInterval(as.settings.Fleet.Cloud, as.provisioning.listedMachines) {
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
	listed, err := as.cloud.ListMachines(ctx)
	if err != nil {
		as.log.Debug("machines not listed", "error", err)
		return
	}
	as.state.Lock()
	defer as.state.Unlock()
	now := as.clock.Steady()
	as.provisioning.listReadAt, as.provisioning.listedMachines = now, len(listed)
	present := make(map[string]bool, len(listed))
	for _, l := range listed {
		present[l.ID] = true
		if as.state.Released.Has(l.ID) {
			continue
		}
		_, known := as.state.Machines[l.ID]
		m := as.state.EnsureMachine(l.ID, l.InstanceType, l.Zone, l.Spot, now)
		if !known {
			m.RentedAt = now - units.Seconds(l.AgeSeconds)
			as.log.Debug("machine listed", "machine", l.ID, "type", l.InstanceType, "zone", l.Zone, "stage", l.Stage)
		}
		if !m.Registered {
			m.Stage, m.Endpoint = l.Stage, l.Endpoint
		}
		if l.Stage == protocol.MachineFailed && !m.Releasing {
			// It has stopped on its own: nothing runs there any more. The
			// check only takes it off the list.
			as.log.Info("machine failed", "machine", m.ID, "lost", len(m.Attempts))
			as.state.MachineEmptied(m, now)
			as.state.MarkReconciled(m.ID)
			m.Releasing = true
			raise(as.cycleSignal)
		}
	}
	lag := units.Seconds(as.settings.Fleet.Cloud.ListLagS)
	for _, m := range as.state.Machines {
		// Taken or deleted before it was up. That a machine is not listed proves
		// nothing about one that may hold tasks: its lease decides.
		if !m.Registered && !present[m.ID] && now-m.RentedAt > 4*lag+20*units.Second && !as.state.IsUnreconciled(m.ID) {
			as.removeMachine(m, now)
		}
	}
}

const (
	minZoneCutMachines = 3                  // machines of a zone that fall silent together
	zoneCutGrace       = 120 * units.Second // beyond the workers' lease, until they are given back
)

func (as *Autoscaler) policyInput() config.FleetInput {
	in := config.FleetInput{Hour: int(as.clock.Wall() / units.Second / 3600 % 24)}
	for _, j := range as.state.Jobs {
		if !j.IsService() {
			as.lastFiniteJobAt = as.clock.Steady()
			break
		}
	}
	in.QuietS = (as.clock.Steady() - as.lastFiniteJobAt).Seconds()
	for _, team := range as.state.Teams {
		in.GuaranteedCPUs += team.GuaranteedQuota.CPU.Float()
		in.LimitCPUs += team.QuotaLimit.CPU.Float()
	}
	for _, n := range as.demand() {
		in.DemandCPUs += n.Spec.Request.CPU.Float() * float64(n.Count)
	}
	for _, m := range as.state.Machines {
		if !m.Releasing {
			in.FleetCPUs += m.Capacity.CPU.Float()
		}
	}
	return in
}

// demand lists the tasks that are not done, as far as their teams' limits let
// them run, and the replicas that room is kept for.
func (as *Autoscaler) demand() []TaskDemand {
	left := map[string]units.Resources{}
	for name, team := range as.state.Teams {
		left[name] = team.QuotaLimit
	}
	var out []TaskDemand
	for _, j := range as.state.JobsBySubmission() {
		if j.Cancelled || !j.Accepted() {
			continue
		}
		room := left[j.Spec.Team]
		if n := min(j.Unfinished(), room.Fits(j.Spec.Request)); n > 0 {
			left[j.Spec.Team] = room.Plus(j.Spec.Request, -n)
			out = append(out, TaskDemand{&j.Spec, n})
		}
	}
	if like := as.scheduler.headroomReplica(); like != nil {
		out = append(out, TaskDemand{like, as.scheduler.headroomReplicaCount(like)})
	}
	return out
}

// scaleOut rents what is wanted. What one kind refuses is asked of the next
// at once: a boot takes long enough.
func (as *Autoscaler) scaleOut(ctx context.Context) {
	for range scaleOutPasses {
		as.state.Lock()
		if len(as.provisioning.unanswered) == 0 {
			as.provisioning.unanswered = as.scaleOutOrders(as.clock.Steady())
		}
		orders := as.provisioning.unanswered
		as.state.Unlock()
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
		as.state.Lock()
		as.provisioning.unanswered = open
		as.state.Unlock()
		if len(open) > 0 {
			return
		}
	}
}

// requestMachines sends one request and tells whether it was answered.
func (as *Autoscaler) requestMachines(ctx context.Context, r protocol.ScaleOutRequest) bool {
	names, err := as.cloud.ScaleOut(ctx, r)
	if err != nil && !errors.Is(err, cloud.ErrNoCapacity) {
		as.log.Debug("rent not answered", "request", r.RequestID, "error", err)
		return false
	}
	as.state.Lock()
	defer as.state.Unlock()
	now := as.clock.Steady()
	kind := Offering{r.InstanceType, r.Zone, r.Spot}
	if len(names) < r.Count {
		was := as.provisioning.unavailable[kind]
		wait := min(max(2*was.delay, minCapacityBackoff), maxCapacityBackoff)
		as.provisioning.unavailable[kind] = capacityBackoff{now + wait, wait}
	} else {
		delete(as.provisioning.unavailable, kind)
	}
	for _, id := range names {
		if !as.state.Released.Has(id) {
			m := as.state.EnsureMachine(id, r.InstanceType, r.Zone, r.Spot, now)
			if m.Stage == "" {
				m.Stage = protocol.MachineBooting
			}
		}
	}
	as.log.Info("machines rented", "request", r.RequestID, "type", r.InstanceType, "zone", r.Zone, "spot", r.Spot, "asked", r.Count, "got", names)
	return true
}

// capacityView is what the renting decision looks at.
func (as *Autoscaler) capacityView(in config.FleetInput) CapacityView {
	v := CapacityView{InstanceTypes: as.state.InstanceTypes, Machines: map[Offering]int{}, Demand: as.demand(),
		ReserveCPUs: as.policy.ReserveCPUs(in), SpotPreference: as.policy.SpotPreference(in)}
	now := as.clock.Steady()
	for _, m := range as.state.Machines {
		boot := units.Seconds(as.state.InstanceTypes[m.InstanceType].BootS)
		if m.Releasing || m.Quarantined || m.TerminatesAt > 0 || !m.Registered && now-m.RentedAt > bootGraceFactor*boot+10*units.Second {
			continue
		}
		v.Machines[Offering{m.InstanceType, m.Zone, m.Spot}]++
	}
	return v
}

// scaleOutOrders turns what is wanted into requests with names never used before: the
// token is in them, and no two terms are alike.
func (as *Autoscaler) scaleOutOrders(now units.Micros) []protocol.ScaleOutRequest {
	if len(as.state.InstanceTypes) == 0 || as.provisioning.listReadAt == 0 {
		return nil // what there is, is not known yet
	}
	v := as.capacityView(as.policyInput())
	v.Unavailable = func(k Offering) bool { return now < as.provisioning.unavailable[k].until }
	var out []protocol.ScaleOutRequest
	for _, o := range PlanScaleOut(&v) {
		as.scaleOutRequests++
		out = append(out, protocol.ScaleOutRequest{RequestID: fmt.Sprintf("r-%d-%d", as.token, as.scaleOutRequests),
			InstanceType: o.Offering.InstanceType, Zone: o.Offering.Zone, Spot: o.Offering.Spot, Count: o.Count})
	}
	return out
}
