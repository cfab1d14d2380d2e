package node

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"dunestand/internal/fake"
	"dunestand/internal/protocol"
)

// endlessRunTime is of a task that ends only by cancellation.
const endlessRunTime = 300 * time.Second

// userClient is an HTTP client at the users' place in the network.
func (d *deployment) userClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:       d.network.Dialer("user"),
		DisableKeepAlives: true,
	}}
}

// userURL is a controller's URL for users.
func (d *deployment) userURL(node int, path string) string {
	return "http://" + d.nodes[node].name + fake.ClientPort + path
}

// request sends a controller one request, as a user does.
func (d *deployment) request(node int, method, path string, body any) response {
	ctx, cancel := context.WithTimeout(d.ctx, 2*time.Second)
	defer cancel()
	return send(ctx, d.userClient(), method, d.userURL(node, path), body)
}

// checked has the invariant checker check a response about a job.
func (d *deployment) checked(id string, duplicate bool, r response) (status int, stage protocol.JobStage) {
	stage = r.job().Stage
	d.invariants.ResponseReceived(id, duplicate, r.status, stage)
	return r.status, stage
}

// submitOnce sends a job's submission to a controller. duplicate: it may have been accepted
// before.
func (d *deployment) submitOnce(node int, id string, duplicate bool, fields map[string]any) (status int) {
	status, _ = d.checked(id, duplicate, d.request(node, http.MethodPost, protocol.PathSubmit, fields))
	return status
}

// poll asks a controller for a job's state.
func (d *deployment) poll(node int, id string) (status int, stage protocol.JobStage) {
	return d.checked(id, false, d.request(node, http.MethodGet, jobPath(id), nil))
}

// cancelOnce sends a job's cancellation to a controller.
func (d *deployment) cancelOnce(node int, id string) (status int, stage protocol.JobStage) {
	return d.checked(id, false, d.request(node, http.MethodPost, cancelPath(id), nil))
}

// newJob returns a job that nobody has submitted yet, with a new ID.
func (d *deployment) newJob(tasks int, runTime time.Duration) fake.JobInfo {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.jobCount++
	return fake.JobInfo{
		ID:       fmt.Sprintf("j-%06d", d.jobCount),
		Tasks:    tasks,
		CPUs:     1,
		RunTime:  runTime,
		Priority: protocol.Normal,
	}
}

// submissionOf returns a job's submission.
func submissionOf(job fake.JobInfo) map[string]any {
	fields := submission(job.ID, job.Tasks)
	fields[protocol.FieldCPUs] = job.CPUs
	fields[protocol.FieldZoneAffinity] = job.ZoneAffinity
	fields[protocol.FieldZoneSpread] = job.ZoneSpread
	fields[protocol.FieldPriority] = job.Priority.String()
	fields[protocol.FieldEstimate] = job.RunTime.Seconds()
	if job.Zone != "" {
		fields[protocol.FieldZone] = job.Zone
	}
	return fields
}

// submit has a user submit a job until it is accepted, and poll it in the background until
// it is over.
func (d *deployment) submit(job fake.JobInfo) {
	d.t.Helper()
	d.invariants.JobSubmitted(job)
	first := d.randomBelow(defaultNodes)
	for try := 0; d.ctx.Err() == nil; try++ {
		status := d.submitOnce((first+try)%defaultNodes, job.ID, false, submissionOf(job))
		if status == http.StatusOK || status == http.StatusCreated {
			break
		}
		if status == http.StatusBadRequest || status == http.StatusUnprocessableEntity {
			d.t.Errorf("%s is rejected with status %d", job.ID, status)
			return
		}
		d.sleep(time.Second)
	}
	d.background.Go(func() {
		for try := 0; d.ctx.Err() == nil && !d.invariants.LastStage(job.ID).IsTerminal(); try++ {
			d.sleep(3 * time.Second)
			d.poll((first+try)%defaultNodes, job.ID)
		}
	})
}

// startEndlessJobs submits jobs that end only by cancellation, and waits until they run.
func (d *deployment) startEndlessJobs(jobs, tasks int) []fake.JobInfo {
	d.t.Helper()
	var started []fake.JobInfo
	for range jobs {
		job := d.newJob(tasks, endlessRunTime)
		d.submit(job)
		started = append(started, job)
	}
	d.waitUntil("the tasks run", func() bool { return d.runningTasks(started) == jobs*tasks })
	return started
}

// runningTasks counts the running tasks of jobs.
func (d *deployment) runningTasks(jobs []fake.JobInfo) int {
	n := 0
	for _, job := range jobs {
		n += d.invariants.RunningTasks(job.ID)
	}
	return n
}

// cancel has a user request a cancellation in the background until the job is over.
func (d *deployment) cancel(id string) {
	d.invariants.CancelRequested(id)
	d.background.Go(func() {
		for try := 0; d.ctx.Err() == nil; try++ {
			var first int
			d.update(func() { first = d.jobCount })
			if status, stage := d.cancelOnce((first+try)%defaultNodes, id); status == http.StatusOK && stage.IsTerminal() {
				return
			}
			d.sleep(time.Second)
		}
	})
}

// cancelConfirmed requests a cancellation once from one controller, and reports whether it
// confirmed.
func (d *deployment) cancelConfirmed(node int, id string) bool {
	d.invariants.CancelRequested(id)
	status, stage := d.cancelOnce(node, id)
	return status == http.StatusOK && stage == protocol.StageCancelled
}
