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

// recordReader answers polls from the records alone, for a controller that does not lead and
// cannot reach the leader. Each recorded state was committed before it was reported to any user.
type recordReader struct {
	store   *kv.Client
	clock   units.Clock
	workers config.Workers
}

// recordReadTimeout limits each read of the key-value store by a recordReader.
const recordReadTimeout = 800 * units.Millisecond

// poll answers with a job's state as recorded.
func (r recordReader) poll(ctx context.Context, id string) answer.Answer {
	if !r.store.HasRequestBudget() {
		return noLeader()
	}
	// A job moves from the pending-submission queue to the live records and from there to the
	// terminal records. The live and terminal records are read first, since they hold almost
	// every job. A job found in none of the three may have moved between the reads; the second
	// look at the live and terminal records finds it.
	startedAt := r.clock.Steady()
	if a, known := r.liveOrTerminal(ctx, id); known {
		return a
	}
	if a, known := r.pending(ctx, id); known {
		return a
	}
	if a, known := r.liveOrTerminal(ctx, id); known {
		return a
	}
	return answer.Provisional(noSuchJob(), startedAt)
}

// pending looks for a job in the pending-submission queue. It returns false if the queue does
// not hold the job.
func (r recordReader) pending(ctx context.Context, id string) (answer.Answer, bool) {
	readAt := r.clock.Steady()
	item, found, err := r.store.Get(ctx, storage.KeyPending(id), recordReadTimeout)
	switch {
	case err != nil:
		return storeUnreachable(), true
	case !found:
		return answer.Answer{}, false
	}
	if _, err := cluster.ParsePendingSubmission(item); err != nil {
		return recordUnreadable(), true
	}
	return answer.Provisional(answer.StateResponse(http.StatusOK, protocol.JobState{ID: id, Stage: protocol.StagePending}), readAt), true
}

// liveOrTerminal looks for a job in the live and then in the terminal records. It returns false
// if neither holds the job.
func (r recordReader) liveOrTerminal(ctx context.Context, id string) (answer.Answer, bool) {
	readAt := r.clock.Steady()
	item, found, err := r.store.Get(ctx, storage.KeyJob(id), recordReadTimeout)
	if err != nil {
		return storeUnreachable(), true
	}
	if found {
		jobs, _, err := cluster.ParseJobs([]protocol.Item{item})
		if err != nil {
			return recordUnreadable(), true
		}
		return answer.LiveJob(http.StatusOK, jobs[0], r.workers, readAt), true
	}
	record, found, err := persister.ReadTerminal(ctx, r.store, id)
	switch {
	case errors.Is(err, kv.ErrRefused), errors.Is(err, kv.ErrOutcomeUnknown):
		return storeUnreachable(), true
	case err != nil:
		return recordUnreadable(), true
	}
	return answer.Terminal(id, record), found
}
