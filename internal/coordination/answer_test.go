package coordination

import (
	"net/http"
	"testing"

	"dunestand/internal/cluster"
	"dunestand/internal/kv"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/transport"
	"dunestand/internal/units"
)

func testGate() (answerGate, *manualClock) {
	clock := &manualClock{now: 100 * units.Second}
	return answerGate{
		clock:     clock,
		revisions: kv.NewRevisionHistory(clock, 2*settleTime),
	}, clock
}

func jobState(stage protocol.JobStage) transport.Response {
	return stateAnswer(http.StatusOK, protocol.JobState{ID: "j-000001", Stage: stage})
}

// An answer that is not final is given for a while after its state was read, whatever
// it claims; one that claims nothing is given at any time.
func TestProvisionalAnswersGrowOld(t *testing.T) {
	gate, clock := testGate()
	for name, r := range map[string]transport.Response{
		"running":   jobState(protocol.StageRunning),
		"unknown":   Refuse(http.StatusNotFound, "no such job"),
		"malformed": Refuse(http.StatusBadRequest, "no uid"),
	} {
		a := provisionalAnswer(r, clock.now)
		clock.now += maxAnswerAge
		if got := gate.release(a); got.Status != r.Status {
			t.Errorf("%s: %d while it is fresh", name, got.Status)
		}
		clock.now++
		if got := gate.release(a); got.Status != http.StatusServiceUnavailable || got.RetryAfter == 0 {
			t.Errorf("%s: %d once it is old", name, got.Status)
		}
	}
	if got := gate.release(plainAnswer(Refuse(http.StatusTooManyRequests, "full"))); got.Status != http.StatusTooManyRequests {
		t.Errorf("a refusal: %d", got.Status)
	}
}

// A final answer is given once its record has been durable for longer than any answer
// from before it may still be given.
func TestFinalAnswersSettle(t *testing.T) {
	if settleTime <= maxAnswerAge {
		t.Fatal("a final answer is given while older ones are")
	}
	gate, clock := testGate()
	a := finalAnswer("j-000001", storage.StoredTerminalRecord{
		TerminalRecord: storage.TerminalRecord{Stage: protocol.StageDone},
		Version:        7,
	})
	gate.revisions.Observe(6)
	clock.now += 2 * settleTime
	if got := gate.release(a); got.Status != http.StatusServiceUnavailable || got.RetryAfter == 0 {
		t.Errorf("%d before its record was seen", got.Status)
	}
	gate.revisions.Observe(9) // any later change proves that the record was there
	clock.now += settleTime - 1
	if got := gate.release(a); got.Status != http.StatusServiceUnavailable {
		t.Errorf("%d too soon", got.Status)
	}
	clock.now++
	if got := gate.release(a); got.Status != http.StatusOK {
		t.Errorf("%d once it is settled", got.Status)
	}
}

// What the leader answered to a request that was passed on counts as read when the
// request was sent; the leader itself holds final answers back.
func TestRelayedAnswersCountFromTheRequest(t *testing.T) {
	gate, clock := testGate()
	sentAt := clock.now
	clock.now += maxAnswerAge + 1
	for _, r := range []transport.Response{
		jobState(protocol.StagePending),
		jobState(protocol.StageRunning),
		Refuse(http.StatusNotFound, "no such job"),
		Refuse(http.StatusUnprocessableEntity, "crew: unknown team"),
	} {
		if got := gate.release(relayedAnswer(r, sentAt)); got.Status != http.StatusServiceUnavailable {
			t.Errorf("%d %s is passed on late", got.Status, got.Body)
		}
		if got := gate.release(relayedAnswer(r, clock.now)); got.Status != r.Status {
			t.Errorf("%d in time, of %d", got.Status, r.Status)
		}
	}
	for _, stage := range []protocol.JobStage{protocol.StageDone, protocol.StageCancelled} {
		if got := gate.release(relayedAnswer(jobState(stage), sentAt)); got.Status != http.StatusOK {
			t.Errorf("%s is not passed on: %d", stage, got.Status)
		}
	}
}

// The leader tells nothing of a job while its end or cancellation is in a save whose
// outcome it does not know, and goes on to tell once it is known, either way.
func TestLeaderIsSilentWhileAnEndIsStored(t *testing.T) {
	for _, stored := range []bool{true, false} {
		term, clock := guardTerm(t, 2)
		const id = "j-000001"
		status := func() int {
			a, found := term.pollLive(id)
			if !found {
				t.Fatal("the job is not known")
			}
			return a.Status
		}
		if got := status(); got != http.StatusOK {
			t.Fatalf("a live job: %d", got)
		}
		term.cancelJob(term.ledger.Jobs[id])
		if got := status(); got != http.StatusOK {
			t.Errorf("a cancellation that nobody can have read: %d", got)
		}
		save := term.ledger.BuildWriteBatch(term.saveID(), term.bucketVersions, cluster.BatchLimits{}, clock.now)
		if got := status(); got != http.StatusServiceUnavailable {
			t.Errorf("its save is on its way: %d", got)
		}
		if stored {
			term.applied(save, 5)
		} else {
			term.ledger.BatchRefused(save, clock.now)
		}
		if got := status(); got != http.StatusOK {
			t.Errorf("stored %v: %d", stored, got)
		}
	}
}
