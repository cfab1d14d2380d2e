package controller

import (
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dunestand/internal/admission"
	"dunestand/internal/admissioncontrol"
	"dunestand/internal/cluster"
	"dunestand/internal/fake"
	"dunestand/internal/kv"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
)

// Publishing a plan first ingests the pending-submission queue. Otherwise the user of a job that
// another controller has accepted under the previous plan could be asked to wait by the new one.
func TestPendingQueueIsIngestedWithEachPlan(t *testing.T) {
	store := fake.NewKVServer()
	leader := newLeaderWithAdmission(t, 1, store)
	fillQuota(t, leader)
	spec := teamJobSpec("j-000901", "team", 1)
	leader.expectWait(t, spec)
	store.Apply(cluster.PendingSubmissionTxn(cluster.PendingSubmission{Spec: *spec})) // accepted under the current plan
	if err := leader.publishPlan(t.Context()); err != nil {
		t.Fatal(err)
	}
	if a := leader.Submit(t.Context(), spec); a.Status == http.StatusTooManyRequests {
		t.Error("submission of a job that another controller has accepted is asked to wait")
	}
}

// While the outcome of a plan write is unknown, no submission is asked to wait by the previous
// plan, since other controllers may follow the new one already. The next plan has a higher version
// than the one whose write got no response.
func TestPreviousPlanIsNotUsedWhilePlanWriteOutcomeIsUnknown(t *testing.T) {
	store := fake.NewKVServer()
	var dropResponses atomic.Bool
	store.DropResponse = func(int) bool { return dropResponses.Load() }
	leader := newLeaderWithAdmission(t, 1, store)
	fillQuota(t, leader)
	spec := teamJobSpec("j-000901", "team", 1)
	leader.expectWait(t, spec)
	dropResponses.Store(true)
	if err := leader.publishPlan(t.Context()); err == nil {
		t.Fatal("plan published although the responses are dropped")
	}
	var refusal protocol.ErrorResponse
	a := leader.Submit(t.Context(), spec)
	if err := protocol.Decode(a.Body, &refusal); err != nil || a.Status != http.StatusTooManyRequests || refusal.PlanVersion != 0 {
		t.Errorf("while the outcome of the plan write is unknown: status %d, plan version %d, %v", a.Status, refusal.PlanVersion, err)
	}
	dropResponses.Store(false)
	written := leader.admission.PlanVersion() + 1
	if err := leader.publishPlan(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got := leader.admission.PlanVersion(); got <= written {
		t.Errorf("plan version %d is not higher than version %d, whose write got no response", got, written)
	}
	leader.expectWait(t, spec)
}

// A former leader cannot write a plan once its successor has changed the bucket heads, so it never
// replaces a plan of its successor.
func TestFormerLeaderWritesNoPlan(t *testing.T) {
	store := fake.NewKVServer()
	former := newLeaderWithAdmission(t, 1, store)
	if err := former.publishPlan(t.Context()); err != nil {
		t.Fatal(err)
	}
	successor := newLeaderWithAdmission(t, 2, store)
	before, _ := store.Get(admission.KeyPlan)
	var conflict *kv.VersionConflictError
	if err := former.publishPlan(t.Context()); !errors.As(err, &conflict) {
		t.Errorf("plan write of the former leader: %v, want a version conflict", err)
	}
	if after, _ := store.Get(admission.KeyPlan); after.Version != before.Version {
		t.Error("plan record changed by the former leader")
	}
	if err := successor.publishPlan(t.Context()); err != nil {
		t.Fatal(err)
	}
	item, _ := store.Get(admission.KeyPlan)
	if plan, err := admission.Decode(item.Value); err != nil || plan.FencingToken != 2 || plan.Version < 2 {
		t.Errorf("plan of the successor: %+v, %v", plan, err)
	}
}

// An unreadable plan record is neither followed nor overwritten. Jobs are admitted by the fallback
// until an operator has deleted the record.
func TestUnreadablePlanIsNeitherFollowedNorOverwritten(t *testing.T) {
	for name, record := range map[string]any{
		"malformed version":   map[string]any{"v": 1, "n": "seven"},
		"no fencing token":    map[string]any{"v": 1, "n": 7, "term": 0},
		"newer record format": map[string]any{"v": 2, "n": 7, "term": 1, "ahead": 1, "cap": []int{0, 0}},
	} {
		store := fake.NewKVServer()
		store.Put(admission.KeyPlan, protocol.Encode(record))
		leader := newLeaderWithAdmission(t, 1, store)
		before, _ := store.Get(admission.KeyPlan)
		for range 3 {
			if err := leader.publishPlan(t.Context()); !errors.Is(err, admissioncontrol.ErrPlanUnreadable) {
				t.Errorf("%s: %v", name, err)
			}
		}
		if after, _ := store.Get(admission.KeyPlan); after.Version != before.Version {
			t.Errorf("%s: record overwritten", name)
		}
		if state := leader.Admitter.State(); state.Source != admission.SourceFallback {
			t.Errorf("%s: jobs are admitted by %v, want the fallback", name, state.Source)
		}
		var submission sync.WaitGroup
		submission.Go(func() { _ = leader.Submit(t.Context(), teamJobSpec(testJob, "team", 1)) })
		for _, stored := store.Get(storage.KeyJob(testJob)); !stored; _, stored = store.Get(storage.KeyJob(testJob)) {
			leader.commitNext(t.Context())
			time.Sleep(time.Millisecond)
		}
		submission.Wait()
		store.Apply(protocol.Txn{Then: []protocol.Change{{Delete: admission.KeyPlan}}})
		if err := leader.publishPlan(t.Context()); err != nil {
			t.Errorf("%s: publish after the record was deleted: %v", name, err)
		}
	}
}
