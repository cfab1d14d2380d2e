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

// newTestScheduler returns a scheduler with one stored, waiting job of the given number of
// tasks.
func newTestScheduler(tasks int) (*Scheduler, *fake.Clock, *cluster.Job) {
	clock := &fake.Clock{Now: 100 * units.Second}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	settings := fake.Settings()
	state := cluster.NewState(settings.Fleet.Teams, settings.Fleet.KVLimits)
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

// A job counts as late only if it would be late even with a shorter runtime than estimated.
// Otherwise a job with an estimate of 97 s and a deadline of 120 s would be scheduled after all
// others as soon as it has waited 23 s, and would miss a deadline that it can still meet.
func TestJobSlightlyLateByItsEstimateIsNotMarkedLate(t *testing.T) {
	sc, clock, job := newTestScheduler(1)
	sc.Settings.Fleet.Objectives = []config.Objective{{Kind: "finished", Class: "c", WithinS: 120}}
	job.Spec.Estimate = 97 * units.Second
	for waited, late := range map[units.Micros]bool{10: false, 40: false, 70: true} {
		job.Submitted = clock.Now - waited*units.Second
		if in := sc.rankInput(job); in.Late != late {
			t.Errorf("after waiting %d s: counted as late: %v", waited, in.Late)
		}
	}
}

// A job waits for running tasks to complete only if completions free enough capacity in that
// time. In a small fleet they do not, and waiting would only delay its start.
func TestJobAwaitsCompletionsOnlyIfEnoughCapacityIsFreed(t *testing.T) {
	sc, clock, job := newTestScheduler(10)
	job.Spec.Priority = protocol.High
	for range 20 {
		sc.State.Completions.Advance(clock.Now)
		clock.Now += units.Second
		sc.State.Completions.RecordFreed(fake.CPUs(4).CPU) // 4 CPUs per second, 8 within the maximum wait of 2 s
	}
	job.LearnedAt = clock.Now
	if sc.awaitsCompletions(job, clock.Now) {
		t.Error("a job that requests ten CPUs waits for completions that free eight")
	}
	job.Spec.Tasks = 7
	if !sc.awaitsCompletions(job, clock.Now) {
		t.Error("a job that requests seven CPUs does not wait for completions that free eight")
	}
	if sc.awaitsCompletions(job, clock.Now+2*units.Second) {
		t.Error("the job still waits for completions after the maximum wait")
	}
}
