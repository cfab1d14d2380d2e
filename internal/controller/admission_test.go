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

// A job is admitted by the plan that is current when the job is stored. If the plan is replaced
// before that, the write batch conflicts and the new plan decides.
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
	for batch == nil { // until the job is added and its write batch can be built
		time.Sleep(time.Millisecond)
		batch = leader.nextBatch()
	}
	fillQuota(t, leader)
	// While the new plan cannot be read, the job must not be part of another write batch.
	unreadable.Store(true)
	conflicted := make(chan struct{})
	go func() {
		defer close(conflicted)
		leader.persister.CommitBatch(t.Context(), batch)
	}()
	for range 50 {
		time.Sleep(time.Millisecond)
		if again := leader.nextBatch(); again != nil {
			t.Error("the job is in another write batch before the new plan has decided")
			break
		}
	}
	unreadable.Store(false)
	<-conflicted
	if _, stored := store.Get(storage.KeyJob(testJob)); stored {
		t.Error("the job was stored although its plan has been replaced")
	}
	if a := <-admitted; a.Status == http.StatusCreated {
		t.Errorf("submission answered with status %d although its plan has been replaced", a.Status)
	}
	leader.expectWait(t, teamJobSpec(testJob, "team", 1))
	var refusal protocol.ErrorResponse
	a := leader.Submit(t.Context(), teamJobSpec(testJob, "team", 1))
	if err := protocol.Decode(a.Body, &refusal); err != nil || refusal.PlanVersion != leader.admission.PlanVersion() {
		t.Errorf("answer with plan version %d, %v", refusal.PlanVersion, err)
	}
	if a := leader.Submit(t.Context(), teamJobSpec("j-000002", "other", 1)); a.Status == http.StatusTooManyRequests {
		t.Error("the other team is asked to wait although only the first team has used up its quota")
	}
}

// A submission beyond its team's quota is answered with status 429, not 503. A controller that
// forwarded the submission would take a 503 for the lack of a leader and admit the job by its own
// share of the quota.
func TestSubmissionBeyondQuotaIsNotAnsweredAsUnavailable(t *testing.T) {
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
			t.Errorf("verdict %v: status %d, Retry-After %d", decision.Verdict, a.Status, a.RetryAfter)
		}
		return
	}
	t.Error("all jobs were admitted: the quota is not used up")
}

// A controller without a leader admits jobs by the last plan that it has read, on condition that
// the stored plan is still the same.
func TestLeaderlessAcceptanceIsConditionalOnThePlan(t *testing.T) {
	store := fake.NewKVServer()
	store.Put(storage.KeyCatalog, protocol.Encode(modelCatalog))
	leader := newLeaderWithAdmission(t, 1, store)
	if err := leader.publishPlan(t.Context()); err != nil {
		t.Fatal(err)
	}
	c, _ := newRefusedController(t, store)
	c.deps.Settings, c.deps.KV = leader.Settings, leader.KV // the limits of this client are not reached
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
	readPlan := func() {
		t.Helper()
		if err := follower.Step(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	// A controller that has just started does not know yet whether the fleet uses admission plans.
	format.Format.Store(int64(storage.FormatV1))
	if status := submit(testJob, "team"); status != http.StatusServiceUnavailable {
		t.Errorf("before the fleet's record format is known: status %d", status)
	}
	if _, stored := store.Get(storage.KeyPending(testJob)); stored {
		t.Error("the job was accepted without a plan")
	}
	format.Format.Store(int64(storage.FormatV3))
	if status := submit(testJob, "team"); status != http.StatusServiceUnavailable {
		t.Errorf("before the plan is read: status %d", status)
	}
	readPlan() // the age of this plan is unknown
	if err := leader.publishPlan(t.Context()); err != nil {
		t.Fatal(err)
	}
	readPlan()
	if status := submit("j-000002", "team"); status != http.StatusCreated {
		t.Errorf("admitted by the plan: status %d", status)
	}
	fillQuota(t, leader)
	if status := submit("j-000003", "other"); status != http.StatusServiceUnavailable {
		t.Errorf("admitted by a plan that has been replaced: status %d", status)
	}
	if _, stored := store.Get(storage.KeyPending("j-000003")); stored {
		t.Error("the job was accepted although its plan has been replaced")
	}
	readPlan()
	if status := submit("j-000004", "team"); status != http.StatusTooManyRequests {
		t.Errorf("job of the team that has used up its quota: status %d", status)
	}
	if status := submit("j-000002", "team"); status != http.StatusOK {
		t.Errorf("duplicate: status %d", status)
	}
	if status := submit("j-000005", "other"); status != http.StatusCreated {
		t.Errorf("job of the other team: status %d", status)
	}
}
