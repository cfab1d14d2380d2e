package telemetry

import "github.com/VictoriaMetrics/metrics"

// Reconciliation counts heartbeats by their result, and commands to workers, while a controller is
// the leader. Its counters are safe for concurrent use.
type Reconciliation struct {
	StaleHeartbeats   *metrics.Counter // ignored: older than a handled one, or from a released machine
	OtherTokens       *metrics.Counter // handled, although the fencing token is not the leader's
	LaterTokens       *metrics.Counter // refused: the fencing token is that of a later leader
	Adopted           *metrics.Counter // attempts of a former leader that a heartbeat reported
	DuplicateAttempts *metrics.Counter // adopted attempts whose task also has another attempt
	StartsSent        *metrics.Counter
	StartsHeld        *metrics.Counter // delayed because another attempt of the task may still run
	StopsSent         *metrics.Counter
}

func newReconciliation(set *metrics.Set) *Reconciliation {
	return &Reconciliation{
		StaleHeartbeats:   set.NewCounter("dunestand_heartbeats_stale_total"),
		OtherTokens:       set.NewCounter("dunestand_heartbeats_other_token_total"),
		LaterTokens:       set.NewCounter("dunestand_heartbeats_later_token_total"),
		Adopted:           set.NewCounter("dunestand_attempts_adopted_total"),
		DuplicateAttempts: set.NewCounter("dunestand_attempts_rival_total"),
		StartsSent:        set.NewCounter("dunestand_starts_sent_total"),
		StartsHeld:        set.NewCounter("dunestand_starts_held_total"),
		StopsSent:         set.NewCounter("dunestand_stops_sent_total"),
	}
}
