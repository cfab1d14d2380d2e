package controller

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"dunestand/internal/answer"
	"dunestand/internal/cluster"
	"dunestand/internal/config"
	"dunestand/internal/kv"
	"dunestand/internal/persister"
	"dunestand/internal/protocol"
	"dunestand/internal/recordformat"
	"dunestand/internal/standin"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

func newStoredLeader(t *testing.T, token uint64, state *standin.State, changes ...func(*Deps)) *Leader {
	t.Helper()
	server := httptest.NewServer(state)
	t.Cleanup(server.Close)
	clock := &standin.Clock{Now: units.Second}
	client := kv.NewClient(nil, strings.TrimPrefix(server.URL, "http://"), config.State{
		RPS:      1e4,
		WriteRPS: 1e4,
	}, 0, clock)
	return newTestLeader(token, clock, append([]func(*Deps){func(d *Deps) {
		d.KV = client
		d.Format = recordformat.NewNegotiator("n", nil, storage.FormatNew, client, d.Log)
	}}, changes...)...)
}

func (l *Leader) records() recordReader {
	return recordReader{store: l.KV, clock: l.Clock, workers: l.Settings.Fleet.Workers}
}

func modelSpec(id string) *protocol.JobSpec {
	return &protocol.JobSpec{
		ID:        id,
		Class:     "c",
		Team:      "team",
		Tasks:     2,
		Request:   standin.CPUs(1),
		AllowSpot: true,
		Image:     "i",
	}
}

func decodeState(t *testing.T, r answer.Answer) protocol.JobState {
	t.Helper()
	var store protocol.JobState
	if err := protocol.Decode(r.Body, &store); err != nil {
		t.Fatal(err)
	}
	return store
}

// Submission, cancellation and their repeats, with commits that are carried
// out and not answered: the save's id tells its author that it was.
func TestSubmitAndCancelWithLostAnswers(t *testing.T) {
	store := standin.NewState()
	store.Silent = func(n int) bool { return n%2 == 0 }
	leader := newStoredLeader(t, 1, store)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for try := 0; !leader.persister.Restore(ctx); try++ {
		if try == 3 {
			t.Fatal("not restored")
		}
	}
	leader.state.SetInstanceTypes(modelCatalog.Types)
	go leader.persister.Run(ctx)
	if r := leader.Poll(ctx, "j-000001"); r.Status != http.StatusNotFound {
		t.Fatalf("unknown job: %d", r.Status)
	}
	for _, id := range []string{"j-000001", "j-000002", "j-000003"} {
		if r := leader.Submit(ctx, modelSpec(id)); r.Status != http.StatusCreated {
			t.Fatalf("submit: %d %s", r.Status, r.Body)
		}
		if r := leader.Submit(ctx, modelSpec(id)); r.Status != http.StatusOK || decodeState(t, r).Stage != protocol.StagePending {
			t.Fatalf("repeat: %d %s", r.Status, r.Body)
		}
		if r := leader.Cancel(ctx, id); r.Status != http.StatusOK || decodeState(t, r).Stage != protocol.StageCancelled {
			t.Fatalf("cancel: %d %s", r.Status, r.Body)
		}
		if r := leader.Submit(ctx, modelSpec(id)); r.Status != http.StatusOK || decodeState(t, r).Stage != protocol.StageCancelled {
			t.Fatalf("repeat after cancel: %d %s", r.Status, r.Body)
		}
	}
	// The final records are apart, and a restore does not read them.
	deadline := time.Now().Add(5 * time.Second)
	for len(store.Keys("final/")) < 3 && time.Now().Before(deadline) {
		time.Sleep(10 * time.Millisecond)
	}
	if finals, live := store.Keys("final/"), store.Keys("job/"); len(finals) != 3 || len(live) != 0 {
		t.Fatalf("finals %v, live %v", finals, live)
	}
}

// A later leader does not know finished jobs by heart: it must find them, for
// polls and for repeated submissions whatever their body now says.
func TestFinishedJobsAreFoundByLaterLeaders(t *testing.T) {
	store := standin.NewState()
	store.Put(storage.KeyTerminal("j-000007"), protocol.Encode(storage.TerminalRecord{
		Stage: protocol.StageDone,
		Tasks: 2,
		Done:  2,
	}))
	leader := newStoredLeader(t, 3, store)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if !leader.persister.Restore(ctx) {
		t.Fatal("not restored")
	}
	leader.state.SetInstanceTypes(modelCatalog.Types)
	go leader.persister.Run(ctx)
	bad := modelSpec("j-000007")
	bad.Team = "nobody"
	for _, spec := range []*protocol.JobSpec{modelSpec("j-000007"), bad} {
		if r := leader.Submit(ctx, spec); r.Status != http.StatusOK || decodeState(t, r).Stage != protocol.StageDone {
			t.Fatalf("repeat: %d %s", r.Status, r.Body)
		}
		leader.terminals = persister.NewTerminalJobs(leader.state, leader.KV)
	}
	if r := leader.Poll(ctx, "j-000007"); r.Status != http.StatusOK || decodeState(t, r).Stage != protocol.StageDone {
		t.Fatalf("poll: %d %s", r.Status, r.Body)
	}
	if r := leader.records().poll(ctx, "j-000007"); r.Status != http.StatusOK || decodeState(t, r).Stage != protocol.StageDone {
		t.Fatalf("stored poll: %d", r.Status)
	}
	if r := leader.records().poll(ctx, "j-000008"); r.Status != http.StatusNotFound {
		t.Fatalf("stored poll of an unknown job: %d", r.Status)
	}
}

// A record that cannot be read stops the restore and stays as it is.
func TestUnreadableRecordIsLeftAlone(t *testing.T) {
	store := standin.NewState()
	raw := protocol.Encode(map[string]any{"v": 99, "id": "j-000001"})
	store.Put(storage.KeyJob("j-000001"), raw)
	leader := newStoredLeader(t, 2, store)
	if leader.persister.Restore(t.Context()) || leader.Ready() {
		t.Fatal("led in spite of it")
	}
	if r := leader.Poll(t.Context(), "j-000001"); r.Status != http.StatusServiceUnavailable || r.RetryAfter == 0 {
		t.Fatalf("poll: %d", r.Status)
	}
	if item, _ := store.Get(storage.KeyJob("j-000001")); string(item.Value) != string(raw) {
		t.Fatal("record was changed")
	}
}

// Without a valid lease nothing is answered 200.
func TestNothingIsAnsweredWithoutTheLease(t *testing.T) {
	leader := newStoredLeader(t, 2, standin.NewState())
	if !leader.persister.Restore(t.Context()) {
		t.Fatal("not restored")
	}
	leader.lease().Lost = true
	for name, r := range map[string]answer.Answer{
		"submit": leader.Submit(t.Context(), modelSpec("j-000001")),
		"poll":   leader.Poll(t.Context(), "j-000001"),
		"cancel": leader.Cancel(t.Context(), "j-000001"),
	} {
		if r.Status != http.StatusServiceUnavailable || r.RetryAfter == 0 {
			t.Errorf("%s: %d", name, r.Status)
		}
	}
	if _, ok := leader.Heartbeat(t.Context(), &protocol.Heartbeat{
		Machine:      "i-1",
		InstanceType: "m",
		Zone:         "a",
		Incarnation:  1,
		Sequence:     1,
	}, nil); ok {
		t.Error("a report was accepted")
	}
}

// Old and repeated reports have no effect.
func TestOldHeartbeatsHaveNoEffect(t *testing.T) {
	leader := newTestLeader(5, &standin.Clock{Now: units.Second})
	leader.persister.InstallRecords(nil, modelCatalog)
	fresh := &protocol.Heartbeat{Machine: "i-1", InstanceType: "m", Zone: "a", Incarnation: 2, Sequence: 7}
	if _, ok := leader.Heartbeat(t.Context(), fresh, nil); !ok {
		t.Fatal("fresh report refused")
	}
	for _, old := range []protocol.Heartbeat{{Incarnation: 2, Sequence: 7}, {Incarnation: 2, Sequence: 6}, {Incarnation: 1, Sequence: 99}} {
		old.Machine, old.InstanceType, old.Zone = "i-1", "m", "a"
		if _, ok := leader.Heartbeat(t.Context(), &old, nil); ok {
			t.Errorf("old report %d/%d accepted", old.Incarnation, old.Sequence)
		}
	}
	if m := leader.state.Machines["i-1"]; m.Incarnation != 2 || m.Sequence != 7 {
		t.Errorf("machine at %d/%d", m.Incarnation, m.Sequence)
	}
	if _, ok := leader.Heartbeat(t.Context(), &protocol.Heartbeat{
		Machine:      "i-2",
		InstanceType: "m",
		Zone:         "a",
		Incarnation:  1,
		Sequence:     1,
		FencingToken: 6,
	}, nil); ok {
		t.Error("a worker that has seen a later term was answered")
	}
}

// A machine on which several jobs fail is set aside; a job that fails
// everywhere is retried ever later, and no machine is blamed for it.
func TestBlameForErrors(t *testing.T) {
	clock := &standin.Clock{Now: units.Second}
	leader := newTestLeader(1, clock)
	leader.persister.InstallRecords(nil, modelCatalog)
	state := leader.state
	fail := func(job, machine string) *cluster.Job {
		j := state.Jobs[job]
		if j == nil {
			j = state.NewJob(*modelSpec(job), clock.Now, clock.Now)
		}
		m := state.EnsureMachine(machine, "m", "a", true, clock.Now)
		a := state.Assign(j, m, leader.token<<32|uint64(len(job)), clock.Now)
		state.AttemptFailed(a, clock.Now)
		state.AttemptGone(a, clock.Now)
		return j
	}
	fail("j-000001", "i-1")
	fail("j-000002", "i-1")
	if !state.Machines["i-1"].Quarantined {
		t.Error("a machine on which two jobs failed is not set aside")
	}
	var bad *cluster.Job
	for _, m := range []string{"i-2", "i-3", "i-4", "i-5", "i-6"} {
		bad = fail("j-000003", m)
	}
	for _, m := range []string{"i-2", "i-3", "i-4", "i-5", "i-6"} {
		if state.Machines[m].Quarantined {
			t.Errorf("%s is blamed for a job that fails everywhere", m)
		}
	}
	if bad.RetryAt <= clock.Now {
		t.Error("a job that fails everywhere is retried at once")
	}
}

// One machine that falls silent is released; when half of them do, it is the
// network: on a recorded day five of twelve machines that were cut off for 14 s
// were given away, since they reached the limit a little before the others.
func TestManyLostMachinesAreKept(t *testing.T) {
	clock := &standin.Clock{Now: 100 * units.Second}
	leader := newTestLeader(1, clock)
	leader.persister.InstallRecords(nil, modelCatalog)
	heartbeat := func(machines int, sequence uint64) {
		for i := range machines {
			r := &protocol.Heartbeat{
				Machine:      fmt.Sprintf("i-%06d", i),
				InstanceType: "m",
				Zone:         "a",
				Incarnation:  1,
				Sequence:     sequence,
				FencingToken: 1,
			}
			if _, ok := leader.Heartbeat(t.Context(), r, nil); !ok {
				t.Fatal("report refused")
			}
		}
	}
	heartbeat(10, 1)
	clock.Now += 4500 * units.Millisecond
	heartbeat(9, 2) // one of ten has been silent for 4.5 s
	clock.Now += 600 * units.Millisecond
	if lost := leader.detector.LostMachines(clock.Now); len(lost) != 1 {
		t.Fatalf("%d to be released", len(lost))
	}
	clock.Now += 2 * units.Second
	heartbeat(4, 3) // five more are late by now
	if lost := leader.detector.LostMachines(clock.Now); len(lost) != 0 {
		t.Fatalf("%d to be released", len(lost))
	}
}

// A task that two attempts run, one of a former leader's that nobody knew of,
// ends its job when the first is done. What is then heard of the other must not
// trip over the job that has left the ledger.
func TestAttemptOutlivesItsJob(t *testing.T) {
	clock := &standin.Clock{Now: units.Second}
	leader := newTestLeader(2, clock)
	leader.persister.InstallRecords(nil, modelCatalog)
	state := leader.state
	spec := *modelSpec("j-000001")
	spec.Tasks = 1
	j := state.NewJob(spec, clock.Now, clock.Now)
	commit := func() {
		if batch := state.BuildWriteBatch("2-1", leader.persister.BucketVersions(), cluster.BatchLimits{Background: true}, clock.Now); batch != nil {
			state.BatchCommitted(batch, 1)
		}
	}
	commit()
	m := state.EnsureMachine("i-000001", "m", "a", true, clock.Now)
	a := state.Assign(j, m, 7, clock.Now)
	a.Stage = cluster.Running
	state.TaskDone(j, 0, clock.Now) // told by another machine
	commit()
	if state.Jobs["j-000001"] != nil {
		t.Fatal("the job is still there")
	}
	for sequence, task := range []protocol.TaskStatus{
		{Job: "j-000001", Attempt: 7, Stage: protocol.TaskFetching},
		{Job: "j-000001", Attempt: 7, Stage: protocol.TaskRunning},
		{Job: "j-000001", Attempt: 7, Stage: protocol.TaskExited, Cause: protocol.CauseDone},
	} {
		r := &protocol.Heartbeat{
			Machine:      m.ID,
			InstanceType: "m",
			Zone:         "a",
			Incarnation:  1,
			Sequence:     uint64(sequence + 1),
			FencingToken: 2,
			Tasks:        []protocol.TaskStatus{task},
		}
		if _, ok := leader.Heartbeat(t.Context(), r, nil); !ok {
			t.Fatal("report refused")
		}
	}
	if len(m.Attempts) != 0 || m.Used != (units.Resources{}) {
		t.Fatalf("left on the machine: %v", m.Attempts)
	}
}

// A completion stays with its worker until it is durable: a later leader must
// be able to learn of it, or the task would run once more.
func TestCompletionsAreForgottenOnlyOnceDurable(t *testing.T) {
	clock := &standin.Clock{Now: units.Second}
	leader := newTestLeader(2, clock)
	leader.persister.InstallRecords(nil, modelCatalog)
	state := leader.state
	j := state.NewJob(*modelSpec("j-000001"), clock.Now, clock.Now)
	commit := func() {
		state.BatchCommitted(state.BuildWriteBatch("2-1", leader.persister.BucketVersions(), cluster.BatchLimits{Background: true}, clock.Now), 1)
	}
	commit()
	m := state.EnsureMachine("i-000001", "m", "a", true, clock.Now)
	a := state.Assign(j, m, 7, clock.Now)
	a.Stage = cluster.Running
	j.RetryAt = 1 << 60 // nothing else starts
	sequence := uint64(0)
	forgotten := func() bool {
		sequence++
		r := &protocol.Heartbeat{
			Machine:      m.ID,
			InstanceType: "m",
			Zone:         "a",
			Incarnation:  1,
			Sequence:     sequence,
			FencingToken: 2,
			Tasks: []protocol.TaskStatus{
				{
					Job:     "j-000001",
					Index:   a.Index,
					Attempt: 7,
					Stage:   protocol.TaskExited,
					Cause:   protocol.CauseDone,
				}},
		}
		answer, ok := leader.Heartbeat(t.Context(), r, nil)
		if !ok {
			t.Fatal("report refused")
		}
		for _, c := range answer.Commands {
			if c.Verb == protocol.VerbForget {
				return true
			}
		}
		return false
	}
	for range 2 {
		if forgotten() {
			t.Fatal("forgotten before it was saved")
		}
	}
	commit()
	if !forgotten() {
		t.Fatal("not forgotten after it was saved")
	}
}
