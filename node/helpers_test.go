package node

import (
	"net/http"
	"time"

	"dunestand/internal/protocol"
	"dunestand/internal/standin"
)

// One test for each meeting of troubles that has broken a rule on real machines. What
// must never happen is the rule checker's to say; each test says what it brings about.

const endlessRunTime = 300 * time.Second // of a task that ends only by cancellation

// running submits jobs whose tasks have long to go, and waits until they run.
func (d *deployment) startEndlessJobs(jobs, tasks int) []standin.JobInfo {
	d.t.Helper()
	var started []standin.JobInfo
	for range jobs {
		j := d.newJob(tasks, endlessRunTime)
		d.submit(j)
		started = append(started, j)
	}
	d.waitUntil("the tasks run", func() bool { return d.runningTasks(started) == jobs*tasks })
	return started
}

// on counts the tasks of jobs that are on machines.
func (d *deployment) runningTasks(jobs []standin.JobInfo) int {
	n := 0
	for _, j := range jobs {
		n += d.invariants.RunningTasks(j.ID)
	}
	return n
}

func (d *deployment) waitUntil(description string, condition func() bool) {
	d.t.Helper()
	for range 600 {
		if condition() {
			return
		}
		d.sleep(100 * time.Millisecond)
	}
	d.t.Fatalf("not after a minute: %s", description)
}

// confirm has a user's cancellation confirmed by one controller, and tells whether
// it was.
func (d *deployment) cancelConfirmed(node int, id string) bool {
	d.invariants.CancelRequested(id)
	status, stage := d.requestJob(node, id, false, http.MethodPost, "/submissions/"+id+"/cancel", nil)
	return status == 200 && stage == protocol.StageCancelled
}

// leaderIfAny is the leader, or any controller where none may lead now.
func (d *deployment) leaderOr(otherwise int) int {
	if d.read(&d.kvDown) {
		return otherwise % defaultNodes
	}
	return d.leader()
}
