// Package admissioncontrol applies the admission plan of package admission on a controller:
// every controller follows the plan's record and decides by it, and the leader makes and
// publishes the plans.
package admissioncontrol

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync/atomic"

	"dunestand/internal/admission"
	"dunestand/internal/answer"
	"dunestand/internal/cluster"
	"dunestand/internal/config"
	"dunestand/internal/kv"
	"dunestand/internal/loop"
	"dunestand/internal/protocol"
	"dunestand/internal/recordformat"
	"dunestand/internal/storage"
	"dunestand/internal/telemetry"
	"dunestand/internal/units"
)

// Admitter is what a controller needs to admit jobs by the fleet's plan. A nil one admits
// all.
type Admitter struct {
	options admission.Options
	teams   []admission.Team
	keeper  *admission.PlanStore
	store   *kv.Client // on connections of its own: a watch keeps one
	format  recordformat.Source
	clock   units.Clock
	log     *slog.Logger
	metrics *telemetry.Metrics
	// replanSignal asks the leader's loop for a new plan at once.
	replanSignal loop.Signal
	// unreadable is the revision of a record that could not be read, 0: none.
	unreadable atomic.Uint64
}

// admissionTeams gives the teams as package admission knows them.
func admissionTeams(teams []config.Team) []admission.Team {
	out := make([]admission.Team, len(teams))
	for i, t := range teams {
		out[i] = admission.Team{
			Name:            t.Name,
			GuaranteedQuota: admission.Amounts{admission.CPU: units.AmountOf(t.CPUs), admission.GPU: units.AmountOf(t.GPUs)},
			QuotaLimit:      admission.AmountsOf(cluster.QuotaLimitOf(t)),
		}
	}
	return out
}

// AdmissionOptions gives a policy's choices as package admission knows them.
func AdmissionOptions(p config.AdmissionPolicy) admission.Options {
	weights := func(shares []config.Share) map[string]float64 {
		out := map[string]float64{}
		for _, s := range shares {
			out[s.Name] = s.Weight
		}
		return out
	}
	return admission.Options{
		Horizon:     p.Horizon,
		TeamShares:  weights(p.TeamShares),
		ClassShares: weights(p.ClassShares),
	}
}

// NewAdmitter makes a controller's admitter; nil where admission is off.
func NewAdmitter(s *config.Settings, options admission.Options, store *kv.Client, format recordformat.Source, clock units.Clock, log *slog.Logger, metrics *telemetry.Metrics) *Admitter {
	if !options.Enabled() {
		return nil
	}
	teams := admissionTeams(s.Fleet.Teams)
	a := &Admitter{
		options:      options,
		teams:        teams,
		keeper:       admission.NewPlanStore(options, teams, 1+len(s.Others)),
		store:        store.WithOwnConnections(),
		format:       format,
		clock:        clock,
		log:          log,
		metrics:      metrics,
		replanSignal: loop.NewSignal(),
	}
	a.addMetrics()
	return a
}

func (a *Admitter) addMetrics() {
	truth := func(b bool) float64 {
		if b {
			return 1
		}
		return 0
	}
	now := a.State
	a.metrics.Gauge("dunestand_admission_active", func() float64 { return truth(a.active()) })
	a.metrics.Gauge("dunestand_admission_held_back", func() float64 { return truth(!a.active()) })
	a.metrics.Gauge("dunestand_admission_plan_unreadable", func() float64 { return truth(a.unreadable.Load() != 0) })
	a.metrics.Gauge("dunestand_admission_at_floor", func() float64 { return truth(now().Source == admission.SourceFallback) })
	a.metrics.Gauge("dunestand_admission_plan_version", func() float64 {
		if s := now(); s.Source == admission.SourceRecord {
			return float64(s.Plan.Version)
		}
		return 0
	})
	a.metrics.Gauge("dunestand_admission_restricted_cells", func() float64 {
		if s := now(); s.Plan != nil {
			return float64(s.Plan.NumRestrictedCells())
		}
		return 0
	})
	a.metrics.AddWriter(a.writeCounts)
}

// writeCounts writes what this controller has decided, by team.
func (a *Admitter) writeCounts(w io.Writer) {
	for _, c := range a.keeper.CountsByTeam() {
		fmt.Fprintf(w, "dunestand_admission_admitted_total{team=%q} %d\n", c.Team, c.Admitted)
		fmt.Fprintf(w, "dunestand_admission_waits_total{team=%q} %d\n", c.Team, c.Waits)
		fmt.Fprintf(w, "dunestand_admission_undecided_total{team=%q} %d\n", c.Team, c.Undecided)
	}
}

// active tells whether jobs are admitted by the plan: it is turned on, and every
// controller that may lead knows of it.
func (a *Admitter) active() bool {
	return a != nil && a.format.Current() >= storage.FormatAdmission
}

// State is what admits jobs now: the plan in force, or the built-in minimum.
func (a *Admitter) State() admission.State { return a.keeper.State(a.clock.Steady()) }

// decide decides about a job that is not known. The revision tells on which version of
// the plan's record its acceptance must be conditional.
func (a *Admitter) decide(spec *protocol.JobSpec, side admission.Role) (admission.Decision, uint64) {
	return a.keeper.Decide(spec, side, a.clock.Steady())
}

// DecideAlone decides without the leader, and gives what an acceptance is conditional on.
// A controller that does not know yet that the fleet admits by a plan, as after its start,
// accepts a job only if there is none.
func (a *Admitter) DecideAlone(spec *protocol.JobSpec) (admission.Decision, protocol.Condition) {
	if !a.active() {
		return admission.Decision{Verdict: admission.Admit}, protocol.Condition{Key: admission.KeyPlan}
	}
	d, revision := a.decide(spec, admission.Isolated)
	return d, protocol.Condition{Key: admission.KeyPlan, Version: revision}
}

// adopt takes over what the record held at an item's version. A record that cannot be
// read is neither obeyed nor taken for none.
func (a *Admitter) adopt(item protocol.Item, after, before units.Micros) {
	plan, err := admission.Decode(item.Value)
	held := admission.ObservedPlan{Plan: plan, Revision: item.Version, WrittenAfter: after, WrittenBefore: before}
	if err == nil {
		err = a.keeper.Update(held)
	}
	if err != nil {
		if a.unreadable.Swap(item.Version) != item.Version {
			a.log.Error("the admission plan is not readable; it is not obeyed and not overwritten", "revision", item.Version, "error", err)
		}
		held.Plan = nil
		_ = a.keeper.Update(held) // without a plan nothing can be wrong with it
		return
	}
	a.unreadable.Store(0)
}

const (
	planWatchTimeout       = 2 * units.Second // how long a watch of the plan's record stays open
	planRetryDelay         = units.Second
	activationPollInterval = units.Second
)

// Follow keeps the controller's plan up to date until ctx ends.
func (a *Admitter) Follow(ctx context.Context) {
	if a == nil || !a.waitActive(ctx) {
		return
	}
	f := NewPlanFollower(a)
	for ctx.Err() == nil {
		if err := f.Step(ctx); err != nil {
			a.log.Debug("the admission plan is not followed", "error", err)
			if !loop.Sleep(ctx, planRetryDelay) {
				return
			}
		}
	}
}

// waitActive waits until the fleet's format allows admission by a plan.
func (a *Admitter) waitActive(ctx context.Context) bool {
	if !a.active() {
		a.log.Info("admission is held back until every controller has it turned on")
	}
	for !a.active() {
		if !loop.Sleep(ctx, activationPollInterval) {
			return false
		}
	}
	a.log.Info("admission by plan", "horizon_s", a.options.Horizon.Seconds())
	return true
}

// planFollower follows the plan's record by a watch.
type planFollower struct {
	admitter *Admitter
	revision uint64       // up to which changes are known; 0: the record has to be read
	asOf     units.Micros // nothing that is not known was written before
	began    bool
}

func NewPlanFollower(a *Admitter) *planFollower { return &planFollower{admitter: a} }

// Step reads the record, or waits for its next change.
func (f *planFollower) Step(ctx context.Context) error {
	a := f.admitter
	sent := a.clock.Steady()
	if f.revision == 0 {
		item, revision, err := a.store.ReadAtRevision(ctx, admission.KeyPlan, kv.CallTimeout)
		if err != nil {
			return err
		}
		f.take(item, revision)
		f.revision, f.asOf, f.began = revision, sent, true
		return nil
	}
	list, err := a.store.Watch(ctx, admission.KeyPrefix, f.revision, planWatchTimeout)
	if err != nil {
		f.revision = 0
		return err
	}
	for _, change := range list.Changes {
		switch {
		case change.Delete == admission.KeyPlan:
			a.keeper.Clear(change.Version)
		case change.Set == admission.KeyPlan:
			f.take(protocol.Item{Key: change.Set, Value: change.Value, Version: change.Version}, list.Revision)
		}
	}
	f.revision, f.asOf = max(list.Revision, f.revision), sent
	return nil
}

// take hands a record on. How old it is at most is told by when a former look did not
// show it yet.
func (f *planFollower) take(item protocol.Item, revision uint64) {
	a := f.admitter
	if item.Version == 0 {
		a.keeper.Clear(revision)
		return
	}
	after := f.asOf
	if !f.began {
		after = a.clock.Steady() - admission.PlanLifetime // it may be of any age
	}
	a.adopt(item, after, a.clock.Steady())
}

// WaitingAnswer tells a user that a job is not accepted now, and when to come back.
func WaitingAnswer(d admission.Decision) answer.Answer {
	r := answer.ErrorResponse(http.StatusTooManyRequests, d.Reason.String())
	r.Body = protocol.Encode(protocol.ErrorResponse{Message: d.Reason.String(), PlanVersion: d.PlanVersion})
	r.RetryAfter = int((d.RetryAfter + units.Second - 1) / units.Second)
	return answer.Plain(r)
}
