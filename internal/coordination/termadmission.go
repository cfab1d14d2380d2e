package coordination

import (
	"context"
	"net/http"

	"dunestand/internal/admission"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// termAdmission is what a term knows of the admission of jobs, under the term's lock.
type termAdmission struct {
	publisher   *planPublisher
	waiting     *admission.WaitingList
	corrections *admission.Corrections
	// settled: the plan's record is known for certain. Until then nobody is told to
	// wait, and nothing is accepted before it was once.
	settled, everSettled bool
}

func (t *Term) newAdmission() termAdmission {
	a := termAdmission{waiting: admission.NewWaitingList(), corrections: admission.NewCorrections()}
	a.publisher = newPlanPublisher(t.Admitter, t)
	return a
}

// admit decides, under the lock, whether a new job may be entered.
func (t *Term) admit(spec *protocol.JobSpec) admission.Decision {
	if !t.Admitter.active() {
		return admission.Decision{Verdict: admission.Admit}
	}
	a := &t.admission
	now := t.Clock.Steady()
	if !a.everSettled {
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
		signal(t.Admitter.replan)
		return d
	}
	if !a.settled {
		return undecided()
	}
	return d
}

// undecided is the decision while no plan is known to be in force.
func undecided() admission.Decision {
	return admission.Decision{Verdict: admission.Undecided, Reason: admission.PlanUnclear, RetryAfter: units.Second}
}

// refuseForNow answers for a job that is not admitted, unless the job is known after all:
// as one that is over, or from the inbox.
func (t *Term) refuseForNow(ctx context.Context, id string, d admission.Decision) answer {
	if d.Verdict == admission.Undecided {
		// Not 503: another controller that passed the request on would take that for a
		// leader that cannot decide, and admit the job beyond the quota.
		return plainAnswer(Refuse(http.StatusTooManyRequests, d.Reason.String()))
	}
	if !t.surelyUnknown(id) {
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

// surelyUnknown tells whether no record can tell of a job that waits: none did when this
// leader looked, and since then nobody could accept it. Another controller may, once the
// plan has lapsed; long before that the records are read each time.
func (t *Term) surelyUnknown(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.Admitter.keeper.Now(t.Clock.Steady())
	return t.admission.waiting.IsUnknown(id) && state.Force == admission.ByPlan && state.Age < admission.Lifetime/2
}

// planInDoubt notes that the plan's record may change at any moment.
func (t *Term) planInDoubt() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.admission.settled = false
}

// planChanged takes over the revision of the plan's record. New jobs are accepted on that
// condition, and those whose acceptance is not on its way are decided anew.
func (t *Term) planChanged(revision uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.admission.settled, t.admission.everSettled = true, true
	t.ledger.AcceptCondition = &protocol.Condition{Key: admission.KeyPlan, Version: revision}
	t.decideAnew()
	signal(t.saveSignal)
}

// decideAnew decides, under the lock, about the jobs that were entered and whose
// acceptance is not on its way: it has to be by the plan that it is conditional on. Those
// that were on their way when the plan changed come back here when their save fails.
func (t *Term) decideAnew() {
	now := t.Clock.Steady()
	for _, j := range t.ledger.UnacceptedJobs() {
		d, _ := t.Admitter.decide(&j.Spec, admission.Leading)
		if d.Verdict == admission.Wait || d.Reason == admission.PlanUnclear {
			t.admission.waiting.Add(j.Spec.ID, d, now)
			t.ledger.DropUnaccepted(j.Spec.ID)
			t.Log.Info("job not admitted after all", "job", j.Spec.ID, "plan", d.Plan)
		}
	}
}

// measure takes down what the next plan is made from.
func (t *Term) measure(now units.Micros) admission.Measurement {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := &t.admission
	a.waiting.Expire(now)
	m := admission.Measurement{Now: now, Waiting: a.waiting.Demand(), Corrections: a.corrections.Snapshot()}
	reckoning := t.Admitter.keeper.Reckoning()
	for _, j := range t.ledger.Jobs {
		if !j.Cancelled {
			cell, work := reckoning.Remaining(&j.Spec, j.Unfinished(), j.MeanRuntime())
			m.Loads = append(m.Loads, admission.Load{Cell: cell, Work: work})
		}
	}
	for _, machine := range t.ledger.Machines {
		if machine.Registered && !machine.Releasing {
			for pool, amount := range admission.AmountsOf(machine.Capacity) {
				m.Fleet[pool] += amount
			}
		}
	}
	return m
}

// waitingJobs is the number of jobs that were told to come back.
func (t *Term) waitingJobs() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.admission.waiting.Len()
}

// bucketVersion is the version of a bucket's head.
func (t *Term) bucketVersion(bucket int) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.bucketVersions[bucket]
}
