package fake

import (
	"net/http"
	"testing"
	"time"

	"dunestand/internal/protocol"
)

// The history reports each kind of regression, and none for an allowed sequence of responses.
func TestHistoryReportsEachKindOfRegression(t *testing.T) {
	type exchange struct {
		sentMS, receivedMS int
		status             int
		stage              protocol.JobStage
		timedOut           bool
	}
	const done, running, cancelled = protocol.StageDone, protocol.StageRunning, protocol.StageCancelled
	for name, c := range map[string]struct {
		exchanges []exchange
		want      []RegressionKind
	}{
		"running, done, done": {
			[]exchange{{0, 5, 200, running, false}, {6, 9, 200, done, false}, {10, 12, 200, done, false}}, nil},
		"concurrent, the older response is received first": {
			[]exchange{{0, 5, 200, running, false}, {0, 9, 200, done, false}}, nil},
		"failures and rejections are ignored": {
			[]exchange{{0, 5, 200, done, false}, {6, 9, 503, "", false}, {6, 9, 0, "", false}, {6, 9, 429, "", false}}, nil},
		"done, then running": {
			[]exchange{{0, 5, 200, done, false}, {6, 9, 200, running, false}}, []RegressionKind{Sequential}},
		"cancelled, then done": {
			[]exchange{{0, 5, 200, cancelled, false}, {6, 9, 200, done, false}}, []RegressionKind{Sequential}},
		"sent before, received after the newer response": {
			[]exchange{{0, 9, 200, running, false}, {3, 5, 200, done, false}}, []RegressionKind{Concurrent}},
		"accepted, then unknown": {
			[]exchange{{0, 5, 201, protocol.StagePending, false}, {6, 9, 404, "", false}}, []RegressionKind{Sequential}},
		"a duplicate is rejected as malformed": {
			[]exchange{{0, 5, 201, protocol.StagePending, false}, {4, 9, 400, "", false}}, []RegressionKind{Concurrent}},
		"received after the timeout": {
			[]exchange{{0, 5, 200, done, false}, {1, 9000, 200, running, true}}, []RegressionKind{AfterTimeout}},
		"sequential and concurrent": {
			[]exchange{{0, 5, 200, done, false}, {1, 7, 200, done, false}, {6, 9, 200, running, false}},
			[]RegressionKind{Sequential, Concurrent}},
	} {
		t.Run(name, func(t *testing.T) {
			h := NewHistory()
			start := time.Unix(0, 0)
			at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
			for _, e := range c.exchanges {
				h.Record(Request{
					Job:        "j-1",
					Controller: "n",
					Sent:       at(e.sentMS),
					Received:   at(e.receivedMS),
					Status:     e.status,
					Stage:      e.stage,
					TimedOut:   e.timedOut,
				})
			}
			got := h.Regressions()
			if len(got) != len(c.want) {
				t.Fatalf("%v, want %v", got, c.want)
			}
			for i, kind := range c.want {
				if got[i].Kind != kind {
					t.Errorf("%v, want %v", got[i], kind)
				}
			}
		})
	}
}

// Responses about different jobs are not compared with each other.
func TestHistoryComparesResponsesOfSameJobOnly(t *testing.T) {
	h := NewHistory()
	start := time.Unix(0, 0)
	h.Record(Request{Job: "j-1", Received: start, Status: http.StatusOK, Stage: protocol.StageDone})
	h.Record(Request{
		Job:      "j-2",
		Sent:     start.Add(time.Second),
		Received: start.Add(2 * time.Second),
		Status:   http.StatusOK,
		Stage:    protocol.StageRunning,
	})
	if got := h.Regressions(); len(got) > 0 {
		t.Error(got)
	}
	if h.Jobs() != 2 || h.TerminalJobs() != 1 {
		t.Errorf("%d jobs, %d of them terminal", h.Jobs(), h.TerminalJobs())
	}
}
