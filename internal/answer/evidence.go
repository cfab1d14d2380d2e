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

// evidenceKind is what an answer claims about a job.
type evidenceKind uint8

const (
	noEvidence  evidenceKind = iota // it says nothing of a job's state
	provisional                     // the job's state may change
	terminal                        // the job stays in this state
)

// Evidence is what an answer about a job rests on. The zero value is that of an answer that says
// nothing of a job's state.
type Evidence struct {
	kind    evidenceKind
	readAt  units.Micros // of a provisional answer: its state was read at this steady time or later
	version uint64       // of a terminal answer: of the record that shows the state
}

// Answer is a response to a user together with its evidence.
type Answer struct {
	transport.Response
	Evidence Evidence
}

// WithoutEvidence returns an answer that says nothing of a job's state.
func WithoutEvidence(r transport.Response) Answer { return Answer{Response: r} }

// IsProvisional reports whether the answer claims a state that may change.
func (e Evidence) IsProvisional() bool { return e.kind == provisional }

// IsTerminal reports whether the answer claims a terminal state.
func (e Evidence) IsTerminal() bool { return e.kind == terminal }

// LogValue implements slog.LogValuer: what the answer claims, and the steady time of the read or
// the version of the record that it rests on.
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

// Unavailable returns an answer that refuses a request for now.
func Unavailable(why string) Answer {
	return WithoutEvidence(ErrorResponse(http.StatusServiceUnavailable, why))
}

// Provisional returns an answer about a job, or the lack of one, whose state was read at the steady
// time readAt or later.
func Provisional(r transport.Response, readAt units.Micros) Answer {
	return Answer{Response: r, Evidence: Evidence{kind: provisional, readAt: readAt}}
}

// Terminal returns the answer about a finished job by its terminal record.
func Terminal(id string, record storage.StoredTerminalRecord) Answer {
	return Answer{
		Response: StateResponse(http.StatusOK, protocol.JobState{ID: id, Stage: record.Stage, Done: record.Done}),
		Evidence: Evidence{kind: terminal, version: record.Version},
	}
}

// Forwarded returns what the leader answered to a request that was forwarded to it at the steady
// time sentAt. The leader itself holds a terminal answer back until it is stable.
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

// LiveJob returns the answer about a job that is not finished, whose state was read at the steady
// time readAt or later. It needs the lock held that guards the job.
func LiveJob(status int, j *cluster.Job, w config.Workers, readAt units.Micros) Answer {
	state := protocol.JobState{
		ID:      j.Spec.ID,
		Stage:   protocol.StagePending,
		Done:    j.DoneCount(),
		Running: j.Running(),
	}
	if CancellationConfirmed(j, w) {
		state.Stage = protocol.StageCancelled
		return Answer{
			Response: StateResponse(status, state),
			Evidence: Evidence{kind: terminal, version: j.CancelVersion()},
		}
	}
	if state.Running > 0 || state.Done > 0 {
		state.Stage = protocol.StageRunning
	}
	return Provisional(StateResponse(status, state), readAt)
}

// CancellationConfirmed reports whether the user of a job may be told that it is cancelled,
// though it is not finished. It needs the lock held that guards the job.
func CancellationConfirmed(j *cluster.Job, w config.Workers) bool {
	return j.CancelDurable && election.ConfirmsCancellationWhenDurable(w)
}
