package controller

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"strings"
	"testing"

	"dunestand/internal/cluster"
	"dunestand/internal/config"
	"dunestand/internal/scheduler"
	"dunestand/internal/standin"
	"dunestand/internal/units"
)

// guestTasks is more than all machines of the model and any limit have room for.
const guestTasks = 25_000

// guestLeader is a restored term with a second team that has neither guarantee nor limit,
// and with a job of that team.
func guestLeader(t *testing.T) *Leader {
	t.Helper()
	term := storedLeader(t, 1, standin.NewState(), func(d *Deps) {
		d.Settings.Fleet.Teams = append(d.Settings.Fleet.Teams, config.Team{Name: "guest"})
	})
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	if !term.persister.Restore(ctx) {
		t.Fatal("not restored")
	}
	term.state.SetInstanceTypes(modelCatalog.Types)
	go term.persister.Run(ctx)
	spec := modelSpec("j-000001")
	spec.Team = "guest"
	spec.Tasks = guestTasks
	spec.Request = units.Resources{CPU: units.AmountOf(0.25)}
	if r := term.Submit(ctx, spec); r.Status != http.StatusCreated {
		t.Fatalf("a job of a team without a limit: %d %s", r.Status, r.Body)
	}
	return term
}

// All jobs of a guest team were refused for good, as needing more than its limit: a limit
// of 0 is none. Such a job is accepted, machines are rented for all of it, and its tasks
// are placed wherever there is room.
func TestTeamWithoutALimitIsServed(t *testing.T) {
	term := guestLeader(t)
	term.state.Lock()
	defer term.state.Unlock()
	needs := term.autoscaler.Demand()
	if len(needs) != 1 || needs[0].Count != guestTasks {
		t.Errorf("machines are rented for %v, want one need of %d tasks", needs, guestTasks)
	}
	machine := &cluster.Machine{}
	for i := range 3 {
		machine = term.state.EnsureMachine(string(rune('a'+i)), "m", "a", true, 0)
		machine.Registered, machine.FencingToken = true, term.token
	}
	s, _ := term.scheduler.TakeSnapshot(term.Clock.Steady(), machine)
	s.MaxPlacements = guestTasks
	placed := 0
	for _, start := range scheduler.Plan(&s).Placements {
		placed += start.Count
	}
	if want := 3 * modelMachine * 4; placed != want {
		t.Errorf("%d tasks placed, want the %d that three machines hold", placed, want)
	}
}

// The summary counts teams near their limit: one without a limit never is, also where
// nine tenths of "no limit" would be reckoned.
func TestTeamWithoutALimitIsNeverNearIt(t *testing.T) {
	term := guestLeader(t)
	term.state.Lock()
	defer term.state.Unlock()
	var log bytes.Buffer
	term.Log = slog.New(slog.NewTextHandler(&log, nil))
	term.state.Teams["guest"].Used = standin.CPUs(1_000_000)
	term.logSummary(0)
	if !strings.Contains(log.String(), "teams_near_limit=0") {
		t.Errorf("the summary: %s", log.String())
	}
	term.state.Teams["team"].Used = standin.CPUs(modelLimit)
	log.Reset()
	term.logSummary(0)
	if !strings.Contains(log.String(), "teams_near_limit=1") {
		t.Errorf("the summary with a team at its limit: %s", log.String())
	}
}

// Why a submission was refused for good is logged: users are told, on-call people asked.
func TestRefusalsAreLogged(t *testing.T) {
	term := guestLeader(t)
	var log bytes.Buffer
	term.Log = slog.New(slog.NewTextHandler(&log, nil))
	spec := modelSpec("j-000002")
	spec.Team = "nobody"
	if r := term.Submit(t.Context(), spec); r.Status != http.StatusUnprocessableEntity {
		t.Fatalf("a job of an unknown team: %d", r.Status)
	}
	for _, part := range []string{"submission refused", "job=j-000002", "status=422", "unknown team"} {
		if !strings.Contains(log.String(), part) {
			t.Errorf("%q is not in the log: %s", part, log.String())
		}
	}
}
