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

// What another controller accepted under the plan before is known before anybody is told
// to wait by the new one.
func TestPendingQueueIsIngestedWithEachPlan(t *testing.T) {
	store := fake.NewKVServer()
	leader := newLeaderWithAdmission(t, 1, store)
	fillQuota(t, leader)
	spec := teamJobSpec("j-000901", "team", 1)
	leader.expectWait(t, spec)
	store.Apply(cluster.PendingSubmissionTxn(cluster.PendingSubmission{Spec: *spec})) // by the plan that is in force
	if err := leader.publishPlan(t.Context()); err != nil {
		t.Fatal(err)
	}
	if a := leader.Submit(t.Context(), spec); a.Status == http.StatusTooManyRequests {
		t.Error("a job that another controller accepted is told to wait")
	}
}

// While the outcome of writing a plan is unknown, nobody is told to wait by the
// one before: others may go by the new one already.
func TestNobodyWaitsWhileThePlanIsInDoubt(t *testing.T) {
	store := fake.NewKVServer()
	var silent atomic.Bool
	store.DropResponse = func(int) bool { return silent.Load() }
	leader := newLeaderWithAdmission(t, 1, store)
	fillQuota(t, leader)
	spec := teamJobSpec("j-000901", "team", 1)
	leader.expectWait(t, spec)
	silent.Store(true)
	if err := leader.publishPlan(t.Context()); err == nil {
		t.Fatal("the answer was not lost")
	}
	var refusal protocol.ErrorResponse
	a := leader.Submit(t.Context(), spec)
	if err := protocol.Decode(a.Body, &refusal); err != nil || a.Status != http.StatusTooManyRequests || refusal.PlanVersion != 0 {
		t.Errorf("while the plan is in doubt: %d by plan %d, %v", a.Status, refusal.PlanVersion, err)
	}
	silent.Store(false)
	written := leader.admission.PlanVersion() + 1
	if err := leader.publishPlan(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got := leader.admission.PlanVersion(); got <= written {
		t.Errorf("plan %d follows one of version %d whose answer was lost", got, written)
	}
	leader.expectWait(t, spec)
}

// A plan of a former leader never replaces one of its successor, nor is it written after
// the successor has changed the bucket heads.
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
		t.Errorf("the former leader writes a plan: %v", err)
	}
	if after, _ := store.Get(admission.KeyPlan); after.Version != before.Version {
		t.Error("the record has changed")
	}
	if err := successor.publishPlan(t.Context()); err != nil {
		t.Fatal(err)
	}
	item, _ := store.Get(admission.KeyPlan)
	if plan, err := admission.Decode(item.Value); err != nil || plan.FencingToken != 2 || plan.Version < 2 {
		t.Errorf("%+v, %v", plan, err)
	}
}

// A record that no leader wrote is neither obeyed nor overwritten. The fallback is in force
// until an operator has deleted it.
func TestUnreadablePlanIsLeftAlone(t *testing.T) {
	for what, record := range map[string]any{
		"no plan":         map[string]any{"v": 1, "n": "seven"},
		"impossible":      map[string]any{"v": 1, "n": 7, "term": 0},
		"a later version": map[string]any{"v": 2, "n": 7, "term": 1, "ahead": 1, "cap": []int{0, 0}},
	} {
		store := fake.NewKVServer()
		store.Put(admission.KeyPlan, protocol.Encode(record))
		leader := newLeaderWithAdmission(t, 1, store)
		before, _ := store.Get(admission.KeyPlan)
		for range 3 {
			if err := leader.publishPlan(t.Context()); !errors.Is(err, admissioncontrol.ErrPlanUnreadable) {
				t.Errorf("%s: %v", what, err)
			}
		}
		if after, _ := store.Get(admission.KeyPlan); after.Version != before.Version {
			t.Errorf("%s: it was overwritten", what)
		}
		if state := leader.Admitter.State(); state.Source != admission.SourceFallback {
			t.Errorf("%s: in force is %v", what, state.Source)
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
			t.Errorf("%s: after it was deleted: %v", what, err)
		}
	}
}
