package node

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"dunestand/internal/fake"
	"dunestand/internal/protocol"
)

// endlessRunTime is the run time of tasks that a test ends by cancellation.
const endlessRunTime = 300 * time.Second

// userClient returns an HTTP client that connects from the address of the users in the simulated
// network.
func (d *deployment) userClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:       d.network.Dialer("user"),
		DisableKeepAlives: true,
	}}
}

// userURL returns the URL of a path that a controller serves to users.
func (d *deployment) userURL(controller int, path string) string {
	return "http://" + d.controllers[controller].name + fake.ClientPort + path
}

// request sends one user request to a controller.
func (d *deployment) request(controller int, method, path string, body any) response {
	ctx, cancel := context.WithTimeout(d.ctx, 2*time.Second)
	defer cancel()
	return send(ctx, d.userClient(), method, d.userURL(controller, path), body)
}

// checkResponse passes a response about a job to the invariant checker, and returns its status and
// the stage of the job.
func (d *deployment) checkResponse(id string, duplicate bool, r response) (status int, stage protocol.JobStage) {
	stage = r.job().Stage
	d.invariants.ResponseReceived(id, duplicate, r.status, stage)
	return r.status, stage
}

// submitOnce sends a job's submission to a controller. duplicate says that the job may have been
// accepted before.
func (d *deployment) submitOnce(controller int, id string, duplicate bool, fields map[string]any) (status int) {
	status, _ = d.checkResponse(id, duplicate, d.request(controller, http.MethodPost, protocol.PathSubmit, fields))
	return status
}

// poll asks a controller for a job's state.
func (d *deployment) poll(controller int, id string) (status int, stage protocol.JobStage) {
	return d.checkResponse(id, false, d.request(controller, http.MethodGet, jobPath(id), nil))
}

// cancelOnce requests the cancellation of a job from a controller.
func (d *deployment) cancelOnce(controller int, id string) (status int, stage protocol.JobStage) {
	return d.checkResponse(id, false, d.request(controller, http.MethodPost, cancelPath(id), nil))
}

// newJob returns a job with a new ID, which has not been submitted yet.
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
	if job.Service {
		fields[protocol.FieldJobKind] = "service"
	}
	if job.Zone != "" {
		fields[protocol.FieldZone] = job.Zone
	}
	return fields
}

// submit submits a job, as a user does, until it is accepted, and polls it in the background until
// it is in a terminal state.
func (d *deployment) submit(job fake.JobInfo) {
	d.t.Helper()
	d.invariants.JobSubmitted(job)
	first := d.randomBelow(defaultControllers)
	for try := 0; d.ctx.Err() == nil; try++ {
		status := d.submitOnce((first+try)%defaultControllers, job.ID, false, submissionOf(job))
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
			d.poll((first+try)%defaultControllers, job.ID)
		}
	})
}

// startEndlessJobs submits jobs that end only by cancellation, and waits until all their tasks
// run.
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

// cancel requests the cancellation of a job in the background, as a user does, until a response
// reports a terminal state.
func (d *deployment) cancel(id string) {
	d.invariants.CancelRequested(id)
	d.background.Go(func() {
		for try := 0; d.ctx.Err() == nil; try++ {
			var first int
			d.update(func() { first = d.jobCount })
			if status, stage := d.cancelOnce((first+try)%defaultControllers, id); status == http.StatusOK && stage.IsTerminal() {
				return
			}
			d.sleep(time.Second)
		}
	})
}

// cancelConfirmed requests the cancellation of a job from one controller once, and reports whether
// the response confirms it.
func (d *deployment) cancelConfirmed(controller int, id string) bool {
	d.invariants.CancelRequested(id)
	status, stage := d.cancelOnce(controller, id)
	return status == http.StatusOK && stage == protocol.StageCancelled
}
