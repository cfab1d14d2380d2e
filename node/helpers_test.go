package node

import (
	"net/http"
	"time"

	"dunestand/internal/protocol"
	"dunestand/internal/standin"
)

// One test for each meeting of troubles that has broken a rule on real machines. What
// must never happen is the rule checker's to say; each test says what it brings about.

const long = 300 * time.Second // of a task that ends only by cancellation

// running submits jobs whose tasks have long to go, and waits until they run.
func (d *day) running(jobs, tasks int) []standin.JobInfo {
	d.t.Helper()
	var out []standin.JobInfo
	for range jobs {
		j := d.job(tasks, long)
		d.submit(j)
		out = append(out, j)
	}
	d.until("the tasks run", func() bool { return d.on(out) == jobs*tasks })
	return out
}

// on counts the tasks of jobs that are on machines.
func (d *day) on(jobs []standin.JobInfo) int {
	n := 0
	for _, j := range jobs {
		n += d.rules.On(j.ID)
	}
	return n
}

func (d *day) until(what string, good func() bool) {
	d.t.Helper()
	for range 600 {
		if good() {
			return
		}
		d.wait(100 * time.Millisecond)
	}
	d.t.Fatalf("not after a minute: %s", what)
}

// confirm has a user's cancellation confirmed by one controller, and tells whether
// it was.
func (d *day) confirm(node int, id string) bool {
	d.rules.Asked(id)
	status, stage := d.told(node, id, false, http.MethodPost, "/submissions/"+id+"/cancel", nil)
	return status == 200 && stage == protocol.StageCancelled
}

// leaderIfAny is the leader, or any controller where none may lead now.
func (d *day) leaderIfAny(otherwise int) int {
	if d.is(&d.stateDown) {
		return otherwise % dayNodes
	}
	return d.leader()
}
