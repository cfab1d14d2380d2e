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
	catalog       protocol.Catalog
	catalogStored map[string]uint64 // versions, by key
	catalogFormat int               // in which it was stored last
	catalogAt     units.Micros
	listAt        units.Micros
	listed        int // machines in the last list
	refused       map[Kind]refusal
	open          []protocol.ScaleOutRequest // sent, and not answered yet
}

type refusal struct {
	until units.Micros
	wait  units.Micros
}

func newProvisioningState() provisioningState {
	return provisioningState{refused: map[Kind]refusal{}, catalogStored: map[string]uint64{}}
}

const (
	cloudTick    = 500 * units.Millisecond
	catalogEvery = 60 * units.Second
	rentPasses   = 8
	rentsAtOnce  = 3
	refusedFirst = 8 * units.Second
	refusedMost  = 40 * units.Second
	bootPatience = 3 // boot times until a machine is not reckoned with
	bootLimit    = 6 // boot times until it is given up
	// A worker that looks for a new leader tries the next node after 1 s, and
	// waits 4 s on each that does not answer.
	searchStart = 2500 * units.Millisecond
	searchNode  = 5 * units.Second
)

// cloudLoop keeps the rented machines as wanted.
func (t *Term) cloudLoop(ctx context.Context) {
	for wait := units.Micros(0); pause(ctx, wait); wait = cloudTick {
		if !t.Lease.Valid(t.number) {
			continue
		}
		now := t.Clock.Steady()
		if t.provisioning.catalogAt == 0 || now-t.provisioning.catalogAt >= catalogEvery {
			t.readCatalog(ctx)
		}
		if t.provisioning.listAt == 0 || now-t.provisioning.listAt >= listEvery(t.Settings.Fleet.Cloud, t.provisioning.listed) {
			t.readList(ctx)
		}
		t.releaseUnwanted(ctx)
		t.rentWanted(ctx)
	}
}

// The pace of the machine list. It is read page by page, and the list of a large fleet
// must leave the cloud's rate of requests to rents and releases.
const (
	listLeast     = 2 * units.Second
	listRateShare = 0.3
)

// listEvery is how often the machine list is read.
func listEvery(cloud config.Cloud, machines int) units.Micros {
	pages := 1 + machines/protocol.MaxListPage
	paced := units.Seconds(float64(pages) / (cloud.RPS * listRateShare))
	return max(listLeast, units.Seconds(cloud.ListLagS)/2, paced)
}

// readList takes in which machines the cloud lists.
func (t *Term) readList(ctx context.Context) {
	listed, err := t.Cloud.ListMachines(ctx)
	if err != nil {
		t.Log.Debug("machines not listed", "error", err)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Steady()
	t.provisioning.listAt, t.provisioning.listed = now, len(listed)
	present := make(map[string]bool, len(listed))
	for _, l := range listed {
		present[l.ID] = true
		if t.released.has(l.ID) {
			continue
		}
		_, known := t.ledger.Machines[l.ID]
		m := t.ledger.EnsureMachine(l.ID, l.InstanceType, l.Zone, l.Spot, now)
		if !known {
			m.RentedAt = now - units.Seconds(l.AgeSeconds)
			t.Log.Debug("machine listed", "machine", l.ID, "type", l.InstanceType, "zone", l.Zone, "stage", l.Stage)
		}
		if !m.Registered {
			m.Stage, m.Endpoint = l.Stage, l.Endpoint
		}
		if l.Stage == protocol.MachineFailed && !m.Releasing {
			// It has stopped on its own: nothing runs there any more. The
			// release only takes it off the list.
			t.Log.Info("machine failed", "machine", m.ID, "lost", len(m.Attempts))
			t.ledger.MachineEmptied(m, now)
			t.ledger.MarkReconciled(m.ID)
			m.Releasing = true
			signal(t.roundSignal)
		}
	}
	lag := units.Seconds(t.Settings.Fleet.Cloud.ListLagS)
	for _, m := range t.ledger.Machines {
		// Taken or deleted before it was up. That a machine is not listed proves
		// nothing about one that may hold tasks: its lease decides.
		if !m.Registered && !present[m.ID] && now-m.RentedAt > 4*lag+20*units.Second && !t.ledger.IsUnreconciled(m.ID) {
			t.remove(m, now)
		}
	}
}

const (
	zoneCutLeast = 3                  // machines of a zone that fall silent together
	zoneCutMost  = 120 * units.Second // beyond the workers' lease, until they are given back
)

func (t *Term) fleetInput() config.FleetInput {
	in := config.FleetInput{Hour: int(t.Clock.Wall() / units.Second / 3600 % 24)}
	for _, j := range t.ledger.Jobs {
		if !j.IsService() {
			t.lastWork = t.Clock.Steady()
			break
		}
	}
	in.QuietS = (t.Clock.Steady() - t.lastWork).Seconds()
	for _, team := range t.ledger.Teams {
		in.GuaranteedCPUs += team.GuaranteedQuota.CPU.Float()
		in.LimitCPUs += team.QuotaLimit.CPU.Float()
	}
	for _, n := range t.needs() {
		in.DemandCPUs += n.Spec.Request.CPU.Float() * float64(n.Count)
	}
	for _, m := range t.ledger.Machines {
		if !m.Releasing {
			in.FleetCPUs += m.Capacity.CPU.Float()
		}
	}
	return in
}

// needs lists the tasks that are not done, as far as their teams' limits let
// them run, and the replicas that room is kept for.
func (t *Term) needs() []Need {
	left := map[string]units.Resources{}
	for name, team := range t.ledger.Teams {
		left[name] = team.QuotaLimit
	}
	var out []Need
	for _, j := range t.jobsInOrder() {
		if j.Cancelled || !j.Accepted() {
			continue
		}
		room := left[j.Spec.Team]
		if n := min(j.Unfinished(), room.Fits(j.Spec.Request)); n > 0 {
			left[j.Spec.Team] = room.Plus(j.Spec.Request, -n)
			out = append(out, Need{&j.Spec, n})
		}
	}
	if like := t.headroomReplica(); like != nil {
		out = append(out, Need{like, t.headroomReplicas(like)})
	}
	return out
}

// rentWanted rents what is wanted. What one kind refuses is asked of the next
// at once: a boot takes long enough.
func (t *Term) rentWanted(ctx context.Context) {
	for range rentPasses {
		t.mu.Lock()
		if len(t.provisioning.open) == 0 {
			t.provisioning.open = t.orders(t.Clock.Steady())
		}
		orders := t.provisioning.open
		t.mu.Unlock()
		if len(orders) == 0 {
			return
		}
		var wg sync.WaitGroup
		slots := make(chan struct{}, rentsAtOnce)
		unanswered := make([]bool, len(orders))
		for i, r := range orders {
			slots <- struct{}{}
			wg.Add(1)
			go func() {
				defer wg.Done()
				unanswered[i] = !t.rentOne(ctx, r)
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
		t.provisioning.open = open
		t.mu.Unlock()
		if len(open) > 0 {
			return
		}
	}
}

// rentOne sends one request and tells whether it was answered.
func (t *Term) rentOne(ctx context.Context, r protocol.ScaleOutRequest) bool {
	names, err := t.Cloud.ScaleOut(ctx, r)
	if err != nil && !errors.Is(err, cloud.ErrNoCapacity) {
		t.Log.Debug("rent not answered", "request", r.RequestID, "error", err)
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Steady()
	kind := Kind{r.InstanceType, r.Zone, r.Spot}
	if len(names) < r.Count {
		was := t.provisioning.refused[kind]
		wait := min(max(2*was.wait, refusedFirst), refusedMost)
		t.provisioning.refused[kind] = refusal{now + wait, wait}
	} else {
		delete(t.provisioning.refused, kind)
	}
	for _, id := range names {
		if !t.released.has(id) {
			m := t.ledger.EnsureMachine(id, r.InstanceType, r.Zone, r.Spot, now)
			if m.Stage == "" {
				m.Stage = protocol.MachineBooting
			}
		}
	}
	t.Log.Info("machines rented", "request", r.RequestID, "type", r.InstanceType, "zone", r.Zone, "spot", r.Spot, "asked", r.Count, "got", names)
	return true
}

// fleetView is what the renting decision looks at.
func (t *Term) fleetView(in config.FleetInput) FleetView {
	v := FleetView{Types: t.ledger.InstanceTypes, Have: map[Kind]int{}, Needs: t.needs(),
		Reserve: t.Policy.ReserveCPUs(in), SpotPreference: t.Policy.SpotPreference(in)}
	now := t.Clock.Steady()
	for _, m := range t.ledger.Machines {
		boot := units.Seconds(t.ledger.InstanceTypes[m.InstanceType].BootS)
		if m.Releasing || m.Quarantined || m.TerminatesAt > 0 || !m.Registered && now-m.RentedAt > bootPatience*boot+10*units.Second {
			continue
		}
		v.Have[Kind{m.InstanceType, m.Zone, m.Spot}]++
	}
	return v
}

// orders turns what is wanted into requests with names never used before: the
// term is in them, and no two terms are alike.
func (t *Term) orders(now units.Micros) []protocol.ScaleOutRequest {
	if len(t.ledger.InstanceTypes) == 0 || t.provisioning.listAt == 0 {
		return nil // what there is, is not known yet
	}
	v := t.fleetView(t.fleetInput())
	v.Refused = func(k Kind) bool { return now < t.provisioning.refused[k].until }
	var out []protocol.ScaleOutRequest
	for _, o := range WantRented(&v) {
		t.rentRequests++
		out = append(out, protocol.ScaleOutRequest{RequestID: fmt.Sprintf("r-%d-%d", t.number, t.rentRequests),
			InstanceType: o.Kind.Type, Zone: o.Kind.Zone, Spot: o.Kind.Spot, Count: o.Count})
	}
	return out
}
