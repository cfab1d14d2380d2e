package node

import (
	"context"
	"net/http"
	"sync"
	"time"

	"dunestand/internal/fake"
	"dunestand/internal/protocol"
)

// pollTimeout and submitTimeout are how long users wait for a response; longestResponse is how
// long a test waits for a response that its user has given up on.
const (
	pollTimeout     = 2 * time.Second
	submitTimeout   = 5 * time.Second
	longestResponse = 8 * time.Second
)

// trackedJob is a job whose users send many concurrent requests and record a history of the
// responses.
type trackedJob struct {
	deployment *deployment
	history    *fake.History
	info       fake.JobInfo
	pending    sync.WaitGroup // requests in the background
}

// newTrackedJob returns a job that has not been submitted yet.
func (d *deployment) newTrackedJob(h *fake.History, tasks int, runTime time.Duration) *trackedJob {
	job := &trackedJob{deployment: d, history: h, info: d.newJob(tasks, runTime)}
	d.invariants.JobSubmitted(job.info)
	return job
}

// newAcceptedJob returns a tracked job that is accepted, and the indexes of the leader and of a
// follower.
func (d *deployment) newAcceptedJob(tasks int, runTime time.Duration) (job *trackedJob, leader, follower int) {
	d.t.Helper()
	job = d.newTrackedJob(fake.NewHistory(), tasks, runTime)
	job.submitUntilAccepted()
	leader = d.leader()
	return job, leader, (leader + 1) % len(d.controllers)
}

// request sends one request and records the response, also one received after the user's
// timeout.
func (j *trackedJob) request(controller int, method, path string, body any, timeout time.Duration) fake.Request {
	d := j.deployment
	request := fake.Request{Job: j.info.ID, Controller: d.controllers[controller].name, Sent: time.Now()}
	ctx, cancel := context.WithTimeout(d.ctx, longestResponse)
	defer cancel()
	received := send(ctx, d.userClient(), method, d.userURL(controller, path), body)
	if received.status == 0 {
		return request
	}
	state := received.job()
	if received.status < http.StatusMultipleChoices && state.ID != j.info.ID {
		d.t.Errorf("request about %s, response about %q", j.info.ID, state.ID)
	}
	request.Received, request.Status, request.Stage = time.Now(), received.status, state.Stage
	request.TimedOut = request.Received.Sub(request.Sent) > timeout
	j.history.Record(request)
	if !request.TimedOut {
		d.invariants.ResponseReceived(j.info.ID, false, request.Status, request.Stage)
	}
	return request
}

func (j *trackedJob) submit(controller int) fake.Request {
	return j.request(controller, http.MethodPost, protocol.PathSubmit, submissionOf(j.info), submitTimeout)
}

func (j *trackedJob) poll(controller int) fake.Request {
	return j.request(controller, http.MethodGet, jobPath(j.info.ID), nil, pollTimeout)
}

func (j *trackedJob) cancel(controller int) fake.Request {
	j.deployment.invariants.CancelRequested(j.info.ID)
	return j.request(controller, http.MethodPost, cancelPath(j.info.ID), nil, submitTimeout)
}

// submitUntilAccepted repeats the submission, as a user does, until it is accepted.
func (j *trackedJob) submitUntilAccepted() {
	for try := 0; j.deployment.ctx.Err() == nil; try++ {
		if r := j.submit(try % len(j.deployment.controllers)); r.Status == http.StatusOK || r.Status == http.StatusCreated {
			return
		}
		j.deployment.sleep(time.Second)
	}
}

// pollUntilTerminal polls one controller until it reports the job as done or cancelled, and
// reports whether it did so in time.
func (j *trackedJob) pollUntilTerminal(controller int, within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); j.deployment.sleep(100 * time.Millisecond) {
		if j.poll(controller).Stage.IsTerminal() {
			return true
		}
	}
	return false
}

// expectNoRegressions fails the test for each regression, except for responses received
// after their users had given up.
func (d *deployment) expectNoRegressions(h *fake.History) {
	d.t.Helper()
	for _, r := range h.Regressions() {
		if r.Kind != fake.AfterTimeout {
			d.t.Error(r)
		}
	}
}
