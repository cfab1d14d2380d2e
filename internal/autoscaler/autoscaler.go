// Package autoscaler adjusts the rented machines to the demand and the policy. It plans which
// offerings to scale out, chooses the machines to scale in, and reads the cloud's catalog of
// instance types and its list of machines.
//
//   - demand.go computes the demand for capacity, plan.go chooses machines to order for it,
//     offering.go compares the offerings by price, and scaleout.go sends the requests.
//   - room.go finds the waiting tasks that have no room on any single machine, and planroom.go
//     orders machines for them.
//   - scalein.go decides when a machine is released, and idle.go finds idle machines.
//   - machinelist.go and catalog.go read the cloud's machine list and catalog.
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

// Deps holds the dependencies of an Autoscaler.
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
	// Token is the leader's fencing token. It makes the IDs of scale-out requests unique. Only
	// machines whose heartbeats have shown it are scaled in as idle.
	Token       uint64
	ElectedAt   units.Micros // steady time at which this leader was elected
	CycleSignal loop.Signal  // wakes the scheduler
}

// Autoscaler scales the rented machines out and in according to the demand and the policy, and
// refreshes the catalog of instance types. Callers must hold the lock of State when they call
// its methods, except for Run and RunUrgentScaleIn, which take the lock themselves and do not hold it
// during calls to the cloud. Create one with New.
type Autoscaler struct {
	Deps

	provisioning     provisioningState
	scaleOutRequests uint64 // number of request IDs used; guarded by the lock of State
	// lastFiniteJobAt is the last steady time at which an unfinished job other than a service
	// was seen. The lock of State guards it.
	lastFiniteJobAt units.Micros
}

// New returns an autoscaler that has not read the catalog or the machine list.
func New(deps Deps) *Autoscaler {
	return &Autoscaler{
		Deps:            deps,
		provisioning:    newProvisioningState(),
		lastFiniteJobAt: deps.ElectedAt,
	}
}

// provisioningState holds what Run has read from the cloud and its outstanding requests. Only
// the goroutine of Run uses it, except for unavailable and unanswered, which the lock of State
// guards.
type provisioningState struct {
	catalog        protocol.Catalog
	catalogStored  map[string]uint64 // versions of the stored catalog's records, by key
	catalogFormat  storage.Format    // format of the stored catalog
	catalogReadAt  units.Micros      // steady time of the last read; 0 if not read
	listReadAt     units.Micros      // steady time of the last read; 0 if not read
	listedMachines int               // number of machines in the last list
	unavailable    map[Offering]capacityBackoff
	unanswered     []protocol.ScaleOutRequest // to be sent, or sent without a response
}

func newProvisioningState() provisioningState {
	return provisioningState{unavailable: map[Offering]capacityBackoff{}, catalogStored: map[string]uint64{}}
}

const (
	autoscaleInterval = 500 * units.Millisecond
	catalogInterval   = 60 * units.Second
)

// Run refreshes the catalog and the machine list, scales in and scales out at regular intervals
// while the leadership is valid. It returns when ctx is cancelled.
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

// due reports whether a periodic action that was last performed at last is to be performed
// again. A last of 0 means never.
func due(last, interval, now units.Micros) bool { return last == 0 || now-last >= interval }
