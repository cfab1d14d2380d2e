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

// LeaderAdmissionDeps holds the dependencies of a LeaderAdmission. Its logger adds attributes of
// the leader, which the Admitter's does not.
type LeaderAdmissionDeps struct {
	State       *cluster.State
	Admitter    *Admitter // nil: admit all jobs
	Leadership  election.Leadership
	Persister   *persister.Persister
	Ingester    *persister.Ingester
	Settings    *config.Settings
	KV          *kv.Client
	Clock       units.Clock
	Log         *slog.Logger
	Metrics     *telemetry.Metrics
	WriteSignal loop.Signal // raised when jobs can be accepted under a new plan
}

// LeaderAdmission decides by the fleet's admission plan which new jobs the leader accepts, and
// publishes the plans. It belongs to one leader. The lock of State guards the fields that are
// declared here, except publisher. A method must be called without that lock unless its comment
// says that the caller must hold it.
type LeaderAdmission struct {
	LeaderAdmissionDeps

	publisher *planPublisher
	// Waiting holds the submitted jobs that are not admitted yet.
	Waiting             *admission.WaitingList
	estimateCorrections *admission.EstimateCorrections
	// planKnown says that the revision of the plan's record is certain. While it is not, no job
	// gets the verdict Wait. planEverKnown says that it was certain at least once. Before that,
	// no job is admitted.
	planKnown, planEverKnown bool
}

// NewLeaderAdmission returns the admission of a leader that has not read the plan's record yet.
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

// Publish makes a plan now and writes it if it is due. It returns ErrPlanUnreadable, an error of
// the key-value store client or an error of encoding the plan.
func (la *LeaderAdmission) Publish(ctx context.Context) error { return la.publisher.step(ctx, true) }

// PlanVersion returns the version of the plan that was written last. It must not be called
// concurrently with Run or Publish.
func (la *LeaderAdmission) PlanVersion() uint64 { return la.publisher.lastVersion }

// WriteMetrics writes the usage of the teams at the last proposal of a plan in the Prometheus text
// format.
func (la *LeaderAdmission) WriteMetrics(w io.Writer) { la.publisher.writeUsages(w) }

// ObserveRun records the run time of a task of a job, to correct the estimates of its team. The
// task must have been observed from start to end. The caller must hold the lock of the state.
func (la *LeaderAdmission) ObserveRun(j *cluster.Job, run units.Micros) {
	la.estimateCorrections.RecordRun(j.Spec.Team, j.Spec.Estimate, run)
}

// Admit decides whether a new job may be added to the state. The caller must hold the lock of the
// state.
func (la *LeaderAdmission) Admit(spec *protocol.JobSpec) admission.Decision {
	if !la.Admitter.active() {
		return admission.Decision{Verdict: admission.Admit}
	}
	now := la.Clock.Steady()
	if !la.planEverKnown {
		return undecidedDecision()
	}
	d, _ := la.Admitter.decide(spec, admission.RoleLeader)
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

// undecidedDecision returns the decision on any job while the plan in force is uncertain.
func undecidedDecision() admission.Decision {
	return admission.Decision{Verdict: admission.Undecided, Reason: admission.PlanUncertain, RetryAfter: units.Second}
}

// IsCertainlyUnrecorded reports whether it is certain that no record in the key-value store names
// a waiting job: none did when this leader read the records, and no other controller can have
// accepted the job since then. Other controllers may accept jobs once the plan has expired, so
// the result is false from half of PlanLifetime on, and the caller must read the records.
func (la *LeaderAdmission) IsCertainlyUnrecorded(id string) bool {
	la.State.Lock()
	defer la.State.Unlock()
	state := la.Admitter.State()
	return la.Waiting.Unrecorded(id) && state.Source == admission.SourceRecord && state.Age < admission.PlanLifetime/2
}

// markPlanUncertain records that the plan's record may change at any time from now on.
func (la *LeaderAdmission) markPlanUncertain() {
	la.State.Lock()
	defer la.State.Unlock()
	la.planKnown = false
}

// setPlanRevision records that the plan's record is certainly at a revision. Acceptances are
// conditional on that revision from now on, and added jobs whose acceptance was not sent yet are
// decided on again.
func (la *LeaderAdmission) setPlanRevision(revision uint64) {
	la.State.Lock()
	defer la.State.Unlock()
	la.planKnown, la.planEverKnown = true, true
	la.State.AcceptCondition = &protocol.Condition{Key: admission.KeyPlan, Version: revision}
	la.Reconsider()
	la.WriteSignal.Raise()
}

// Reconsider decides again on the jobs that were added to the state and whose acceptance was not
// sent yet, because a job must be admitted by the plan on which its acceptance is conditional.
// Acceptances that were in flight when the plan changed fail with their write batch, and the
// jobs are reconsidered then. The caller must hold the lock of the state.
func (la *LeaderAdmission) Reconsider() {
	now := la.Clock.Steady()
	for _, j := range la.State.UnacceptedJobs() {
		d, _ := la.Admitter.decide(&j.Spec, admission.RoleLeader)
		if d.Verdict == admission.Wait || d.Reason == admission.PlanUncertain {
			la.Waiting.Add(j.Spec.ID, d, now)
			la.State.DropUnaccepted(j.Spec.ID)
			la.Log.Info("unaccepted job no longer admitted", "job", j.Spec.ID, "plan", d.PlanVersion)
		}
	}
}

// measure returns the measurement for the next plan.
func (la *LeaderAdmission) measure(now units.Micros) admission.Measurement {
	la.State.Lock()
	defer la.State.Unlock()
	la.Waiting.Expire(now)
	m := admission.Measurement{Now: now, Waiting: la.Waiting.Demand(), EstimateCorrections: la.estimateCorrections.Snapshot()}
	plan := la.Admitter.planStore.LatestPlan()
	for _, j := range la.State.Jobs {
		if !j.Cancelled {
			flow, work := plan.ClassifyRemaining(&j.Spec, j.Unfinished(), j.MeanRuntime())
			m.Backlog = append(m.Backlog, admission.FlowBacklog{Flow: flow, Work: work})
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

// WaitingCount returns the number of jobs on the waiting list.
func (la *LeaderAdmission) WaitingCount() int {
	la.State.Lock()
	defer la.State.Unlock()
	return la.Waiting.Len()
}

// RereadPlan reads the plan's record again after a write failed on a version conflict with it. It
// retries until it succeeds or ctx ends.
func (la *LeaderAdmission) RereadPlan(ctx context.Context) { la.publisher.rereadRecord(ctx) }
