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

// newTestGate returns a gate and its clock.
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

// A provisional answer is given for a while after its state was read, whatever it claims; one
// that claims nothing is given at any time.
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
			t.Errorf("%s: %d while it is fresh", name, got.Status)
		}
		clock.Now++
		if got := gate.Check(a); got.Status != http.StatusServiceUnavailable || got.RetryAfter == 0 {
			t.Errorf("%s: %d once it is old", name, got.Status)
		}
	}
	if got := gate.Check(WithoutEvidence(ErrorResponse(http.StatusTooManyRequests, "full"))); got.Status != http.StatusTooManyRequests {
		t.Errorf("a refusal: %d", got.Status)
	}
}

// A terminal answer is given once its record has been durable for longer than any answer from
// before it may still be given.
func TestTerminalAnswerWaitsUntilStable(t *testing.T) {
	if stableAge <= MaxAnswerAge {
		t.Fatal("a terminal answer is given while older ones are")
	}
	gate, clock := newTestGate()
	a := Terminal("j-000001", storage.StoredTerminalRecord{
		TerminalRecord: storage.TerminalRecord{Stage: protocol.StageDone},
		Version:        7,
	})
	gate.Revisions.Observe(6)
	clock.Now += 2 * stableAge
	if got := gate.Check(a); got.Status != http.StatusServiceUnavailable || got.RetryAfter == 0 {
		t.Errorf("%d before its record was seen", got.Status)
	}
	gate.Revisions.Observe(9) // any later change proves that the record was there
	clock.Now += stableAge - 1
	if got := gate.Check(a); got.Status != http.StatusServiceUnavailable {
		t.Errorf("%d too soon", got.Status)
	}
	clock.Now++
	if got := gate.Check(a); got.Status != http.StatusOK {
		t.Errorf("%d once it is stable", got.Status)
	}
}

// What the leader answered to a forwarded request counts as read when the request was sent; the
// leader itself holds terminal answers back.
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
			t.Errorf("%d %s is forwarded late", got.Status, got.Body)
		}
		if got := gate.Check(Forwarded(r, clock.Now)); got.Status != r.Status {
			t.Errorf("%d in time, of %d", got.Status, r.Status)
		}
	}
	for _, stage := range []protocol.JobStage{protocol.StageDone, protocol.StageCancelled} {
		if got := gate.Check(Forwarded(stateResponse(stage), sentAt)); got.Status != http.StatusOK {
			t.Errorf("%s is not forwarded: %d", stage, got.Status)
		}
	}
}
