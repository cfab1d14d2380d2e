package controller

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"dunestand/internal/admission"
	"dunestand/internal/admissioncontrol"
	"dunestand/internal/answer"
	"dunestand/internal/cluster"
	"dunestand/internal/config"
	"dunestand/internal/kv"
	"dunestand/internal/protocol"
	"dunestand/internal/standin"
	"dunestand/internal/storage"
	"dunestand/internal/telemetry"
	"dunestand/internal/units"
)

// floodHorizon is short, so that one large backlog fills it.
const floodHorizon = 20 * units.Second

// admittingLeader is a leader that admits by a plan, with its records restored. It has no
// loops: tests take each step.
func admittingLeader(t *testing.T, number uint64, s *standin.State) *Leader {
	t.Helper()
	term := storedLeader(t, number, s, func(d *Deps) {
		d.Format = standin.NewRecordFormat(storage.FormatAdmission)
		d.Settings.Fleet.Teams = []config.Team{{Name: "team", CPUs: 4, CPUsMax: 8}, {Name: "other", CPUs: 4, CPUsMax: 8}}
		d.Admitter = admissioncontrol.NewAdmitter(d.Settings, admission.Options{Horizon: floodHorizon}, d.KV, d.Format, d.Clock, d.Log, d.Metrics)
	})
	if !term.persister.Restore(t.Context()) {
		t.Fatal("not restored")
	}
	term.state.SetInstanceTypes(modelCatalog.Types)
	return term
}

// renewPlan has the leader write a plan now.
func (l *Leader) renewPlan(ctx context.Context) error {
	l.Clock.(*standin.Clock).Now += units.Second
	return l.admission.Publish(ctx)
}

func admittedSpec(id, team string, tasks int) *protocol.JobSpec {
	spec := modelSpec(id)
	spec.Team, spec.Tasks, spec.Estimate = team, tasks, 10*units.Second
	return spec
}

// flooded has the first team take all there is, by jobs that are stored, and another one
// that waits.
func flooded(t *testing.T, term *Leader) {
	t.Helper()
	const jobs = 60
	if err := term.renewPlan(t.Context()); err != nil {
		t.Fatal(err)
	}
	for i := range jobs {
		term.state.NewJob(*admittedSpec(fmt.Sprintf("j-%06d", 1000+i), "team", 1), term.Clock.Wall(), term.Clock.Steady())
	}
	for s := term.nextSave(); s != nil; s = term.nextSave() {
		term.persister.CommitBatch(t.Context(), s)
	}
	if err := term.renewPlan(t.Context()); err != nil {
		t.Fatal(err)
	}
	if r := term.Submit(t.Context(), admittedSpec("j-000901", "team", 1)); r.Status == http.StatusCreated {
		t.Fatal("admitted though its team has all there is")
	}
	if term.admission.WaitingCount() != 1 {
		t.Fatal("the job was entered though its team has all there is")
	}
	if err := term.renewPlan(t.Context()); err != nil {
		t.Fatal(err)
	}
}

// expectWait submits a job that has to wait.
func (l *Leader) expectWait(test *testing.T, spec *protocol.JobSpec) {
	test.Helper()
	var p protocol.ErrorResponse
	r := l.Submit(test.Context(), spec)
	if err := protocol.Decode(r.Body, &p); err != nil || r.Status != http.StatusTooManyRequests || p.PlanVersion == 0 || r.RetryAfter < 1 {
		test.Fatalf("%s is not told to wait: %d by plan %d, Retry-After %d", spec.ID, r.Status, p.PlanVersion, r.RetryAfter)
	}
}

// saveOnce carries the next save through.
func (l *Leader) saveOnce(test *testing.T) {
	test.Helper()
	if s := l.nextSave(); s != nil {
		l.persister.CommitBatch(test.Context(), s)
	}
}

func (l *Leader) nextSave() *cluster.WriteBatch {
	l.state.Lock()
	defer l.state.Unlock()
	return l.state.BuildWriteBatch(l.persister.NextWriteID(), l.persister.BucketVersions(), cluster.BatchLimits{Background: true}, l.Clock.Steady())
}

// A job whose plan has been replaced before its acceptance was stored is decided by the
// new plan: the version that is current at the commit decides.
func TestAcceptanceIsConditionalOnThePlan(t *testing.T) {
	s := standin.NewState()
	term := admittingLeader(t, 1, s)
	if err := term.renewPlan(t.Context()); err != nil {
		t.Fatal(err)
	}
	admitted := make(chan answer.Answer, 1)
	go func() { admitted <- term.Submit(t.Context(), admittedSpec("j-000001", "team", 1)) }()
	var save *cluster.WriteBatch
	for save == nil { // the job is entered, and its save built
		time.Sleep(time.Millisecond)
		save = term.nextSave()
	}
	flooded(t, term)
	// Even while the record cannot be read again, the job is not saved by the new plan.
	unread := make(chan struct{})
	s.Refuse = func(method, _ string) bool {
		if method != http.MethodGet {
			return false
		}
		select {
		case <-unread:
			return false
		default:
			return true
		}
	}
	conflicted := make(chan struct{})
	go func() {
		defer close(conflicted)
		term.persister.CommitBatch(t.Context(), save)
	}()
	for range 50 {
		time.Sleep(time.Millisecond)
		if again := term.nextSave(); again != nil {
			t.Error("the job is saved again before it is decided anew")
			break
		}
	}
	close(unread)
	<-conflicted
	if _, stored := s.Get(storage.KeyJob("j-000001")); stored {
		t.Error("the job was stored by a plan that has been replaced")
	}
	if r := <-admitted; r.Status == http.StatusCreated {
		t.Errorf("its user was told %d", r.Status)
	}
	term.expectWait(t, admittedSpec("j-000001", "team", 1))
	var p protocol.ErrorResponse
	r := term.Submit(t.Context(), admittedSpec("j-000001", "team", 1))
	if err := protocol.Decode(r.Body, &p); err != nil || p.PlanVersion != term.admission.PlanVersion() {
		t.Errorf("the answer names plan %d, %v", p.PlanVersion, err)
	}
	if r := term.Submit(t.Context(), admittedSpec("j-000002", "other", 1)); r.Status == http.StatusTooManyRequests {
		t.Error("the other team waits for the flood")
	}
}

// What another controller accepted under the plan before is known before anybody is told
// to wait by the new one.
func TestPendingQueueIsIngestedWithEachPlan(t *testing.T) {
	s := standin.NewState()
	term := admittingLeader(t, 1, s)
	flooded(t, term)
	spec := admittedSpec("j-000901", "team", 1)
	term.expectWait(t, spec)
	s.Apply(cluster.PendingSubmissionTxn(cluster.PendingSubmission{Spec: *spec})) // by the plan that is in force
	if err := term.renewPlan(t.Context()); err != nil {
		t.Fatal(err)
	}
	if r := term.Submit(t.Context(), spec); r.Status == http.StatusTooManyRequests {
		t.Error("a job that another controller accepted is told to wait")
	}
}

// While it is not known what became of a plan that was sent, nobody is told to wait by the
// one before: others may go by the new one already.
func TestNobodyWaitsWhileThePlanIsInDoubt(t *testing.T) {
	s := standin.NewState()
	term := admittingLeader(t, 1, s)
	flooded(t, term)
	spec := admittedSpec("j-000901", "team", 1)
	term.expectWait(t, spec)
	s.Silent = func(int) bool { return true }
	if err := term.renewPlan(t.Context()); err == nil {
		t.Fatal("the answer was not lost")
	}
	var p protocol.ErrorResponse
	r := term.Submit(t.Context(), spec)
	if err := protocol.Decode(r.Body, &p); err != nil || r.Status != http.StatusTooManyRequests || p.PlanVersion != 0 {
		t.Errorf("while the plan is in doubt: %d by plan %d, %v", r.Status, p.PlanVersion, err)
	}
	s.Silent = nil
	written := term.admission.PlanVersion() + 1
	if err := term.renewPlan(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got := term.admission.PlanVersion(); got <= written {
		t.Errorf("plan %d follows one of version %d whose answer was lost", got, written)
	}
	term.expectWait(t, spec)
}

// A job whose quota is used up is answered so that a controller that passed it on does not
// admit it by its own part of the quota.
func TestUsedUpQuotaIsNotPassedOn(t *testing.T) {
	s := standin.NewState()
	term := admittingLeader(t, 1, s)
	if err := term.renewPlan(t.Context()); err != nil {
		t.Fatal(err)
	}
	const most = 100
	for i := range most {
		spec := admittedSpec(fmt.Sprintf("j-%06d", i), "team", 1)
		term.state.Lock()
		d := term.admission.Admit(spec)
		term.state.Unlock()
		if d.Verdict == admission.Admit {
			continue
		}
		r := term.deferSubmission(t.Context(), spec.ID, d)
		if d.Verdict != admission.Undecided || r.Status != http.StatusTooManyRequests || r.RetryAfter != 1 {
			t.Errorf("%v: %d, Retry-After %d", d.Verdict, r.Status, r.RetryAfter)
		}
		return
	}
	t.Error("the quota is never used up")
}

// A plan of a former leader never replaces one of its successor, nor is it written after
// the successor has claimed the buckets.
func TestFormerLeaderWritesNoPlan(t *testing.T) {
	s := standin.NewState()
	former := admittingLeader(t, 1, s)
	if err := former.renewPlan(t.Context()); err != nil {
		t.Fatal(err)
	}
	successor := admittingLeader(t, 2, s)
	before, _ := s.Get(admission.KeyPlan)
	var conflict *kv.VersionConflictError
	if err := former.renewPlan(t.Context()); !errors.As(err, &conflict) {
		t.Errorf("the former leader writes a plan: %v", err)
	}
	if after, _ := s.Get(admission.KeyPlan); after.Version != before.Version {
		t.Error("the record has changed")
	}
	if err := successor.renewPlan(t.Context()); err != nil {
		t.Fatal(err)
	}
	item, _ := s.Get(admission.KeyPlan)
	if plan, err := admission.Decode(item.Value); err != nil || plan.FencingToken != 2 || plan.Version < 2 {
		t.Errorf("%+v, %v", plan, err)
	}
}

// A record that no leader wrote is neither obeyed nor overwritten. The floor is in force
// until an operator has deleted it.
func TestUnreadablePlanIsLeftAlone(t *testing.T) {
	for what, record := range map[string]any{
		"no plan":         map[string]any{"v": 1, "n": "seven"},
		"impossible":      map[string]any{"v": 1, "n": 7, "term": 0},
		"a later version": map[string]any{"v": 2, "n": 7, "term": 1, "ahead": 1, "cap": []int{0, 0}},
	} {
		s := standin.NewState()
		s.Put(admission.KeyPlan, protocol.Encode(record))
		term := admittingLeader(t, 1, s)
		before, _ := s.Get(admission.KeyPlan)
		for range 3 {
			if err := term.renewPlan(t.Context()); !errors.Is(err, admissioncontrol.ErrPlanUnreadable) {
				t.Errorf("%s: %v", what, err)
			}
		}
		if after, _ := s.Get(admission.KeyPlan); after.Version != before.Version {
			t.Errorf("%s: it was overwritten", what)
		}
		if state := term.Admitter.State(); state.Source != admission.SourceFallback {
			t.Errorf("%s: in force is %v", what, state.Source)
		}
		go func() { _ = term.Submit(t.Context(), admittedSpec("j-000001", "team", 1)) }()
		for _, stored := s.Get(storage.KeyJob("j-000001")); !stored; _, stored = s.Get(storage.KeyJob("j-000001")) {
			term.saveOnce(t)
			time.Sleep(time.Millisecond)
		}
		s.Apply(protocol.Txn{Then: []protocol.Change{{Delete: admission.KeyPlan}}})
		if err := term.renewPlan(t.Context()); err != nil {
			t.Errorf("%s: after it was deleted: %v", what, err)
		}
	}
}

// A controller without a leader accepts by the plan it knows, and only while the record is
// as it knows it.
func TestAcceptsAloneOnConditionOfThePlan(t *testing.T) {
	s := standin.NewState()
	s.Put(storage.KeyCatalog, protocol.Encode(modelCatalog))
	term := admittingLeader(t, 1, s)
	if err := term.renewPlan(t.Context()); err != nil {
		t.Fatal(err)
	}
	c, _ := refusedController(t, s)
	c.deps.Settings, c.deps.KV = term.Settings, term.KV // whose limits are far away
	format := standin.NewRecordFormat(storage.FormatAdmission)
	c.deps.Format = format
	a := admissioncontrol.NewAdmitter(term.Settings, admission.Options{Horizon: floodHorizon}, c.deps.KV, c.deps.Format, c.deps.Clock, c.deps.Log, telemetry.NewMetrics())
	c.deps.Admitter = a
	submit := func(id, team string) int {
		spec := admittedSpec(id, team, 1)
		return c.submit(t.Context(), submission(spec, team), true).Status
	}
	follower := admissioncontrol.NewPlanFollower(a)
	learn := func() {
		t.Helper()
		if err := follower.Step(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	// A controller that has just started does not know that the fleet admits by a plan.
	format.Level.Store(int64(storage.FormatOld))
	if status := submit("j-000001", "team"); status != http.StatusServiceUnavailable {
		t.Errorf("before the fleet's format is known: %d", status)
	}
	if _, stored := s.Get(storage.KeyPending("j-000001")); stored {
		t.Error("the job was accepted regardless of the plan")
	}
	format.Level.Store(int64(storage.FormatAdmission))
	if status := submit("j-000001", "team"); status != http.StatusServiceUnavailable {
		t.Errorf("before the plan is read: %d", status)
	}
	learn() // of unknown age
	if err := term.renewPlan(t.Context()); err != nil {
		t.Fatal(err)
	}
	learn()
	if status := submit("j-000002", "team"); status != http.StatusCreated {
		t.Errorf("by the plan: %d", status)
	}
	flooded(t, term)
	if status := submit("j-000003", "other"); status != http.StatusServiceUnavailable {
		t.Errorf("by a plan that has been replaced: %d", status)
	}
	if _, stored := s.Get(storage.KeyPending("j-000003")); stored {
		t.Error("the job was accepted by a plan that has been replaced")
	}
	learn()
	if status := submit("j-000004", "team"); status != http.StatusTooManyRequests {
		t.Errorf("of the team that has all there is: %d", status)
	}
	if status := submit("j-000002", "team"); status != http.StatusOK {
		t.Errorf("a repeat: %d", status)
	}
	if status := submit("j-000005", "other"); status != http.StatusCreated {
		t.Errorf("of the other team: %d", status)
	}
}
