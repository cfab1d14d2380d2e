// Package admissioncontrol applies the admission plans of package admission on a controller.
// Every controller follows the plan's record in the key-value store and decides on jobs by the
// plan; the leader makes and publishes the plans.
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

// AdmitterDeps holds the dependencies of an Admitter.
type AdmitterDeps struct {
	Settings *config.Settings
	Options  admission.Options
	KV       *kv.Client
	Format   recordformat.Source
	Clock    units.Clock
	Log      *slog.Logger
	Metrics  *telemetry.Metrics
}

// Admitter decides, on one controller, which jobs are accepted by the fleet's admission plan. A
// nil Admitter admits all jobs; State must not be called on it. It is safe for concurrent use.
type Admitter struct {
	options   admission.Options
	teams     []admission.Team
	planStore *admission.PlanStore
	client    *kv.Client // has its own connections, because a watch occupies one
	format    recordformat.Source
	clock     units.Clock
	log       *slog.Logger
	metrics   *telemetry.Metrics
	// replanSignal requests a new plan from the leader's loop without delay.
	replanSignal loop.Signal
	// unreadableRevision is the revision at which the plan's record is unreadable; 0: none.
	unreadableRevision atomic.Uint64
}

// NewAdmitter returns the admitter of a controller and registers its metrics. It returns nil if
// admission by a plan is off.
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

// active reports whether jobs are admitted by a plan: admission by a plan is enabled, and the
// fleet's record format says that every controller that may lead supports it.
func (a *Admitter) active() bool {
	return a != nil && a.format.Current() >= storage.FormatV3
}

// State returns the current state of the plan store: the plan in force, if any, and its source.
func (a *Admitter) State() admission.State { return a.planStore.State(a.clock.Steady()) }

// decide decides on a new job. It returns the revision of the plan's record on which the
// acceptance must be conditional.
func (a *Admitter) decide(spec *protocol.JobSpec, role admission.Role) (admission.Decision, uint64) {
	return a.planStore.Decide(spec, role, a.clock.Steady())
}

// DecideIsolated decides on a new job without the leader. It returns the condition on which the
// acceptance must be made. A controller that has not learned yet that the fleet admits by a plan,
// for example just after its start, accepts a job only on condition that there is no plan.
func (a *Admitter) DecideIsolated(spec *protocol.JobSpec) (admission.Decision, protocol.Condition) {
	if !a.active() {
		return admission.Decision{Verdict: admission.Admit}, protocol.Condition{Key: admission.KeyPlan}
	}
	d, revision := a.decide(spec, admission.RoleIsolated)
	return d, protocol.Condition{Key: admission.KeyPlan, Version: revision}
}

// applyItem passes an item of the plan's record to the plan store. The record was written between
// the steady times after and before. While a record is unreadable, the fallback plan is in force,
// and acceptances are conditional on the revision of that record.
func (a *Admitter) applyItem(item protocol.Item, after, before units.Micros) {
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
		_ = a.planStore.Update(observed) // without a plan there is no error
		return
	}
	a.unreadableRevision.Store(0)
}
