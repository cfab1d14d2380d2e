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

// guestTaskCount is more than all machines of the model and any quota limit have room for.
const guestTaskCount = 25_000

// newGuestLeader returns a leader that has restored its records, with a second team that has
// neither a guaranteed quota nor a quota limit, and with a job of that team.
func newGuestLeader(t *testing.T) *Leader {
	t.Helper()
	leader := newLeaderWithStore(t, 1, fake.NewKVServer(), func(d *Deps) {
		d.Settings.Fleet.Teams = append(d.Settings.Fleet.Teams, config.Team{Name: "guest"})
	})
	if !leader.persister.Restore(t.Context()) {
		t.Fatal("not restored")
	}
	leader.state.SetInstanceTypes(modelCatalog.Types)
	startLoop(t, leader.persister.Run)
	spec := fake.JobSpec(testJob)
	spec.Team = "guest"
	spec.Tasks = guestTaskCount
	spec.Request = units.Resources{CPU: units.AmountOf(0.25)}
	if a := leader.Submit(t.Context(), spec); a.Status != http.StatusCreated {
		t.Fatalf("a job of a team without a quota limit: %d %s", a.Status, a.Body)
	}
	return leader
}

// All jobs of a guest team were once rejected for good, as needing more than its limit: a limit
// of 0 is none. Such a job is accepted, the fleet scales out for all of it, and its tasks
// are placed wherever there is free capacity.
func TestTeamWithoutALimitIsServed(t *testing.T) {
	leader := newGuestLeader(t)
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
		t.Errorf("%d tasks placed, want the %d that three machines hold", placed, want)
	}
}

// The summary counts teams near their quota limit: one without a limit never is, also where
// nine tenths of "no limit" would be computed.
func TestTeamWithoutALimitIsNeverNearIt(t *testing.T) {
	leader := newGuestLeader(t)
	leader.state.Lock()
	defer leader.state.Unlock()
	var log bytes.Buffer
	leader.Log = slog.New(slog.NewTextHandler(&log, nil))
	leader.state.Teams["guest"].Used = fake.CPUs(1_000_000)
	leader.logSummary(0)
	if !strings.Contains(log.String(), "teams_near_limit=0") {
		t.Errorf("the summary: %s", log.String())
	}
	leader.state.Teams["team"].Used = fake.CPUs(modelQuotaCPUs)
	log.Reset()
	leader.logSummary(0)
	if !strings.Contains(log.String(), "teams_near_limit=1") {
		t.Errorf("the summary with a team at its limit: %s", log.String())
	}
}

// Why a submission was rejected for good is logged: users are told, on-call engineers asked.
func TestRefusalsAreLogged(t *testing.T) {
	leader := newGuestLeader(t)
	var log bytes.Buffer
	leader.Log = slog.New(slog.NewTextHandler(&log, nil))
	spec := fake.JobSpec("j-000002")
	spec.Team = "nobody"
	if a := leader.Submit(t.Context(), spec); a.Status != http.StatusUnprocessableEntity {
		t.Fatalf("a job of an unknown team: %d", a.Status)
	}
	for _, part := range []string{"submission rejected", "job=j-000002", "status=422", "unknown team"} {
		if !strings.Contains(log.String(), part) {
			t.Errorf("%q is not in the log: %s", part, log.String())
		}
	}
}
