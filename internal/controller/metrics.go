package controller

import (
	"fmt"
	"io"

	"dunestand/internal/protocol"
)

// WriteMetrics writes the metrics that only a leader has: pending and placed tasks, machines,
// and the usage of the teams.
func (l *Leader) WriteMetrics(w io.Writer) {
	l.writeTaskMetrics(w)
	l.admission.WriteMetrics(w)
}

// writeTaskMetrics writes the numbers of pending and placed tasks by class and priority, of tasks
// that have no room, of machines, and the fencing token.
func (l *Leader) writeTaskMetrics(w io.Writer) {
	l.state.Lock()
	defer l.state.Unlock()
	type key struct {
		class    string
		priority protocol.Priority
	}
	pending, placed := map[key]int{}, map[key]int{}
	for _, job := range l.state.Jobs {
		k := key{job.Spec.Class, job.Spec.Priority}
		pending[k] += job.Pending()
		placed[k] += len(job.LiveAttempts)
	}
	for k, n := range pending {
		fmt.Fprintf(w, "dunestand_tasks_pending{class=%q,priority=%q} %d\n", k.class, k.priority.String(), n)
		fmt.Fprintf(w, "dunestand_tasks_placed{class=%q,priority=%q} %d\n", k.class, k.priority.String(), placed[k])
	}
	reporting := 0
	now := l.Clock.Steady()
	for _, machine := range l.state.Machines {
		if l.isReporting(machine, now) {
			reporting++
		}
	}
	fmt.Fprintf(w, "dunestand_tasks_without_room %d\n", l.autoscaler.TasksWithoutRoom(now))
	fmt.Fprintf(w, "dunestand_machines %d\ndunestand_machines_reporting %d\ndunestand_term %d\n", len(l.state.Machines), reporting, l.token)
}
