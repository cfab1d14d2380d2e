package controller

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"dunestand/internal/admission"
	"dunestand/internal/admissioncontrol"
	"dunestand/internal/config"
	"dunestand/internal/fake"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// planHorizon is the horizon of the admission plan. It is short, so that one large backlog
// fills it.
const planHorizon = 20 * units.Second

// newLeaderWithAdmission returns a leader that has restored its records and admits jobs by a
// plan. None of its loops run: tests take each step themselves.
func newLeaderWithAdmission(t *testing.T, token uint64, store *fake.KVServer) *Leader {
	t.Helper()
	leader := newLeaderWithStore(t, token, store, func(d *Deps) {
		d.Format = fake.NewRecordFormat(storage.FormatV3)
		d.Settings.Fleet.Teams = []config.Team{{Name: "team", GuaranteedCPUs: 4, LimitCPUs: 8}, {Name: "other", GuaranteedCPUs: 4, LimitCPUs: 8}}
		d.Admitter = newTestAdmitter(*d)
	})
	if !leader.persister.Restore(t.Context()) {
		t.Fatal("records not restored")
	}
	leader.state.SetInstanceTypes(modelCatalog.Types)
	return leader
}

// newTestAdmitter returns the admitter of a controller with admission control enabled.
func newTestAdmitter(d Deps) *admissioncontrol.Admitter {
	return admissioncontrol.NewAdmitter(admissioncontrol.AdmitterDeps{
		Settings: d.Settings,
		Options:  admission.Options{Horizon: planHorizon},
		KV:       d.KV,
		Format:   d.Format,
		Clock:    d.Clock,
		Log:      d.Log,
		Metrics:  d.Metrics,
	})
}

// publishPlan advances the leader's clock and has it publish an admission plan.
func (l *Leader) publishPlan(ctx context.Context) error {
	l.Clock.(*fake.Clock).Now += units.Second
	return l.admission.Publish(ctx)
}

// teamJobSpec returns the specification of a job of a team, with an estimate.
func teamJobSpec(id, team string, tasks int) *protocol.JobSpec {
	spec := fake.JobSpec(id)
	spec.Team, spec.Tasks, spec.Estimate = team, tasks, 10*units.Second
	return spec
}

// fillQuota uses up the quota of the first team with stored jobs. It then submits another job
// of that team and checks that the job has to wait.
func fillQuota(t *testing.T, leader *Leader) {
	t.Helper()
	const jobs = 60
	if err := leader.publishPlan(t.Context()); err != nil {
		t.Fatal(err)
	}
	for i := range jobs {
		leader.state.NewJob(*teamJobSpec(fmt.Sprintf("j-%06d", 1000+i), "team", 1), leader.Clock.Wall(), leader.Clock.Steady())
	}
	for batch := leader.nextBatch(); batch != nil; batch = leader.nextBatch() {
		leader.persister.CommitBatch(t.Context(), batch)
	}
	if err := leader.publishPlan(t.Context()); err != nil {
		t.Fatal(err)
	}
	if a := leader.Submit(t.Context(), teamJobSpec("j-000901", "team", 1)); a.Status == http.StatusCreated {
		t.Fatal("job admitted although its team has used up its quota")
	}
	if leader.admission.WaitingCount() != 1 {
		t.Fatal("job not waiting although its team has used up its quota")
	}
	if err := leader.publishPlan(t.Context()); err != nil {
		t.Fatal(err)
	}
}

// expectWait submits a job and checks that the answer asks the user to wait.
func (l *Leader) expectWait(t *testing.T, spec *protocol.JobSpec) {
	t.Helper()
	var refusal protocol.ErrorResponse
	a := l.Submit(t.Context(), spec)
	if err := protocol.Decode(a.Body, &refusal); err != nil || a.Status != http.StatusTooManyRequests || refusal.PlanVersion == 0 || a.RetryAfter < 1 {
		t.Fatalf("submission of %s not asked to wait: status %d, plan version %d, Retry-After %d", spec.ID, a.Status, refusal.PlanVersion, a.RetryAfter)
	}
}
