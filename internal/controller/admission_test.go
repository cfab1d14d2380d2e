package controller

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"dunestand/internal/admission"
	"dunestand/internal/admissioncontrol"
	"dunestand/internal/answer"
	"dunestand/internal/cluster"
	"dunestand/internal/fake"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/telemetry"
)

// A job whose plan has been replaced before its acceptance was stored is decided by the
// new plan: the version that is current at the commit decides.
func TestAcceptanceIsConditionalOnThePlan(t *testing.T) {
	store := fake.NewKVServer()
	var unreadable atomic.Bool
	store.RejectRequest = func(method, _ string) bool { return method == http.MethodGet && unreadable.Load() }
	leader := newLeaderWithAdmission(t, 1, store)
	if err := leader.publishPlan(t.Context()); err != nil {
		t.Fatal(err)
	}
	admitted := make(chan answer.Answer, 1)
	go func() { admitted <- leader.Submit(t.Context(), teamJobSpec(testJob, "team", 1)) }()
	var batch *cluster.WriteBatch
	for batch == nil { // the job is entered, and its write batch built
		time.Sleep(time.Millisecond)
		batch = leader.nextBatch()
	}
	fillQuota(t, leader)
	// Even while the record cannot be read again, the job is not written by the new plan.
	unreadable.Store(true)
	conflicted := make(chan struct{})
	go func() {
		defer close(conflicted)
		leader.persister.CommitBatch(t.Context(), batch)
	}()
	for range 50 {
		time.Sleep(time.Millisecond)
		if again := leader.nextBatch(); again != nil {
			t.Error("the job is written again before it is decided anew")
			break
		}
	}
	unreadable.Store(false)
	<-conflicted
	if _, stored := store.Get(storage.KeyJob(testJob)); stored {
		t.Error("the job was stored by a plan that has been replaced")
	}
	if a := <-admitted; a.Status == http.StatusCreated {
		t.Errorf("its user was told %d", a.Status)
	}
	leader.expectWait(t, teamJobSpec(testJob, "team", 1))
	var refusal protocol.ErrorResponse
	a := leader.Submit(t.Context(), teamJobSpec(testJob, "team", 1))
	if err := protocol.Decode(a.Body, &refusal); err != nil || refusal.PlanVersion != leader.admission.PlanVersion() {
		t.Errorf("the answer names plan %d, %v", refusal.PlanVersion, err)
	}
	if a := leader.Submit(t.Context(), teamJobSpec("j-000002", "other", 1)); a.Status == http.StatusTooManyRequests {
		t.Error("the other team waits for the one that has used up its quota")
	}
}

// A job whose quota is used up is answered so that a controller that forwarded it does not
// admit it by its own part of the quota.
func TestUsedUpQuotaIsNotPassedOn(t *testing.T) {
	store := fake.NewKVServer()
	leader := newLeaderWithAdmission(t, 1, store)
	if err := leader.publishPlan(t.Context()); err != nil {
		t.Fatal(err)
	}
	const maxJobs = 100
	for i := range maxJobs {
		spec := teamJobSpec(fmt.Sprintf("j-%06d", i), "team", 1)
		leader.state.Lock()
		decision := leader.admission.Admit(spec)
		leader.state.Unlock()
		if decision.Verdict == admission.Admit {
			continue
		}
		a := leader.deferSubmission(t.Context(), spec.ID, decision)
		if decision.Verdict != admission.Undecided || a.Status != http.StatusTooManyRequests || a.RetryAfter != 1 {
			t.Errorf("%v: %d, Retry-After %d", decision.Verdict, a.Status, a.RetryAfter)
		}
		return
	}
	t.Error("the quota is never used up")
}

// A controller without a leader accepts by the plan it knows, and only while the record is
// as it knows it.
func TestAcceptsAloneOnConditionOfThePlan(t *testing.T) {
	store := fake.NewKVServer()
	store.Put(storage.KeyCatalog, protocol.Encode(modelCatalog))
	leader := newLeaderWithAdmission(t, 1, store)
	if err := leader.publishPlan(t.Context()); err != nil {
		t.Fatal(err)
	}
	c, _ := newRefusedController(t, store)
	c.deps.Settings, c.deps.KV = leader.Settings, leader.KV // whose limits are far away
	format := fake.NewRecordFormat(storage.FormatV3)
	c.deps.Format = format
	deps := c.deps
	deps.Metrics = telemetry.NewMetrics()
	admitter := newTestAdmitter(deps)
	c.deps.Admitter = admitter
	submit := func(id, team string) int {
		spec := teamJobSpec(id, team, 1)
		return c.submit(t.Context(), encodeSubmission(spec, team), fromUser).Status
	}
	follower := admissioncontrol.NewPlanFollower(admitter)
	learn := func() {
		t.Helper()
		if err := follower.Step(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	// A controller that has just started does not know that the fleet admits by a plan.
	format.Level.Store(int64(storage.FormatV1))
	if status := submit(testJob, "team"); status != http.StatusServiceUnavailable {
		t.Errorf("before the fleet's format is known: %d", status)
	}
	if _, stored := store.Get(storage.KeyPending(testJob)); stored {
		t.Error("the job was accepted regardless of the plan")
	}
	format.Level.Store(int64(storage.FormatV3))
	if status := submit(testJob, "team"); status != http.StatusServiceUnavailable {
		t.Errorf("before the plan is read: %d", status)
	}
	learn() // of unknown age
	if err := leader.publishPlan(t.Context()); err != nil {
		t.Fatal(err)
	}
	learn()
	if status := submit("j-000002", "team"); status != http.StatusCreated {
		t.Errorf("by the plan: %d", status)
	}
	fillQuota(t, leader)
	if status := submit("j-000003", "other"); status != http.StatusServiceUnavailable {
		t.Errorf("by a plan that has been replaced: %d", status)
	}
	if _, stored := store.Get(storage.KeyPending("j-000003")); stored {
		t.Error("the job was accepted by a plan that has been replaced")
	}
	learn()
	if status := submit("j-000004", "team"); status != http.StatusTooManyRequests {
		t.Errorf("of the team that has used up its quota: %d", status)
	}
	if status := submit("j-000002", "team"); status != http.StatusOK {
		t.Errorf("a duplicate: %d", status)
	}
	if status := submit("j-000005", "other"); status != http.StatusCreated {
		t.Errorf("of the other team: %d", status)
	}
}
