package telemetry

import "github.com/VictoriaMetrics/metrics"

// Reconciliation counts what the leaders of one controller made of workers' heartbeats, and
// what they sent to workers. Its counters may be used concurrently.
type Reconciliation struct {
	StaleHeartbeats *metrics.Counter // older than one that was handled, or of a released machine
	OtherTokens     *metrics.Counter // handled, but shows another fencing token than the leader's
	LaterTokens     *metrics.Counter // refused: shows a later leader's fencing token
	Adopted         *metrics.Counter // attempts that a former leader started
	Rivals          *metrics.Counter // of these, attempts of a task that has another attempt
	StartsSent      *metrics.Counter
	StartsHeld      *metrics.Counter // not sent while another attempt of the task may be somewhere
	StopsSent       *metrics.Counter
}

func newReconciliation(set *metrics.Set) *Reconciliation {
	return &Reconciliation{
		StaleHeartbeats: set.NewCounter("dunestand_heartbeats_stale_total"),
		OtherTokens:     set.NewCounter("dunestand_heartbeats_other_token_total"),
		LaterTokens:     set.NewCounter("dunestand_heartbeats_later_token_total"),
		Adopted:         set.NewCounter("dunestand_attempts_adopted_total"),
		Rivals:          set.NewCounter("dunestand_attempts_rival_total"),
		StartsSent:      set.NewCounter("dunestand_starts_sent_total"),
		StartsHeld:      set.NewCounter("dunestand_starts_held_total"),
		StopsSent:       set.NewCounter("dunestand_stops_sent_total"),
	}
}
