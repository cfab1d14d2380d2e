package answer

import (
	"net/http"
	"testing"

	"dunestand/internal/fake"
	"dunestand/internal/kv"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/transport"
	"dunestand/internal/units"
)

// newTestGate returns a gate with the fake clock that it uses.
func newTestGate() (Gate, *fake.Clock) {
	clock := &fake.Clock{Now: 100 * units.Second}
	return Gate{
		Clock:     clock,
		Revisions: kv.NewRevisionHistory(clock, 2*stableAge),
	}, clock
}

func stateResponse(stage protocol.JobStage) transport.Response {
	return StateResponse(http.StatusOK, protocol.JobState{ID: "j-000001", Stage: stage})
}

// A provisional answer is given until MaxAnswerAge after the read of its state, whatever its status.
// An answer without evidence is given at any time.
func TestProvisionalAnswerExpires(t *testing.T) {
	gate, clock := newTestGate()
	for name, r := range map[string]transport.Response{
		"running":   stateResponse(protocol.StageRunning),
		"unknown":   ErrorResponse(http.StatusNotFound, "no such job"),
		"malformed": ErrorResponse(http.StatusBadRequest, "no uid"),
	} {
		a := Provisional(r, clock.Now)
		clock.Now += MaxAnswerAge
		if got := gate.Check(a); got.Status != r.Status {
			t.Errorf("%s: status %d within the maximum age", name, got.Status)
		}
		clock.Now++
		if got := gate.Check(a); got.Status != http.StatusServiceUnavailable || got.RetryAfter == 0 {
			t.Errorf("%s: status %d beyond the maximum age", name, got.Status)
		}
	}
	if got := gate.Check(WithoutEvidence(ErrorResponse(http.StatusTooManyRequests, "full"))); got.Status != http.StatusTooManyRequests {
		t.Errorf("answer without evidence: status %d", got.Status)
	}
}

// A terminal answer is given only after its record has been durable for stableAge. By then no
// provisional answer from before the record may be given.
func TestTerminalAnswerWaitsUntilStable(t *testing.T) {
	if stableAge <= MaxAnswerAge {
		t.Fatal("a terminal answer is given while older provisional answers are still valid")
	}
	gate, clock := newTestGate()
	a := Terminal("j-000001", storage.StoredTerminalRecord{
		TerminalRecord: storage.TerminalRecord{Stage: protocol.StageDone},
		Version:        7,
	})
	gate.Revisions.Observe(6)
	clock.Now += 2 * stableAge
	if got := gate.Check(a); got.Status != http.StatusServiceUnavailable || got.RetryAfter == 0 {
		t.Errorf("status %d before its record was observed", got.Status)
	}
	gate.Revisions.Observe(9) // a later revision proves that the record was durable
	clock.Now += stableAge - 1
	if got := gate.Check(a); got.Status != http.StatusServiceUnavailable {
		t.Errorf("status %d before the record is stable", got.Status)
	}
	clock.Now++
	if got := gate.Check(a); got.Status != http.StatusOK {
		t.Errorf("status %d after the record is stable", got.Status)
	}
}

// The state in a forwarded answer counts as read when the request was sent to the leader. Terminal
// answers pass, since the leader withholds them until they are stable.
func TestForwardedAnswerIsAsOldAsItsRequest(t *testing.T) {
	gate, clock := newTestGate()
	sentAt := clock.Now
	clock.Now += MaxAnswerAge + 1
	for _, r := range []transport.Response{
		stateResponse(protocol.StagePending),
		stateResponse(protocol.StageRunning),
		ErrorResponse(http.StatusNotFound, "no such job"),
		ErrorResponse(http.StatusUnprocessableEntity, "crew: unknown team"),
	} {
		if got := gate.Check(Forwarded(r, sentAt)); got.Status != http.StatusServiceUnavailable {
			t.Errorf("status %d, %s: passed beyond the maximum age", got.Status, got.Body)
		}
		if got := gate.Check(Forwarded(r, clock.Now)); got.Status != r.Status {
			t.Errorf("status %d within the maximum age, want %d", got.Status, r.Status)
		}
	}
	for _, stage := range []protocol.JobStage{protocol.StageDone, protocol.StageCancelled} {
		if got := gate.Check(Forwarded(stateResponse(stage), sentAt)); got.Status != http.StatusOK {
			t.Errorf("%s: status %d, want 200", stage, got.Status)
		}
	}
}
