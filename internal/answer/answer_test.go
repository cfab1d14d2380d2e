package answer

import (
	"net/http"
	"testing"

	"dunestand/internal/kv"
	"dunestand/internal/protocol"
	"dunestand/internal/standin"
	"dunestand/internal/storage"
	"dunestand/internal/transport"
	"dunestand/internal/units"
)

func testGate() (Gate, *standin.Clock) {
	clock := &standin.Clock{Now: 100 * units.Second}
	return Gate{
		Clock:     clock,
		Revisions: kv.NewRevisionHistory(clock, 2*stableAge),
	}, clock
}

func jobState(stage protocol.JobStage) transport.Response {
	return StateResponse(http.StatusOK, protocol.JobState{ID: "j-000001", Stage: stage})
}

// An answer that is not final is given for a while after its state was read, whatever
// it claims; one that claims nothing is given at any time.
func TestProvisionalAnswersGrowOld(t *testing.T) {
	gate, clock := testGate()
	for name, r := range map[string]transport.Response{
		"running":   jobState(protocol.StageRunning),
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
	if got := gate.Check(Plain(ErrorResponse(http.StatusTooManyRequests, "full"))); got.Status != http.StatusTooManyRequests {
		t.Errorf("a refusal: %d", got.Status)
	}
}

// A final answer is given once its record has been durable for longer than any answer
// from before it may still be given.
func TestTerminalAnswersWaitUntilStable(t *testing.T) {
	if stableAge <= MaxAnswerAge {
		t.Fatal("a final answer is given while older ones are")
	}
	gate, clock := testGate()
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
		t.Errorf("%d once it is settled", got.Status)
	}
}

// What the leader answered to a request that was passed on counts as read when the
// request was sent; the leader itself holds final answers back.
func TestRelayedAnswersCountFromTheRequest(t *testing.T) {
	gate, clock := testGate()
	sentAt := clock.Now
	clock.Now += MaxAnswerAge + 1
	for _, r := range []transport.Response{
		jobState(protocol.StagePending),
		jobState(protocol.StageRunning),
		ErrorResponse(http.StatusNotFound, "no such job"),
		ErrorResponse(http.StatusUnprocessableEntity, "crew: unknown team"),
	} {
		if got := gate.Check(Relayed(r, sentAt)); got.Status != http.StatusServiceUnavailable {
			t.Errorf("%d %s is passed on late", got.Status, got.Body)
		}
		if got := gate.Check(Relayed(r, clock.Now)); got.Status != r.Status {
			t.Errorf("%d in time, of %d", got.Status, r.Status)
		}
	}
	for _, stage := range []protocol.JobStage{protocol.StageDone, protocol.StageCancelled} {
		if got := gate.Check(Relayed(jobState(stage), sentAt)); got.Status != http.StatusOK {
			t.Errorf("%s is not passed on: %d", stage, got.Status)
		}
	}
}
