package controller

import (
	"fmt"
	"io"

	"dunestand/internal/protocol"
)

// WriteMetrics writes the metrics that only a leader has: what waits and runs, and the usage
// of the teams.
func (l *Leader) WriteMetrics(w io.Writer) {
	l.writeTaskMetrics(w)
	l.admission.WriteMetrics(w)
}

// writeTaskMetrics writes what waits and runs, by class and priority.
func (l *Leader) writeTaskMetrics(w io.Writer) {
	l.state.Lock()
	defer l.state.Unlock()
	type key struct {
		class    string
		priority protocol.Priority
	}
	pending, running := map[key]int{}, map[key]int{}
	for _, j := range l.state.Jobs {
		k := key{j.Spec.Class, j.Spec.Priority}
		pending[k] += j.Pending()
		running[k] += len(j.LiveAttempts)
	}
	for k, n := range pending {
		fmt.Fprintf(w, "dunestand_tasks_pending{class=%q,priority=%q} %d\n", k.class, k.priority.String(), n)
		fmt.Fprintf(w, "dunestand_tasks_placed{class=%q,priority=%q} %d\n", k.class, k.priority.String(), running[k])
	}
	reporting := 0
	now := l.Clock.Steady()
	for _, m := range l.state.Machines {
		if m.Registered && now-m.LastHeartbeat < l.detector.SuspectAfter() {
			reporting++
		}
	}
	fmt.Fprintf(w, "dunestand_machines %d\ndunestand_machines_reporting %d\ndunestand_term %d\n", len(l.state.Machines), reporting, l.token)
}
