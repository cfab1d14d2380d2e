package controller

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"dunestand/internal/admission"
	"dunestand/internal/admissioncontrol"
	"dunestand/internal/config"
	"dunestand/internal/protocol"
	"dunestand/internal/standin"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// planHorizon is short, so that one large backlog fills it.
const planHorizon = 20 * units.Second

// newAdmittingLeader is a leader that admits by a plan, with its records restored. It has no
// loops: tests take each step.
func newAdmittingLeader(t *testing.T, token uint64, store *standin.State) *Leader {
	t.Helper()
	leader := newStoredLeader(t, token, store, func(d *Deps) {
		d.Format = standin.NewRecordFormat(storage.FormatAdmission)
		d.Settings.Fleet.Teams = []config.Team{{Name: "team", CPUs: 4, CPUsMax: 8}, {Name: "other", CPUs: 4, CPUsMax: 8}}
		d.Admitter = admissioncontrol.NewAdmitter(d.Settings, admission.Options{Horizon: planHorizon}, d.KV, d.Format, d.Clock, d.Log, d.Metrics)
	})
	if !leader.persister.Restore(t.Context()) {
		t.Fatal("not restored")
	}
	leader.state.SetInstanceTypes(modelCatalog.Types)
	return leader
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

// fillQuota has the first team take all there is, by jobs that are stored, and another one
// that waits.
func fillQuota(t *testing.T, leader *Leader) {
	t.Helper()
	const jobs = 60
	if err := leader.renewPlan(t.Context()); err != nil {
		t.Fatal(err)
	}
	for i := range jobs {
		leader.state.NewJob(*admittedSpec(fmt.Sprintf("j-%06d", 1000+i), "team", 1), leader.Clock.Wall(), leader.Clock.Steady())
	}
	for store := leader.nextBatch(); store != nil; store = leader.nextBatch() {
		leader.persister.CommitBatch(t.Context(), store)
	}
	if err := leader.renewPlan(t.Context()); err != nil {
		t.Fatal(err)
	}
	if r := leader.Submit(t.Context(), admittedSpec("j-000901", "team", 1)); r.Status == http.StatusCreated {
		t.Fatal("admitted though its team has all there is")
	}
	if leader.admission.WaitingCount() != 1 {
		t.Fatal("the job was entered though its team has all there is")
	}
	if err := leader.renewPlan(t.Context()); err != nil {
		t.Fatal(err)
	}
}

// expectWait submits a job that has to wait.
func (l *Leader) expectWait(test *testing.T, spec *protocol.JobSpec) {
	test.Helper()
	var errorResponse protocol.ErrorResponse
	r := l.Submit(test.Context(), spec)
	if err := protocol.Decode(r.Body, &errorResponse); err != nil || r.Status != http.StatusTooManyRequests || errorResponse.PlanVersion == 0 || r.RetryAfter < 1 {
		test.Fatalf("%s is not told to wait: %d by plan %d, Retry-After %d", spec.ID, r.Status, errorResponse.PlanVersion, r.RetryAfter)
	}
}
