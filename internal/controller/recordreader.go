package controller

import (
	"context"
	"errors"
	"net/http"

	"dunestand/internal/answer"
	"dunestand/internal/cluster"
	"dunestand/internal/config"
	"dunestand/internal/kv"
	"dunestand/internal/persister"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// recordReader answers polls from the records alone, for a node that does not lead and
// cannot reach the leader. What they say was committed before anybody was told of it.
type recordReader struct {
	store   *kv.Client
	clock   units.Clock
	workers config.Workers
}

// recordReadTimeout bounds each of the reads that a poll is answered from without the leader.
const recordReadTimeout = 800 * units.Millisecond

// poll tells a job's state.
func (r recordReader) poll(ctx context.Context, id string) answer.Answer {
	if !r.store.HasRequestBudget() {
		return answer.Unavailable("no leader")
	}
	// From the inbox a job moves to the live records and from there to the final
	// ones. It is looked for in the two latter first, since it is there nearly
	// always; one that is in none of the three may have moved in between, and is
	// then found by a second look.
	began := r.clock.Steady()
	if a, found := r.liveOrFinal(ctx, id); found {
		return a
	}
	readAt := r.clock.Steady()
	item, ok, err := r.store.Get(ctx, storage.KeyPending(id), recordReadTimeout)
	if err != nil {
		return answer.Unavailable("state service is out of reach")
	}
	if ok {
		if _, err := cluster.ParsePendingSubmission(item); err != nil {
			return answer.Unavailable("the job's record is not readable")
		}
		return answer.Provisional(answer.StateResponse(http.StatusOK, protocol.JobState{ID: id, Stage: protocol.StagePending}), readAt)
	}
	if a, found := r.liveOrFinal(ctx, id); found {
		return a
	}
	return answer.Provisional(answer.ErrorResponse(http.StatusNotFound, "no such job"), began)
}

// liveOrFinal looks for a job in the live and then in the final records.
func (r recordReader) liveOrFinal(ctx context.Context, id string) (answer.Answer, bool) {
	readAt := r.clock.Steady()
	item, ok, err := r.store.Get(ctx, storage.KeyJob(id), recordReadTimeout)
	if err != nil {
		return answer.Unavailable("state service is out of reach"), true
	}
	if ok {
		jobs, _, err := cluster.ParseJobs([]protocol.Item{item})
		if err != nil {
			return answer.Unavailable("the job's record is not readable"), true
		}
		return answer.LiveJob(http.StatusOK, jobs[0], r.workers, readAt), true
	}
	f, ok, err := persister.ReadTerminal(ctx, r.store, id)
	switch {
	case errors.Is(err, kv.ErrRefused), errors.Is(err, kv.ErrOutcomeUnknown):
		return answer.Unavailable("state service is out of reach"), true
	case err != nil:
		return answer.Unavailable("the job's record is not readable"), true
	}
	return answer.Terminal(id, f), ok
}
