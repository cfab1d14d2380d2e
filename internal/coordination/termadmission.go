package coordination

import (
	"context"
	"net/http"

	"dunestand/internal/admission"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// leaderAdmission is what a term knows of the admission of jobs, under the term's lock.
type leaderAdmission struct {
	publisher   *planPublisher
	waiting     *admission.WaitingList
	corrections *admission.Corrections
	// planKnown: the plan's record is known for certain. Until then nobody is told to
	// wait, and nothing is accepted before it was once.
	planKnown, planEverKnown bool
}

func (t *Leader) newLeaderAdmission() leaderAdmission {
	a := leaderAdmission{waiting: admission.NewWaitingList(), corrections: admission.NewCorrections()}
	a.publisher = newPlanPublisher(t.Admitter, t)
	return a
}

// admit decides, under the lock, whether a new job may be entered.
func (t *Leader) admit(spec *protocol.JobSpec) admission.Decision {
	if !t.Admitter.active() {
		return admission.Decision{Verdict: admission.Admit}
	}
	a := &t.admission
	now := t.Clock.Steady()
	if !a.planEverKnown {
		return undecided()
	}
	d, _ := t.Admitter.decide(spec, admission.Leading)
	if d.Verdict == admission.Admit {
		if since, waited := a.waiting.Remove(spec.ID); waited {
			t.Metrics.admissionWaited(now - since)
		} else {
			t.Metrics.admissionWaited(0)
		}
		return d
	}
	a.waiting.Add(spec.ID, d, now)
	if d.Verdict == admission.Undecided {
		raise(t.Admitter.replanSignal)
		return d
	}
	if !a.planKnown {
		return undecided()
	}
	return d
}

// undecided is the decision while no plan is known to be in force.
func undecided() admission.Decision {
	return admission.Decision{Verdict: admission.Undecided, Reason: admission.PlanUnclear, RetryAfter: units.Second}
}

// deferSubmission answers for a job that is not admitted, unless the job is known after all:
// as one that is over, or from the inbox.
func (t *Leader) deferSubmission(ctx context.Context, id string, d admission.Decision) answer {
	if d.Verdict == admission.Undecided {
		// Not 503: another controller that passed the request on would take that for a
		// leaderName that cannot decide, and admit the job beyond the quota.
		return plainAnswer(ErrorResponse(http.StatusTooManyRequests, d.Reason.String()))
	}
	if !t.isSurelyUnknown(id) {
		known := t.Poll(ctx, id)
		if known.Status != http.StatusNotFound {
			return known
		}
		t.mu.Lock()
		t.admission.waiting.SetUnknown(id)
		t.mu.Unlock()
	}
	return waitingAnswer(d)
}

// isSurelyUnknown tells whether no record can tell of a job that waits: none did when this
// leaderName looked, and since then nobody could accept it. Another controller may, once the
// plan has lapsed; long before that the records are read each time.
func (t *Leader) isSurelyUnknown(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.Admitter.keeper.Now(t.Clock.Steady())
	return t.admission.waiting.IsUnknown(id) && state.Force == admission.ByPlan && state.Age < admission.Lifetime/2
}

// planUncertain notes that the plan's record may change at any moment.
func (t *Leader) planUncertain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.admission.planKnown = false
}

// planChanged takes over the revision of the plan's record. New jobs are accepted on that
// condition, and those whose acceptance is not on its way are decided anew.
func (t *Leader) planChanged(revision uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.admission.planKnown, t.admission.planEverKnown = true, true
	t.state.AcceptCondition = &protocol.Condition{Key: admission.KeyPlan, Version: revision}
	t.reconsiderAdmissions()
	raise(t.writeSignal)
}

// reconsiderAdmissions decides, under the lock, about the jobs that were entered and whose
// acceptance is not on its way: it has to be by the plan that it is conditional on. Those
// that were on their way when the plan changed come back here when their save fails.
func (t *Leader) reconsiderAdmissions() {
	now := t.Clock.Steady()
	for _, j := range t.state.UnacceptedJobs() {
		d, _ := t.Admitter.decide(&j.Spec, admission.Leading)
		if d.Verdict == admission.Wait || d.Reason == admission.PlanUnclear {
			t.admission.waiting.Add(j.Spec.ID, d, now)
			t.state.DropUnaccepted(j.Spec.ID)
			t.Log.Info("job not admitted after all", "job", j.Spec.ID, "plan", d.Plan)
		}
	}
}

// measure takes down what the next plan is made from.
func (t *Leader) measure(now units.Micros) admission.Measurement {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := &t.admission
	a.waiting.Expire(now)
	m := admission.Measurement{Now: now, Waiting: a.waiting.Demand(), Corrections: a.corrections.Snapshot()}
	reckoning := t.Admitter.keeper.Reckoning()
	for _, j := range t.state.Jobs {
		if !j.Cancelled {
			cell, work := reckoning.Remaining(&j.Spec, j.Unfinished(), j.MeanRuntime())
			m.Loads = append(m.Loads, admission.Load{Cell: cell, Work: work})
		}
	}
	for _, machine := range t.state.Machines {
		if machine.Registered && !machine.Releasing {
			for pool, amount := range admission.AmountsOf(machine.Capacity) {
				m.Fleet[pool] += amount
			}
		}
	}
	return m
}

// waitingCount is the number of jobs that were told to come back.
func (t *Leader) waitingCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.admission.waiting.Len()
}

// bucketVersion is the version of a bucket's head.
func (t *Leader) bucketVersion(bucket int) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.bucketVersions[bucket]
}
