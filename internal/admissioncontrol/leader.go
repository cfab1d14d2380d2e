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

// LeaderAdmissionDeps is what a LeaderAdmission works with.
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
	WriteSignal loop.Signal
}

// LeaderAdmission decides, by the fleet's admission plan, which new jobs the leader accepts.
// Its fields are guarded by the lock of state.
type LeaderAdmission struct {
	LeaderAdmissionDeps

	publisher   *planPublisher
	Waiting     *admission.WaitingList
	corrections *admission.EstimateCorrections
	// planKnown: the plan's record is known for certain. Until then nobody is told to
	// wait, and nothing is accepted before it was once.
	planKnown, planEverKnown bool
}

func NewLeaderAdmission(deps LeaderAdmissionDeps) *LeaderAdmission {
	la := &LeaderAdmission{
		LeaderAdmissionDeps: deps,
		Waiting:             admission.NewWaitingList(),
		corrections:         admission.NewEstimateCorrections(),
	}
	la.publisher = newPlanPublisher(deps, la)
	return la
}

// Run publishes plans until ctx ends.
func (la *LeaderAdmission) Run(ctx context.Context) { la.publisher.loop(ctx) }

// Publish makes a plan now, and writes it if it is due.
func (la *LeaderAdmission) Publish(ctx context.Context) error { return la.publisher.step(ctx, true) }

// PlanVersion is the version of the plan that was written last. It must not be called while
// plans are published.
func (la *LeaderAdmission) PlanVersion() uint64 { return la.publisher.version }

// WriteMetrics writes the usage of the teams by the last proposal of a plan.
func (la *LeaderAdmission) WriteMetrics(w io.Writer) { la.publisher.writeStandings(w) }

// ObserveRun learns from a task that was seen to run from its start to its end. It needs the
// lock of the state held.
func (la *LeaderAdmission) ObserveRun(j *cluster.Job, run units.Micros) {
	la.corrections.RecordRun(j.Spec.Team, j.Spec.Estimate, run)
}

// Admit decides, under the lock, whether a new job may be entered.
func (la *LeaderAdmission) Admit(spec *protocol.JobSpec) admission.Decision {
	if !la.Admitter.active() {
		return admission.Decision{Verdict: admission.Admit}
	}
	now := la.Clock.Steady()
	if !la.planEverKnown {
		return undecided()
	}
	d, _ := la.Admitter.decide(spec, admission.Leader)
	if d.Verdict == admission.Admit {
		if since, waited := la.Waiting.Remove(spec.ID); waited {
			la.Metrics.AdmissionWaited(now - since)
		} else {
			la.Metrics.AdmissionWaited(0)
		}
		return d
	}
	la.Waiting.Add(spec.ID, d, now)
	if d.Verdict == admission.Undecided {
		la.Admitter.replanSignal.Raise()
		return d
	}
	if !la.planKnown {
		return undecided()
	}
	return d
}

// undecided is the decision while no plan is known to be in force.
func undecided() admission.Decision {
	return admission.Decision{Verdict: admission.Undecided, Reason: admission.PlanUncertain, RetryAfter: units.Second}
}

// IsSurelyUnknown tells whether no record can tell of a job that waits: none did when this
// leader looked, and since then nobody could accept it. Another controller may, once the
// plan has lapsed; long before that the records are read each time.
func (la *LeaderAdmission) IsSurelyUnknown(id string) bool {
	la.State.Lock()
	defer la.State.Unlock()
	state := la.Admitter.State()
	return la.Waiting.Unrecorded(id) && state.Source == admission.SourceRecord && state.Age < admission.PlanLifetime/2
}

// planUncertain notes that the plan's record may change at any moment.
func (la *LeaderAdmission) planUncertain() {
	la.State.Lock()
	defer la.State.Unlock()
	la.planKnown = false
}

// planChanged takes over the revision of the plan's record. New jobs are accepted on that
// condition, and those whose acceptance is not on its way are decided anew.
func (la *LeaderAdmission) planChanged(revision uint64) {
	la.State.Lock()
	defer la.State.Unlock()
	la.planKnown, la.planEverKnown = true, true
	la.State.AcceptCondition = &protocol.Condition{Key: admission.KeyPlan, Version: revision}
	la.Reconsider()
	la.WriteSignal.Raise()
}

// Reconsider decides, under the lock, about the jobs that were entered and whose
// acceptance is not on its way: it has to be by the plan that it is conditional on. Those
// that were on their way when the plan changed come back here when their save fails.
func (la *LeaderAdmission) Reconsider() {
	now := la.Clock.Steady()
	for _, j := range la.State.UnacceptedJobs() {
		d, _ := la.Admitter.decide(&j.Spec, admission.Leader)
		if d.Verdict == admission.Wait || d.Reason == admission.PlanUncertain {
			la.Waiting.Add(j.Spec.ID, d, now)
			la.State.DropUnaccepted(j.Spec.ID)
			la.Log.Info("job not admitted after all", "job", j.Spec.ID, "plan", d.PlanVersion)
		}
	}
}

// measure takes down what the next plan is made from.
func (la *LeaderAdmission) measure(now units.Micros) admission.Measurement {
	la.State.Lock()
	defer la.State.Unlock()
	la.Waiting.Expire(now)
	m := admission.Measurement{Now: now, Waiting: la.Waiting.Demand(), EstimateCorrections: la.corrections.Snapshot()}
	reckoning := la.Admitter.keeper.LatestPlan()
	for _, j := range la.State.Jobs {
		if !j.Cancelled {
			cell, work := reckoning.ClassifyRemaining(&j.Spec, j.Unfinished(), j.MeanRuntime())
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

// WaitingCount is the number of jobs that were told to come back.
func (la *LeaderAdmission) WaitingCount() int {
	la.State.Lock()
	defer la.State.Unlock()
	return la.Waiting.Len()
}

// RereadPlan finds out which plan is in force, after a write met another version of it.
func (la *LeaderAdmission) RereadPlan(ctx context.Context) { la.publisher.rereadRecord(ctx) }
