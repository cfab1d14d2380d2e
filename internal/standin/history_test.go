package standin

import (
	"net/http"
	"testing"
	"time"

	"dunestand/internal/protocol"
)

// The history finds each kind of answer that goes back, and nothing in answers that do
// not. Times are milliseconds.
func TestHistoryFindsPlantedRegressions(t *testing.T) {
	type asked struct {
		began, ended int
		status       int
		stage        protocol.Stage
		abandoned    bool
	}
	const done, running, cancelled = protocol.StageDone, protocol.StageRunning, protocol.StageCancelled
	for name, c := range map[string]struct {
		requests []asked
		want     []RegressionKind
	}{
		"running, done, done": {
			[]asked{{0, 5, 200, running, false}, {6, 9, 200, done, false}, {10, 12, 200, done, false}}, nil},
		"asked at the same time, the older answer came in first": {
			[]asked{{0, 5, 200, running, false}, {0, 9, 200, done, false}}, nil},
		"no answer and refusals tell nothing": {
			[]asked{{0, 5, 200, done, false}, {6, 9, 503, "", false}, {6, 9, 0, "", false}, {6, 9, 429, "", false}}, nil},
		"done, then asked again and running": {
			[]asked{{0, 5, 200, done, false}, {6, 9, 200, running, false}}, []RegressionKind{Sequential}},
		"cancelled, then done": {
			[]asked{{0, 5, 200, cancelled, false}, {6, 9, 200, done, false}}, []RegressionKind{Sequential}},
		"asked before, overtaken on the way": {
			[]asked{{0, 9, 200, running, false}, {3, 5, 200, done, false}}, []RegressionKind{Concurrent}},
		"accepted, then unknown": {
			[]asked{{0, 5, 201, protocol.StagePending, false}, {6, 9, 404, "", false}}, []RegressionKind{Sequential}},
		"a repeat is refused as malformed": {
			[]asked{{0, 5, 201, protocol.StagePending, false}, {4, 9, 400, "", false}}, []RegressionKind{Concurrent}},
		"its user had given up": {
			[]asked{{0, 5, 200, done, false}, {1, 9000, 200, running, true}}, []RegressionKind{AfterTimeout}},
		"both kinds": {
			[]asked{{0, 5, 200, done, false}, {1, 7, 200, done, false}, {6, 9, 200, running, false}},
			[]RegressionKind{Sequential, Concurrent}},
	} {
		h := NewHistory()
		start := time.Unix(0, 0)
		at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
		for _, a := range c.requests {
			h.Record(Request{
				Job:        "j-1",
				Controller: "n",
				Sent:       at(a.began),
				Received:   at(a.ended),
				Status:     a.status,
				Stage:      a.stage,
				TimedOut:   a.abandoned,
			})
		}
		got := h.Regressions()
		if len(got) != len(c.want) {
			t.Errorf("%s: %v, want %v", name, got, c.want)
			continue
		}
		for i, kind := range c.want {
			if got[i].Kind != kind {
				t.Errorf("%s: %v, want %v", name, got[i], kind)
			}
		}
	}
}

// Answers about one job say nothing about another.
func TestHistoryKeepsJobsApart(t *testing.T) {
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
		t.Errorf("%d jobs, %d of them final", h.Jobs(), h.TerminalJobs())
	}
}
