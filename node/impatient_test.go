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
	pollPatience   = 2 * time.Second
	submitPatience = 5 * time.Second
	latestAnswer   = 8 * time.Second
)

// watchedJob is a job whose users ask many questions at a time and keep a history of
// the answers.
type watchedJob struct {
	day     *day
	history *standin.History
	info    standin.JobInfo
	asking  sync.WaitGroup
}

// watch makes a job that nobody has submitted yet.
func (d *day) watch(h *standin.History, tasks int, runs time.Duration) *watchedJob {
	j := &watchedJob{day: d, history: h, info: d.job(tasks, runs)}
	d.rules.Submitted(j.info)
	return j
}

// ask sends one request and waits for its answer, also after its user has given up.
func (j *watchedJob) ask(node int, method, path string, body any, patience time.Duration) standin.Request {
	request := standin.Request{Job: j.info.ID, Node: j.day.nodes[node].name, Began: time.Now()}
	ctx, cancel := context.WithTimeout(j.day.ctx, latestAnswer)
	defer cancel()
	var content io.Reader
	if body != nil {
		content = bytes.NewReader(protocol.Encode(body))
	}
	url := fmt.Sprintf("http://%s%s%s", request.Node, standin.UsersPort, path)
	message, _ := http.NewRequestWithContext(ctx, method, url, content)
	client := http.Client{Transport: &http.Transport{
		DialContext:       j.day.net.Dialer("user"),
		DisableKeepAlives: true,
	}}
	response, err := client.Do(message)
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
	if response.StatusCode < http.StatusMultipleChoices && state.ID != j.info.ID {
		j.day.t.Errorf("asked about %s, answered about %q", j.info.ID, state.ID)
	}
	request.Ended, request.Status, request.Stage = time.Now(), response.StatusCode, state.Stage
	request.Abandoned = request.Ended.Sub(request.Began) > patience
	j.history.Record(request)
	if !request.Abandoned {
		j.day.rules.Answered(j.info.ID, false, request.Status, request.Stage)
	}
	return request
}

func (j *watchedJob) submit(node int) standin.Request {
	return j.ask(node, http.MethodPost, protocol.PathSubmit, described(j.info), submitPatience)
}

func (j *watchedJob) poll(node int) standin.Request {
	return j.ask(node, http.MethodGet, protocol.PathSubmit+"/"+j.info.ID, nil, pollPatience)
}

func (j *watchedJob) cancel(node int) standin.Request {
	j.day.rules.Asked(j.info.ID)
	return j.ask(node, http.MethodPost, protocol.PathSubmit+"/"+j.info.ID+"/cancel", nil, submitPatience)
}

// submitUntilAccepted repeats the submission as a user does.
func (j *watchedJob) submitUntilAccepted() {
	for try := 0; j.day.ctx.Err() == nil; try++ {
		if r := j.submit(try % len(j.day.nodes)); r.Status == http.StatusOK || r.Status == http.StatusCreated {
			return
		}
		j.day.wait(time.Second)
	}
}

// later asks in the background.
func (j *watchedJob) later(ask func()) {
	j.asking.Add(1)
	go func() {
		defer j.asking.Done()
		ask()
	}()
}

// final polls one controller until it calls the job done or cancelled.
func (j *watchedJob) final(node int, within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); j.day.wait(100 * time.Millisecond) {
		if j.poll(node).Stage.IsTerminal() {
			return true
		}
	}
	return false
}

// regressions fails the test for each answer that went back, but for those that came
// in after their users had given up.
func (d *day) regressions(h *standin.History) {
	d.t.Helper()
	for _, r := range h.Regressions() {
		if r.Kind != standin.AnsweredLate {
			d.t.Error(r)
		}
	}
}
