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

func storedLeader(t *testing.T, number uint64, state *standin.State, changes ...func(*Deps)) *Leader {
	t.Helper()
	server := httptest.NewServer(state)
	t.Cleanup(server.Close)
	clock := &standin.Clock{Now: units.Second}
	client := kv.NewClient(nil, strings.TrimPrefix(server.URL, "http://"), config.State{
		RPS:      1e4,
		WriteRPS: 1e4,
	}, 0, clock)
	return newTestLeader(number, clock, append([]func(*Deps){func(d *Deps) {
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

func state(t *testing.T, r answer.Answer) protocol.JobState {
	t.Helper()
	var s protocol.JobState
	if err := protocol.Decode(r.Body, &s); err != nil {
		t.Fatal(err)
	}
	return s
}

// Submission, cancellation and their repeats, with commits that are carried
// out and not answered: the save's id tells its author that it was.
func TestSubmitAndCancelWithLostAnswers(t *testing.T) {
	s := standin.NewState()
	s.Silent = func(n int) bool { return n%2 == 0 }
	term := storedLeader(t, 1, s)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for try := 0; !term.persister.Restore(ctx); try++ {
		if try == 3 {
			t.Fatal("not restored")
		}
	}
	term.state.SetInstanceTypes(modelCatalog.Types)
	go term.persister.Run(ctx)
	if r := term.Poll(ctx, "j-000001"); r.Status != http.StatusNotFound {
		t.Fatalf("unknown job: %d", r.Status)
	}
	for _, id := range []string{"j-000001", "j-000002", "j-000003"} {
		if r := term.Submit(ctx, modelSpec(id)); r.Status != http.StatusCreated {
			t.Fatalf("submit: %d %s", r.Status, r.Body)
		}
		if r := term.Submit(ctx, modelSpec(id)); r.Status != http.StatusOK || state(t, r).Stage != protocol.StagePending {
			t.Fatalf("repeat: %d %s", r.Status, r.Body)
		}
		if r := term.Cancel(ctx, id); r.Status != http.StatusOK || state(t, r).Stage != protocol.StageCancelled {
			t.Fatalf("cancel: %d %s", r.Status, r.Body)
		}
		if r := term.Submit(ctx, modelSpec(id)); r.Status != http.StatusOK || state(t, r).Stage != protocol.StageCancelled {
			t.Fatalf("repeat after cancel: %d %s", r.Status, r.Body)
		}
	}
	// The final records are apart, and a restore does not read them.
	deadline := time.Now().Add(5 * time.Second)
	for len(s.Keys("final/")) < 3 && time.Now().Before(deadline) {
		time.Sleep(10 * time.Millisecond)
	}
	if finals, live := s.Keys("final/"), s.Keys("job/"); len(finals) != 3 || len(live) != 0 {
		t.Fatalf("finals %v, live %v", finals, live)
	}
}

// A later leader does not know finished jobs by heart: it must find them, for
// polls and for repeated submissions whatever their body now says.
func TestFinishedJobsAreFoundByLaterLeaders(t *testing.T) {
	s := standin.NewState()
	s.Put(storage.KeyTerminal("j-000007"), protocol.Encode(storage.TerminalRecord{
		Stage: protocol.StageDone,
		Tasks: 2,
		Done:  2,
	}))
	term := storedLeader(t, 3, s)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if !term.persister.Restore(ctx) {
		t.Fatal("not restored")
	}
	term.state.SetInstanceTypes(modelCatalog.Types)
	go term.persister.Run(ctx)
	bad := modelSpec("j-000007")
	bad.Team = "nobody"
	for _, spec := range []*protocol.JobSpec{modelSpec("j-000007"), bad} {
		if r := term.Submit(ctx, spec); r.Status != http.StatusOK || state(t, r).Stage != protocol.StageDone {
			t.Fatalf("repeat: %d %s", r.Status, r.Body)
		}
		term.terminals = persister.NewTerminalJobs(term.state, term.KV)
	}
	if r := term.Poll(ctx, "j-000007"); r.Status != http.StatusOK || state(t, r).Stage != protocol.StageDone {
		t.Fatalf("poll: %d %s", r.Status, r.Body)
	}
	if r := term.records().poll(ctx, "j-000007"); r.Status != http.StatusOK || state(t, r).Stage != protocol.StageDone {
		t.Fatalf("stored poll: %d", r.Status)
	}
	if r := term.records().poll(ctx, "j-000008"); r.Status != http.StatusNotFound {
		t.Fatalf("stored poll of an unknown job: %d", r.Status)
	}
}

// A record that cannot be read stops the restore and stays as it is.
func TestUnreadableRecordIsLeftAlone(t *testing.T) {
	s := standin.NewState()
	raw := protocol.Encode(map[string]any{"v": 99, "id": "j-000001"})
	s.Put(storage.KeyJob("j-000001"), raw)
	term := storedLeader(t, 2, s)
	if term.persister.Restore(t.Context()) || term.Ready() {
		t.Fatal("led in spite of it")
	}
	if r := term.Poll(t.Context(), "j-000001"); r.Status != http.StatusServiceUnavailable || r.RetryAfter == 0 {
		t.Fatalf("poll: %d", r.Status)
	}
	if item, _ := s.Get(storage.KeyJob("j-000001")); string(item.Value) != string(raw) {
		t.Fatal("record was changed")
	}
}

// Without a valid lease nothing is answered 200.
func TestNothingIsAnsweredWithoutTheLease(t *testing.T) {
	term := storedLeader(t, 2, standin.NewState())
	if !term.persister.Restore(t.Context()) {
		t.Fatal("not restored")
	}
	term.lease().Lost = true
	for name, r := range map[string]answer.Answer{
		"submit": term.Submit(t.Context(), modelSpec("j-000001")),
		"poll":   term.Poll(t.Context(), "j-000001"),
		"cancel": term.Cancel(t.Context(), "j-000001"),
	} {
		if r.Status != http.StatusServiceUnavailable || r.RetryAfter == 0 {
			t.Errorf("%s: %d", name, r.Status)
		}
	}
	if _, ok := term.Heartbeat(t.Context(), &protocol.Heartbeat{
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
	term := newTestLeader(5, &standin.Clock{Now: units.Second})
	term.persister.InstallRecords(nil, modelCatalog)
	fresh := &protocol.Heartbeat{Machine: "i-1", InstanceType: "m", Zone: "a", Incarnation: 2, Sequence: 7}
	if _, ok := term.Heartbeat(t.Context(), fresh, nil); !ok {
		t.Fatal("fresh report refused")
	}
	for _, old := range []protocol.Heartbeat{{Incarnation: 2, Sequence: 7}, {Incarnation: 2, Sequence: 6}, {Incarnation: 1, Sequence: 99}} {
		old.Machine, old.InstanceType, old.Zone = "i-1", "m", "a"
		if _, ok := term.Heartbeat(t.Context(), &old, nil); ok {
			t.Errorf("old report %d/%d accepted", old.Incarnation, old.Sequence)
		}
	}
	if m := term.state.Machines["i-1"]; m.Incarnation != 2 || m.Sequence != 7 {
		t.Errorf("machine at %d/%d", m.Incarnation, m.Sequence)
	}
	if _, ok := term.Heartbeat(t.Context(), &protocol.Heartbeat{
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
	term := newTestLeader(1, clock)
	term.persister.InstallRecords(nil, modelCatalog)
	l := term.state
	fail := func(job, machine string) *cluster.Job {
		j := l.Jobs[job]
		if j == nil {
			j = l.NewJob(*modelSpec(job), clock.Now, clock.Now)
		}
		m := l.EnsureMachine(machine, "m", "a", true, clock.Now)
		a := l.Assign(j, m, term.token<<32|uint64(len(job)), clock.Now)
		l.Outcomes.AttemptFailed(a, clock.Now)
		l.AttemptGone(a, clock.Now)
		return j
	}
	fail("j-000001", "i-1")
	fail("j-000002", "i-1")
	if !l.Machines["i-1"].Quarantined {
		t.Error("a machine on which two jobs failed is not set aside")
	}
	var bad *cluster.Job
	for _, m := range []string{"i-2", "i-3", "i-4", "i-5", "i-6"} {
		bad = fail("j-000003", m)
	}
	for _, m := range []string{"i-2", "i-3", "i-4", "i-5", "i-6"} {
		if l.Machines[m].Quarantined {
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
	term := newTestLeader(1, clock)
	term.persister.InstallRecords(nil, modelCatalog)
	report := func(machines int, seq uint64) {
		for i := range machines {
			r := &protocol.Heartbeat{
				Machine:      fmt.Sprintf("i-%06d", i),
				InstanceType: "m",
				Zone:         "a",
				Incarnation:  1,
				Sequence:     seq,
				FencingToken: 1,
			}
			if _, ok := term.Heartbeat(t.Context(), r, nil); !ok {
				t.Fatal("report refused")
			}
		}
	}
	report(10, 1)
	clock.Now += 4500 * units.Millisecond
	report(9, 2) // one of ten has been silent for 4.5 s
	clock.Now += 600 * units.Millisecond
	if silent := term.detector.LostMachines(clock.Now); len(silent) != 1 {
		t.Fatalf("%d to be released", len(silent))
	}
	clock.Now += 2 * units.Second
	report(4, 3) // five more are late by now
	if silent := term.detector.LostMachines(clock.Now); len(silent) != 0 {
		t.Fatalf("%d to be released", len(silent))
	}
}

// A task that two attempts run, one of a former leader's that nobody knew of,
// ends its job when the first is done. What is then heard of the other must not
// trip over the job that has left the ledger.
func TestAttemptOutlivesItsJob(t *testing.T) {
	clock := &standin.Clock{Now: units.Second}
	term := newTestLeader(2, clock)
	term.persister.InstallRecords(nil, modelCatalog)
	l := term.state
	spec := *modelSpec("j-000001")
	spec.Tasks = 1
	j := l.NewJob(spec, clock.Now, clock.Now)
	save := func() {
		if s := l.BuildWriteBatch("2-1", term.persister.BucketVersions(), cluster.BatchLimits{Background: true}, clock.Now); s != nil {
			l.BatchCommitted(s, 1)
		}
	}
	save()
	m := l.EnsureMachine("i-000001", "m", "a", true, clock.Now)
	a := l.Assign(j, m, 7, clock.Now)
	a.Stage = cluster.Running
	l.TaskDone(j, 0, clock.Now) // told by another machine
	save()
	if l.Jobs["j-000001"] != nil {
		t.Fatal("the job is still there")
	}
	for seq, task := range []protocol.TaskStatus{
		{Job: "j-000001", Attempt: 7, Stage: protocol.TaskFetching},
		{Job: "j-000001", Attempt: 7, Stage: protocol.TaskRunning},
		{Job: "j-000001", Attempt: 7, Stage: protocol.TaskExited, Cause: protocol.CauseDone},
	} {
		r := &protocol.Heartbeat{
			Machine:      m.ID,
			InstanceType: "m",
			Zone:         "a",
			Incarnation:  1,
			Sequence:     uint64(seq + 1),
			FencingToken: 2,
			Tasks:        []protocol.TaskStatus{task},
		}
		if _, ok := term.Heartbeat(t.Context(), r, nil); !ok {
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
	term := newTestLeader(2, clock)
	term.persister.InstallRecords(nil, modelCatalog)
	l := term.state
	j := l.NewJob(*modelSpec("j-000001"), clock.Now, clock.Now)
	save := func() {
		l.BatchCommitted(l.BuildWriteBatch("2-1", term.persister.BucketVersions(), cluster.BatchLimits{Background: true}, clock.Now), 1)
	}
	save()
	m := l.EnsureMachine("i-000001", "m", "a", true, clock.Now)
	a := l.Assign(j, m, 7, clock.Now)
	a.Stage = cluster.Running
	j.RetryAt = 1 << 60 // nothing else starts
	seq := uint64(0)
	forgotten := func() bool {
		seq++
		r := &protocol.Heartbeat{
			Machine:      m.ID,
			InstanceType: "m",
			Zone:         "a",
			Incarnation:  1,
			Sequence:     seq,
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
		answer, ok := term.Heartbeat(t.Context(), r, nil)
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
	save()
	if !forgotten() {
		t.Fatal("not forgotten after it was saved")
	}
}
