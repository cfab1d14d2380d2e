package node

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"dunestand/internal/protocol"
	"dunestand/internal/standin"
)

// How long users wait for an answer, and how long a test waits for one that its user
// has stopped waiting for.
const (
	pollTimeout     = 2 * time.Second
	submitTimeout   = 5 * time.Second
	longestResponse = 8 * time.Second
)

// watchedJob is a job whose users ask many questions at a time and keep a history of
// the answers.
type trackedJob struct {
	deployment *deployment
	history    *standin.History
	info       standin.JobInfo
	pending    sync.WaitGroup
}

// watch makes a job that nobody has submitted yet.
func (d *deployment) newTrackedJob(h *standin.History, tasks int, runs time.Duration) *trackedJob {
	j := &trackedJob{deployment: d, history: h, info: d.newJob(tasks, runs)}
	d.invariants.JobSubmitted(j.info)
	return j
}

// ask sends one request and waits for its answer, also after its user has given up.
func (j *trackedJob) request(node int, method, path string, body any, timeout time.Duration) standin.Request {
	request := standin.Request{Job: j.info.ID, Controller: j.deployment.nodes[node].name, Sent: time.Now()}
	ctx, cancel := context.WithTimeout(j.deployment.ctx, longestResponse)
	defer cancel()
	var payload io.Reader
	if body != nil {
		payload = bytes.NewReader(protocol.Encode(body))
	}
	url := fmt.Sprintf("http://%s%s%s", request.Controller, standin.UsersPort, path)
	httpRequest, _ := http.NewRequestWithContext(ctx, method, url, payload)
	client := http.Client{Transport: &http.Transport{
		DialContext:       j.deployment.network.Dialer("user"),
		DisableKeepAlives: true,
	}}
	response, err := client.Do(httpRequest)
	if err != nil {
		return request
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return request
	}
	var state protocol.JobState
	_ = protocol.Decode(raw, &state)
	if response.StatusCode < http.StatusMultipleChoices && state.UID != j.info.ID {
		j.deployment.t.Errorf("asked about %s, answered about %q", j.info.ID, state.UID)
	}
	request.Received, request.Status, request.Stage = time.Now(), response.StatusCode, state.Stage
	request.TimedOut = request.Received.Sub(request.Sent) > timeout
	j.history.Record(request)
	if !request.TimedOut {
		j.deployment.invariants.ResponseReceived(j.info.ID, false, request.Status, request.Stage)
	}
	return request
}

func (j *trackedJob) submit(node int) standin.Request {
	return j.request(node, http.MethodPost, protocol.PathSubmit, submissionOf(j.info), submitTimeout)
}

func (j *trackedJob) poll(node int) standin.Request {
	return j.request(node, http.MethodGet, protocol.PathSubmit+"/"+j.info.ID, nil, pollTimeout)
}

func (j *trackedJob) cancel(node int) standin.Request {
	j.deployment.invariants.CancelRequested(j.info.ID)
	return j.request(node, http.MethodPost, protocol.PathSubmit+"/"+j.info.ID+"/cancel", nil, submitTimeout)
}

// submitUntilAccepted repeats the submission as a user does.
func (j *trackedJob) submitUntilAccepted() {
	for try := 0; j.deployment.ctx.Err() == nil; try++ {
		if r := j.submit(try % len(j.deployment.nodes)); r.Status == http.StatusOK || r.Status == http.StatusCreated {
			return
		}
		j.deployment.sleep(time.Second)
	}
}

// later asks in the background.
func (j *trackedJob) background(request func()) {
	j.pending.Add(1)
	go func() {
		defer j.pending.Done()
		request()
	}()
}

// final polls one controller until it calls the job done or cancelled.
func (j *trackedJob) pollUntilTerminal(node int, within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); j.deployment.sleep(100 * time.Millisecond) {
		if j.poll(node).Stage.Final() {
			return true
		}
	}
	return false
}

// regressions fails the test for each answer that went back, but for those that came
// in after their users had given up.
func (d *deployment) expectNoRegressions(h *standin.History) {
	d.t.Helper()
	for _, r := range h.Regressions() {
		if r.Kind != standin.AfterTimeout {
			d.t.Error(r)
		}
	}
}
