package controller

import (
	"bytes"
	"log/slog"
	"net/http"
	"strings"
	"testing"

	"dunestand/internal/cluster"
	"dunestand/internal/config"
	"dunestand/internal/fake"
	"dunestand/internal/scheduler"
	"dunestand/internal/units"
)

// guestTaskCount exceeds the capacity of all machines in these tests and every quota limit.
const guestTaskCount = 25_000

// newLeaderWithGuestJob returns a leader that has restored its records, with a job of a second team,
// "guest", that has neither a guaranteed quota nor a quota limit.
func newLeaderWithGuestJob(t *testing.T) *Leader {
	t.Helper()
	leader := newLeaderWithStore(t, 1, fake.NewKVServer(), func(d *Deps) {
		d.Settings.Fleet.Teams = append(d.Settings.Fleet.Teams, config.Team{Name: "guest"})
	})
	if !leader.persister.Restore(t.Context()) {
		t.Fatal("records not restored")
	}
	leader.state.SetInstanceTypes(modelCatalog.Types)
	startLoop(t, leader.persister.Run)
	spec := fake.JobSpec(testJob)
	spec.Team = "guest"
	spec.Tasks = guestTaskCount
	spec.Request = units.Resources{CPU: units.AmountOf(0.25)}
	if a := leader.Submit(t.Context(), spec); a.Status != http.StatusCreated {
		t.Fatalf("submission of a team without a quota limit: %d %s", a.Status, a.Body)
	}
	return leader
}

// A quota limit of 0 means no limit. It was once taken for a limit that every job exceeds, so all jobs
// of such a team were rejected permanently. A job of the team is accepted, the fleet scales out for
// all its tasks, and they are placed wherever there is free capacity.
func TestJobsOfTeamWithoutALimitArePlaced(t *testing.T) {
	leader := newLeaderWithGuestJob(t)
	leader.state.Lock()
	defer leader.state.Unlock()
	demand := leader.autoscaler.Demand()
	if len(demand) != 1 || demand[0].Count != guestTaskCount {
		t.Errorf("the fleet scales out for %v, want one request of %d tasks", demand, guestTaskCount)
	}
	machine := &cluster.Machine{}
	for i := range 3 {
		machine = leader.state.EnsureMachine(string(rune('a'+i)), "m", "a", true, 0)
		machine.Registered, machine.FencingToken = true, leader.token
	}
	snapshot, _ := leader.scheduler.TakeSnapshot(leader.Clock.Steady(), machine)
	snapshot.MaxPlacements = guestTaskCount
	placed := 0
	for _, placement := range scheduler.Plan(&snapshot).Placements {
		placed += placement.Count
	}
	if want := 3 * modelMachineCPUs * 4; placed != want {
		t.Errorf("%d tasks placed, want %d, the capacity of three machines", placed, want)
	}
}

// The summary counts the teams that use more than nine tenths of their quota limit. A team without a
// limit is never counted: the large value that stands for "unlimited" must not overflow when nine
// tenths of it are computed.
func TestTeamWithoutALimitIsNeverNearIt(t *testing.T) {
	leader := newLeaderWithGuestJob(t)
	leader.state.Lock()
	defer leader.state.Unlock()
	var log bytes.Buffer
	leader.Log = slog.New(slog.NewTextHandler(&log, nil))
	leader.state.Teams["guest"].Used = fake.CPUs(1_000_000)
	leader.logSummary(0)
	if !strings.Contains(log.String(), "teams_near_limit=0") {
		t.Errorf("summary: %s", log.String())
	}
	leader.state.Teams["team"].Used = fake.CPUs(modelQuotaCPUs)
	log.Reset()
	leader.logSummary(0)
	if !strings.Contains(log.String(), "teams_near_limit=1") {
		t.Errorf("summary with a team at its quota limit: %s", log.String())
	}
}

// The reason for a permanent rejection is logged, so that operators can answer users who ask about
// it.
func TestRejectedSubmissionsAreLogged(t *testing.T) {
	leader := newLeaderWithGuestJob(t)
	var log bytes.Buffer
	leader.Log = slog.New(slog.NewTextHandler(&log, nil))
	spec := fake.JobSpec("j-000002")
	spec.Team = "nobody"
	if a := leader.Submit(t.Context(), spec); a.Status != http.StatusUnprocessableEntity {
		t.Fatalf("submission of an unknown team: %d", a.Status)
	}
	for _, part := range []string{"submission rejected", "job=j-000002", "status=422", "unknown team"} {
		if !strings.Contains(log.String(), part) {
			t.Errorf("%q is not in the log: %s", part, log.String())
		}
	}
}
