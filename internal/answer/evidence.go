package answer

import (
	"log/slog"
	"net/http"

	"dunestand/internal/cluster"
	"dunestand/internal/config"
	"dunestand/internal/election"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/transport"
	"dunestand/internal/units"
)

// evidenceKind is the kind of claim that an answer makes about the state of a job.
type evidenceKind uint8

const (
	noEvidence  evidenceKind = iota // no claim about a job's state
	provisional                     // the job is unfinished or unknown; its state may change
	terminal                        // the job is in a terminal state
)

// Evidence is the basis of the job state in an answer: the time at which a provisional state was
// read, or the version of the record that holds a terminal state. Gate uses it to decide whether the
// answer may be given now. The zero value belongs to an answer that makes no claim about a job's
// state.
type Evidence struct {
	kind    evidenceKind
	readAt  units.Micros // provisional: the state was read at this steady time or later
	version uint64       // terminal: version of the record that holds the state
}

// Answer is a response to a user with the evidence for the job state in it.
type Answer struct {
	transport.Response
	Evidence Evidence
}

// WithoutEvidence returns an answer that makes no claim about a job's state. Gate never withholds it.
func WithoutEvidence(r transport.Response) Answer { return Answer{Response: r} }

// IsProvisional reports whether the answer claims a job state that may change.
func (e Evidence) IsProvisional() bool { return e.kind == provisional }

// IsTerminal reports whether the answer claims a terminal job state.
func (e Evidence) IsTerminal() bool { return e.kind == terminal }

// LogValue implements slog.LogValuer. It returns the kind of claim, with the steady time of the read
// of a provisional answer or the record version of a terminal one.
func (e Evidence) LogValue() slog.Value {
	switch e.kind {
	case provisional:
		return slog.GroupValue(slog.String("kind", "provisional"), slog.Int64("read_at_us", int64(e.readAt)))
	case terminal:
		return slog.GroupValue(slog.String("kind", "terminal"), slog.Uint64("record_version", e.version))
	default:
		return slog.GroupValue(slog.String("kind", "none"))
	}
}

// Unavailable returns an answer that rejects a request with status 503 and asks the user to retry.
func Unavailable(reason string) Answer {
	return WithoutEvidence(ErrorResponse(http.StatusServiceUnavailable, reason))
}

// Provisional returns an answer about an unfinished or unknown job, whose state was read at the
// steady time readAt or later.
func Provisional(r transport.Response, readAt units.Micros) Answer {
	return Answer{Response: r, Evidence: Evidence{kind: provisional, readAt: readAt}}
}

// Terminal returns the answer about a finished job from its terminal record.
func Terminal(id string, record storage.StoredTerminalRecord) Answer {
	return Answer{
		Response: StateResponse(http.StatusOK, protocol.JobState{ID: id, Stage: record.Stage, Done: record.Done}),
		Evidence: Evidence{kind: terminal, version: record.Version},
	}
}

// Forwarded returns the answer for the leader's response to a request that was forwarded to it at the
// steady time sentAt. A terminal response needs no further check: the leader withholds it until it
// is stable.
func Forwarded(r transport.Response, sentAt units.Micros) Answer {
	switch r.Status {
	case http.StatusOK, http.StatusCreated:
		var state protocol.JobState
		if err := protocol.Decode(r.Body, &state); err == nil && state.Stage.IsTerminal() {
			return WithoutEvidence(r)
		}
		return Provisional(r, sentAt)
	case http.StatusNotFound, http.StatusBadRequest, http.StatusUnprocessableEntity:
		return Provisional(r, sentAt)
	}
	return WithoutEvidence(r)
}

// LiveJob returns the answer about an unfinished job, whose state was read at the steady time readAt
// or later. The caller must hold the lock that guards the job.
func LiveJob(status int, job *cluster.Job, workers config.Workers, readAt units.Micros) Answer {
	state := protocol.JobState{
		ID:      job.Spec.ID,
		Stage:   protocol.StagePending,
		Done:    job.DoneCount(),
		Running: job.Running(),
	}
	if MayConfirmCancellation(job, workers) {
		state.Stage = protocol.StageCancelled
		return Answer{
			Response: StateResponse(status, state),
			Evidence: Evidence{kind: terminal, version: job.CancelVersion()},
		}
	}
	if state.Running > 0 || state.Done > 0 {
		state.Stage = protocol.StageRunning
	}
	return Provisional(StateResponse(status, state), readAt)
}

// MayConfirmCancellation reports whether the cancellation of a job may be confirmed to the user before
// the job is finished. The caller must hold the lock that guards the job.
func MayConfirmCancellation(job *cluster.Job, workers config.Workers) bool {
	return job.CancelDurable && election.ConfirmsCancellationWhenDurable(workers)
}
