package admissioncontrol

import (
	"context"
	"io"
	"log/slog"

	"dunestand/internal/admission"
	"dunestand/internal/cluster"
	"dunestand/internal/config"
	"dunestand/internal/election"
	"dunestand/internal/kv"
	"dunestand/internal/loop"
	"dunestand/internal/persister"
	"dunestand/internal/protocol"
	"dunestand/internal/telemetry"
	"dunestand/internal/units"
)

// LeaderAdmissionDeps is what a LeaderAdmission works with. Its logger names the leader; the
// Admitter's does not.
type LeaderAdmissionDeps struct {
	State       *cluster.State
	Admitter    *Admitter // nil: all jobs are admitted
	Leadership  election.Leadership
	Persister   *persister.Persister
	Ingester    *persister.Ingester
	Settings    *config.Settings
	KV          *kv.Client
	Clock       units.Clock
	Log         *slog.Logger
	Metrics     *telemetry.Metrics
	WriteSignal loop.Signal // raised when jobs can be accepted by a new plan
}

// LeaderAdmission decides, by the fleet's admission plan, which new jobs the leader accepts, and
// publishes the plans. It belongs to one leader. All its own fields but publisher are guarded by
// the lock of the state; methods that need it held say so, and the others must be called without
// it.
type LeaderAdmission struct {
	LeaderAdmissionDeps

	publisher *planPublisher
	// Waiting holds the jobs whose users were told to come back.
	Waiting             *admission.WaitingList
	estimateCorrections *admission.EstimateCorrections
	// planKnown: the plan's record is known for certain. While it is not, nobody is told to
	// wait; and nothing is accepted before it was known once.
	planKnown, planEverKnown bool
}

// NewLeaderAdmission returns the admission of a leader that does not know the plan's record yet.
func NewLeaderAdmission(deps LeaderAdmissionDeps) *LeaderAdmission {
	la := &LeaderAdmission{
		LeaderAdmissionDeps: deps,
		Waiting:             admission.NewWaitingList(),
		estimateCorrections: admission.NewEstimateCorrections(),
	}
	la.publisher = newPlanPublisher(deps, la)
	return la
}

// Run publishes plans until ctx ends.
func (la *LeaderAdmission) Run(ctx context.Context) { la.publisher.run(ctx) }

// Publish makes a plan now, and writes it if it is due. It fails with ErrPlanUnreadable, an
// error of the client or one of the plan's encoding.
func (la *LeaderAdmission) Publish(ctx context.Context) error { return la.publisher.step(ctx, true) }

// PlanVersion returns the version of the plan that was written last. It must not be called while
// plans are published.
func (la *LeaderAdmission) PlanVersion() uint64 { return la.publisher.lastVersion }

// WriteMetrics writes the usage of the teams by the last proposal of a plan, in the text format of
// Prometheus.
func (la *LeaderAdmission) WriteMetrics(w io.Writer) { la.publisher.writeUsages(w) }

// ObserveRun learns from a task that was seen to run from its start to its end how far its team's
// estimates are off. It needs the lock of the state held.
func (la *LeaderAdmission) ObserveRun(j *cluster.Job, run units.Micros) {
	la.estimateCorrections.RecordRun(j.Spec.Team, j.Spec.Estimate, run)
}

// Admit decides whether a new job may be added to the state. It needs the lock of the state
// held.
func (la *LeaderAdmission) Admit(spec *protocol.JobSpec) admission.Decision {
	if !la.Admitter.active() {
		return admission.Decision{Verdict: admission.Admit}
	}
	now := la.Clock.Steady()
	if !la.planEverKnown {
		return undecidedDecision()
	}
	d, _ := la.Admitter.decide(spec, admission.Leader)
	if d.Verdict == admission.Admit {
		if since, waited := la.Waiting.Remove(spec.ID); waited {
			la.Metrics.ObserveAdmissionWait(now - since)
		} else {
			la.Metrics.ObserveAdmissionWait(0)
		}
		return d
	}
	la.Waiting.Add(spec.ID, d, now)
	if d.Verdict == admission.Undecided {
		la.Admitter.replanSignal.Raise()
		return d
	}
	if !la.planKnown {
		return undecidedDecision()
	}
	return d
}

// undecidedDecision returns the decision while no plan is known to be in force.
func undecidedDecision() admission.Decision {
	return admission.Decision{Verdict: admission.Undecided, Reason: admission.PlanUncertain, RetryAfter: units.Second}
}

// IsCertainlyUnrecorded reports whether it is certain that no record names a job that waits: none did
// when this leader looked, and since then nobody could accept it. Another controller may, once the
// plan has expired; long before that the records are read each time.
func (la *LeaderAdmission) IsCertainlyUnrecorded(id string) bool {
	la.State.Lock()
	defer la.State.Unlock()
	state := la.Admitter.State()
	return la.Waiting.Unrecorded(id) && state.Source == admission.SourceRecord && state.Age < admission.PlanLifetime/2
}

// markPlanUncertain notes that the plan's record may change at any moment from now on.
func (la *LeaderAdmission) markPlanUncertain() {
	la.State.Lock()
	defer la.State.Unlock()
	la.planKnown = false
}

// setPlanRevision notes that the plan's record is known at a revision. New jobs are accepted on
// that condition, and those whose acceptance is not on its way are decided anew.
func (la *LeaderAdmission) setPlanRevision(revision uint64) {
	la.State.Lock()
	defer la.State.Unlock()
	la.planKnown, la.planEverKnown = true, true
	la.State.AcceptCondition = &protocol.Condition{Key: admission.KeyPlan, Version: revision}
	la.Reconsider()
	la.WriteSignal.Raise()
}

// Reconsider decides again about the jobs that were added to the state and whose acceptance is
// not on its way: it has to be by the plan that it is conditional on. Those that were on their way
// when the plan changed are reconsidered when their write batch fails. It needs the lock of the
// state held.
func (la *LeaderAdmission) Reconsider() {
	now := la.Clock.Steady()
	for _, j := range la.State.UnacceptedJobs() {
		d, _ := la.Admitter.decide(&j.Spec, admission.Leader)
		if d.Verdict == admission.Wait || d.Reason == admission.PlanUncertain {
			la.Waiting.Add(j.Spec.ID, d, now)
			la.State.DropUnaccepted(j.Spec.ID)
			la.Log.Info("unaccepted job no longer admitted", "job", j.Spec.ID, "plan", d.PlanVersion)
		}
	}
}

// measure returns what the next plan is made from.
func (la *LeaderAdmission) measure(now units.Micros) admission.Measurement {
	la.State.Lock()
	defer la.State.Unlock()
	la.Waiting.Expire(now)
	m := admission.Measurement{Now: now, Waiting: la.Waiting.Demand(), EstimateCorrections: la.estimateCorrections.Snapshot()}
	plan := la.Admitter.planStore.LatestPlan()
	for _, j := range la.State.Jobs {
		if !j.Cancelled {
			cell, work := plan.ClassifyRemaining(&j.Spec, j.Unfinished(), j.MeanRuntime())
			m.Backlog = append(m.Backlog, admission.CellBacklog{Cell: cell, Work: work})
		}
	}
	for _, machine := range la.State.Machines {
		if machine.Registered && !machine.Releasing {
			for pool, amount := range admission.AmountsOf(machine.Capacity) {
				m.FleetCapacity[pool] += amount
			}
		}
	}
	return m
}

// WaitingCount returns the number of jobs whose users were told to come back.
func (la *LeaderAdmission) WaitingCount() int {
	la.State.Lock()
	defer la.State.Unlock()
	return la.Waiting.Len()
}

// RereadPlan finds out which plan is in force, after a write met another version of it. It tries
// until it succeeds or ctx ends.
func (la *LeaderAdmission) RereadPlan(ctx context.Context) { la.publisher.rereadRecord(ctx) }
