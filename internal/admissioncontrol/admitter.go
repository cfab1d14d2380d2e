// Package admissioncontrol applies the admission plan of package admission on a controller:
// every controller follows the plan's record and decides by it, and the leader makes and
// publishes the plans.
package admissioncontrol

import (
	"log/slog"
	"sync/atomic"

	"dunestand/internal/admission"
	"dunestand/internal/config"
	"dunestand/internal/kv"
	"dunestand/internal/loop"
	"dunestand/internal/protocol"
	"dunestand/internal/recordformat"
	"dunestand/internal/storage"
	"dunestand/internal/telemetry"
	"dunestand/internal/units"
)

// AdmitterDeps is what an Admitter works with.
type AdmitterDeps struct {
	Settings *config.Settings
	Options  admission.Options
	KV       *kv.Client
	Format   recordformat.Source
	Clock    units.Clock
	Log      *slog.Logger
	Metrics  *telemetry.Metrics
}

// Admitter decides on one controller, by the fleet's admission plan, which jobs are accepted. A
// nil Admitter admits all; State must not be called on it. Its methods may be called
// concurrently.
type Admitter struct {
	options   admission.Options
	teams     []admission.Team
	planStore *admission.PlanStore
	client    *kv.Client // on connections of its own: a watch occupies one
	format    recordformat.Source
	clock     units.Clock
	log       *slog.Logger
	metrics   *telemetry.Metrics
	// replanSignal asks the leader's loop for a new plan at once.
	replanSignal loop.Signal
	// unreadableRevision is the revision of a plan's record that is not readable, 0: none.
	unreadableRevision atomic.Uint64
}

// NewAdmitter returns a controller's admitter and registers its metrics; nil where admission by a
// plan is off.
func NewAdmitter(deps AdmitterDeps) *Admitter {
	if !deps.Options.Enabled() {
		return nil
	}
	teams := teamsOf(deps.Settings.Fleet.Teams)
	a := &Admitter{
		options:      deps.Options,
		teams:        teams,
		planStore:    admission.NewPlanStore(deps.Options, teams, 1+len(deps.Settings.Peers)),
		client:       deps.KV.WithOwnConnections(),
		format:       deps.Format,
		clock:        deps.Clock,
		log:          deps.Log,
		metrics:      deps.Metrics,
		replanSignal: loop.NewSignal(),
	}
	a.addMetrics()
	return a
}

// active reports whether jobs are admitted by a plan: it is enabled, and every controller that
// may lead knows of it.
func (a *Admitter) active() bool {
	return a != nil && a.format.Current() >= storage.FormatV3
}

// State returns what admits jobs now: the plan in force, or the built-in fallback.
func (a *Admitter) State() admission.State { return a.planStore.State(a.clock.Steady()) }

// decide decides about a job that is not known. It returns the revision of the plan's record that
// the acceptance must be conditional on.
func (a *Admitter) decide(spec *protocol.JobSpec, role admission.Role) (admission.Decision, uint64) {
	return a.planStore.Decide(spec, role, a.clock.Steady())
}

// DecideIsolated decides without the leader, and returns what an acceptance must be conditional on.
// A controller that does not know yet that the fleet admits by a plan, as after its start, accepts
// a job only on condition that there is none.
func (a *Admitter) DecideIsolated(spec *protocol.JobSpec) (admission.Decision, protocol.Condition) {
	if !a.active() {
		return admission.Decision{Verdict: admission.Admit}, protocol.Condition{Key: admission.KeyPlan}
	}
	d, revision := a.decide(spec, admission.Isolated)
	return d, protocol.Condition{Key: admission.KeyPlan, Version: revision}
}

// adopt makes what the plan's record held at an item's version the known plan. after and before
// are the steady times between which it was written. A record that is not readable is neither
// applied nor taken for none.
func (a *Admitter) adopt(item protocol.Item, after, before units.Micros) {
	plan, err := admission.Decode(item.Value)
	observed := admission.ObservedPlan{Plan: plan, Revision: item.Version, WrittenAfter: after, WrittenBefore: before}
	if err == nil {
		err = a.planStore.Update(observed)
	}
	if err != nil {
		if a.unreadableRevision.Swap(item.Version) != item.Version {
			a.log.Error("admission plan not readable; neither applied nor overwritten", "revision", item.Version, "error", err)
		}
		observed.Plan = nil
		_ = a.planStore.Update(observed) // without a plan nothing can be wrong with it
		return
	}
	a.unreadableRevision.Store(0)
}
