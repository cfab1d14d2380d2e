package admissioncontrol

import (
	"io"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"

	"dunestand/internal/admission"
	"dunestand/internal/config"
	"dunestand/internal/fake"
	"dunestand/internal/kv"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/telemetry"
	"dunestand/internal/units"
)

const testHorizon = 20 * units.Second

// newTestAdmitter returns an admitter on a fake key-value store, and its clock.
func newTestAdmitter(t *testing.T, server *fake.KVServer, horizon units.Micros) (*Admitter, *fake.Clock) {
	t.Helper()
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	clock := &fake.Clock{Now: 100 * units.Second}
	limits := config.KVLimits{RPS: 1e4, WriteRPS: 1e4}
	return NewAdmitter(AdmitterDeps{
		Settings: &config.Settings{Name: "n", Fleet: config.Fleet{
			Teams:    []config.Team{{Name: "team", GuaranteedCPUs: 4, LimitCPUs: 8}},
			KVLimits: limits,
		}},
		Options: admission.Options{Horizon: horizon},
		KV:      kv.NewClient(nil, strings.TrimPrefix(listener.URL, "http://"), limits, 0, clock),
		Format:  fake.NewRecordFormat(storage.FormatV3),
		Clock:   clock,
		Log:     slog.New(slog.NewTextHandler(io.Discard, nil)),
		Metrics: telemetry.NewMetrics(),
	}), clock
}

// putPlan writes a plan to the store as a leader does.
func putPlan(t *testing.T, server *fake.KVServer, version uint64) {
	t.Helper()
	planner := admission.NewPlanner(admission.Options{Horizon: testHorizon}, []admission.Team{{Name: "team"}}, nil, 0)
	raw, _, err := admission.Encode(planner.Next(version, 1, admission.Measurement{}).Plan, 8<<10)
	if err != nil {
		t.Fatal(err)
	}
	server.Put(admission.KeyPlan, raw)
}

// A follower puts a plan into force once the age of the plan has an upper bound. The fallback
// plan is in force while the record is unreadable or missing.
func TestFollowerKeepsPlanUpToDate(t *testing.T) {
	server := fake.NewKVServer()
	admitter, clock := newTestAdmitter(t, server, testHorizon)
	follower := NewPlanFollower(admitter)
	expect := func(step string, source admission.PlanSource, version uint64) {
		t.Helper()
		if err := follower.Step(t.Context()); err != nil {
			t.Fatalf("%s: %v", step, err)
		}
		state := admitter.State()
		if state.Source != source || source == admission.SourceRecord && state.Plan.Version != version {
			t.Errorf("%s: %+v", step, state)
		}
	}
	if state := admitter.State(); state.Source != admission.SourceUncertain {
		t.Errorf("before the record is read: %+v", state)
	}
	putPlan(t, server, 1)
	expect("a plan of unknown age", admission.SourceUncertain, 0)
	clock.Now += units.Second
	putPlan(t, server, 2)
	expect("a plan that was written since the last read", admission.SourceRecord, 2)
	server.Put(admission.KeyPlan, protocol.Encode("x"))
	expect("an unreadable record", admission.SourceFallback, 0)
	if admitter.unreadableRevision.Load() != server.Revision() {
		t.Error("the unreadable record is not reported")
	}
	putPlan(t, server, 3)
	expect("a repaired record", admission.SourceRecord, 3)
	if admitter.unreadableRevision.Load() != 0 {
		t.Error("a repaired record counts as unreadable")
	}
	server.Apply(protocol.Txn{Then: []protocol.Change{{Delete: admission.KeyPlan}}})
	expect("a deleted record", admission.SourceFallback, 0)
}

// After a failed watch the record is read again. The age of a plan that is read then is bounded by
// the last read that did not return it.
func TestFollowerReadsAgainAfterFailure(t *testing.T) {
	server := fake.NewKVServer()
	admitter, clock := newTestAdmitter(t, server, testHorizon)
	follower := NewPlanFollower(admitter)
	if err := follower.Step(t.Context()); err != nil {
		t.Fatal(err)
	}
	server.RejectRequest = func(string, string) bool { return true }
	if err := follower.Step(t.Context()); err == nil {
		t.Fatal("a refused watch returned no error")
	}
	server.RejectRequest = nil
	lastRead := clock.Now
	clock.Now += 3 * units.Second
	putPlan(t, server, 1)
	if err := follower.Step(t.Context()); err != nil {
		t.Fatal(err)
	}
	if state := admitter.State(); state.Source != admission.SourceRecord || state.Age != clock.Now-lastRead {
		t.Errorf("%+v, want an age of %d us", state, clock.Now-lastRead)
	}
}

func TestAdmissionTurnedOffAdmitsAll(t *testing.T) {
	admitter, _ := newTestAdmitter(t, fake.NewKVServer(), 0)
	if admitter != nil {
		t.Fatal("there is an admitter though admission by a plan is off")
	}
	if admitter.active() {
		t.Error("active")
	}
	admitter.Follow(t.Context()) // returns at once
}

// A controller that does not know whether the fleet admits by a plan accepts a job only on
// condition that there is no plan.
func TestIsolatedAcceptanceIsConditionalOnThePlan(t *testing.T) {
	server := fake.NewKVServer()
	admitter, clock := newTestAdmitter(t, server, testHorizon)
	spec := &protocol.JobSpec{ID: "j-000001", Class: "c", Team: "team", Tasks: 1, Request: fake.CPUs(1), Estimate: units.Second}
	follower := NewPlanFollower(admitter)
	if err := follower.Step(t.Context()); err != nil {
		t.Fatal(err)
	}
	clock.Now += units.Second
	putPlan(t, server, 1)
	if err := follower.Step(t.Context()); err != nil {
		t.Fatal(err)
	}
	if _, condition := admitter.DecideIsolated(spec); condition.Key != admission.KeyPlan || condition.Version != server.Revision() {
		t.Errorf("condition %+v, want the plan's version %d", condition, server.Revision())
	}
	admitter.format.(*fake.RecordFormat).Format.Store(int64(storage.FormatV1))
	if d, condition := admitter.DecideIsolated(spec); d.Verdict != admission.Admit || condition.Key != admission.KeyPlan || condition.Version != 0 {
		t.Errorf("%+v on condition %+v, want that there is no plan", d, condition)
	}
}
