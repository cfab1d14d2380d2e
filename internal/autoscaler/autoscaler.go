// Package autoscaler keeps the rented machines as the demand and the policy want them: it
// plans which offerings to scale out, chooses machines to scale in, and keeps the catalog of
// instance types.
//
// demand.go says what capacity is wanted, plan.go what is ordered for it, scaleout.go sends the
// orders; scalein.go says when a machine is scaled in, and idle.go which ones are idle;
// machinelist.go and catalog.go read what the cloud has.
package autoscaler

import (
	"context"
	"log/slog"

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

// Deps is what an Autoscaler works with.
type Deps struct {
	State      *cluster.State
	Leadership election.Leadership
	Detector   *failuredetector.Detector
	Scheduler  *scheduler.Scheduler
	Settings   *config.Settings
	Policy     *config.Policy
	Cloud      *cloud.Client
	KV         *kv.Client
	Format     recordformat.Source
	Clock      units.Clock
	Log        *slog.Logger
	// Token is the leader's fencing token. It makes the IDs of scale-out requests unique, and
	// only a machine that has shown it is scaled in as idle.
	Token       uint64
	ElectedAt   units.Micros // steady time at which this leader was elected
	CycleSignal loop.Signal  // wakes the scheduler
}

// Autoscaler keeps the rented machines as the demand and the policy want them: it scales
// out, scales in, and keeps the catalog of instance types. Its methods need the lock of State
// held, but for Run, which takes it where it must and never holds it during a call to the
// cloud. Make it with New.
type Autoscaler struct {
	Deps

	provisioning     provisioningState
	scaleOutRequests uint64       // sent so far; guarded by the lock of State
	lastFiniteJobAt  units.Micros // when there last was an unfinished job that ends by itself; guarded likewise
}

// New returns an autoscaler that has read nothing from the cloud yet.
func New(deps Deps) *Autoscaler {
	return &Autoscaler{
		Deps:            deps,
		provisioning:    newProvisioningState(),
		lastFiniteJobAt: deps.ElectedAt,
	}
}

// provisioningState is what Run remembers of the cloud. Only Run's own goroutine uses it, but
// for unavailable and unanswered, which the lock of State guards.
type provisioningState struct {
	catalog        protocol.Catalog
	catalogStored  map[string]uint64 // versions of its records, by key
	catalogFormat  storage.Format    // format in which it was stored last
	catalogReadAt  units.Micros      // 0: not read yet
	listReadAt     units.Micros      // 0: not read yet
	listedMachines int               // machines in the last list
	unavailable    map[Offering]capacityBackoff
	unanswered     []protocol.ScaleOutRequest // sent, and not answered yet
}

func newProvisioningState() provisioningState {
	return provisioningState{unavailable: map[Offering]capacityBackoff{}, catalogStored: map[string]uint64{}}
}

const (
	autoscaleInterval = 500 * units.Millisecond
	catalogInterval   = 60 * units.Second
)

// Run keeps the rented machines as wanted. It returns when ctx ends.
func (as *Autoscaler) Run(ctx context.Context) {
	for wait := units.Micros(0); loop.Sleep(ctx, wait); wait = autoscaleInterval {
		if !as.Leadership.Valid() {
			continue
		}
		now := as.Clock.Steady()
		if due(as.provisioning.catalogReadAt, catalogInterval, now) {
			as.refreshCatalog(ctx)
		}
		if due(as.provisioning.listReadAt, listInterval(as.Settings.Fleet.Cloud, as.provisioning.listedMachines), now) {
			as.refreshMachineList(ctx)
		}
		as.scaleIn(ctx)
		as.scaleOut(ctx)
	}
}

// due reports whether something that was last done at last, 0 for never, is to be done again.
func due(last, interval, now units.Micros) bool { return last == 0 || now-last >= interval }
