package telemetry

import "github.com/VictoriaMetrics/metrics"

// Answers counts the answers to users by the evidence for the job state in them. Its counters are safe
// for concurrent use.
type Answers struct {
	Provisional *metrics.Counter // a recently read state that may still change
	Terminal    *metrics.Counter // a terminal state that is durable and stable
	Held        *metrics.Counter // refused with a request to retry: the state is too old or too recent
	Other       *metrics.Counter // no claim about the state of a job
}

func newAnswers(set *metrics.Set) *Answers {
	return &Answers{
		Provisional: set.NewCounter(`dunestand_answers_total{grounds="provisional"}`),
		Terminal:    set.NewCounter(`dunestand_answers_total{grounds="terminal"}`),
		Held:        set.NewCounter(`dunestand_answers_total{grounds="held"}`),
		Other:       set.NewCounter(`dunestand_answers_total{grounds="none"}`),
	}
}
