package telemetry

import "github.com/VictoriaMetrics/metrics"

// Answers counts a controller's answers to users by what they rest on. Its counters may be used
// concurrently.
type Answers struct {
	Provisional *metrics.Counter // a state that may change, read just before
	Terminal    *metrics.Counter // a terminal state that is durable and stable
	Held        *metrics.Counter // refused for now: what it rests on is too old, or too new
	Other       *metrics.Counter // says nothing of a job's state
}

func newAnswers(set *metrics.Set) *Answers {
	return &Answers{
		Provisional: set.NewCounter(`dunestand_answers_total{grounds="provisional"}`),
		Terminal:    set.NewCounter(`dunestand_answers_total{grounds="terminal"}`),
		Held:        set.NewCounter(`dunestand_answers_total{grounds="held"}`),
		Other:       set.NewCounter(`dunestand_answers_total{grounds="none"}`),
	}
}
