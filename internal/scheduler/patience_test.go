package scheduler

import (
	"io"
	"log/slog"
	"testing"

	"dunestand/internal/cluster"
	"dunestand/internal/config"
	"dunestand/internal/fake"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// newTestScheduler returns a scheduler of one job that is stored and waits.
func newTestScheduler(tasks int) (*Scheduler, *fake.Clock, *cluster.Job) {
	clock := &fake.Clock{Now: 100 * units.Second}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	settings := fake.Settings()
	state := cluster.NewState(settings.Fleet.Teams, settings.Fleet.State)
	scheduler := New(Deps{
		State:    state,
		Settings: settings,
		Policy:   config.DefaultPolicy(),
		Clock:    clock,
		Log:      log,
		Token:    7,
	})
	spec := fake.JobSpec("j-000001")
	spec.Tasks = tasks
	job := state.NewJob(*spec, clock.Now, clock.Now)
	batch := state.BuildWriteBatch("7-1", make([]uint64, storage.Buckets), cluster.BatchLimits{}, clock.Now)
	state.BatchCommitted(batch, 1)
	return scheduler, clock, job
}

// A job that is late only if its estimate is right is not called late: on a day
// of the grown mills a job of 97 s by its estimate, due after 120 s, was put
// behind everything once it had waited 23 s.
func TestJobALittleLateByItsEstimateIsNotLate(t *testing.T) {
	sc, clock, job := newTestScheduler(1)
	sc.Settings.Fleet.Objectives = []config.Objective{{Kind: "finished", Class: "c", WithinS: 120}}
	job.Spec.Estimate = 97 * units.Second
	for waited, late := range map[units.Micros]bool{10: false, 40: false, 70: true} {
		job.Submitted = clock.Now - waited*units.Second
		if in := sc.rankInput(job); in.Late != late {
			t.Errorf("after %d s: late %v", waited, in.Late)
		}
	}
}

// A job waits for tasks to end by themselves only where enough of them do: in a
// small fleet its tasks would start late for nothing.
func TestAwaitingCompletionsNeedsCompletions(t *testing.T) {
	sc, clock, job := newTestScheduler(10)
	job.Spec.Priority = protocol.High
	for range 20 {
		sc.State.Completions.Advance(clock.Now)
		clock.Now += units.Second
		sc.State.Completions.Freed(fake.CPUs(4).CPU) // a second, 8 in the patience of 2 s
	}
	job.LearnedAt = clock.Now
	if sc.awaitsCompletions(job, clock.Now) {
		t.Error("a job of ten processors waits for eight")
	}
	job.Spec.Tasks = 7
	if !sc.awaitsCompletions(job, clock.Now) {
		t.Error("a job of seven processors does not wait for eight")
	}
	if sc.awaitsCompletions(job, clock.Now+2*units.Second) {
		t.Error("it waits for ever")
	}
}
