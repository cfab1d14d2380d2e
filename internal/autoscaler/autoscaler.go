// Package autoscaler keeps the rented machines as the demand and the policy want them: it
// plans which offerings to scale out, chooses machines to scale in, and keeps the catalog of
// instance types.
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

func newProvisioningState() provisioningState {
	return provisioningState{unavailable: map[Offering]capacityBackoff{}, catalogStored: map[string]uint64{}}
}
