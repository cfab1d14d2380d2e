package node

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"dunestand/internal/protocol"
	"dunestand/internal/standin"
)

// ask sends a controller one request, as a user does.
func (d *deployment) request(node int, method, path string, body any) (int, []byte) {
	status, raw, _ := d.requestWithHeader(node, method, path, body)
	return status, raw
}

func (d *deployment) requestWithHeader(node int, method, path string, body any) (int, []byte, http.Header) {
	ctx, cancel := context.WithTimeout(d.ctx, 2*time.Second)
	defer cancel()
	var r io.Reader
	if body != nil {
		r = bytes.NewReader(protocol.Encode(body))
	}
	request, _ := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://n-%d%s%s", node, standin.UsersPort, path), r)
	client := http.Client{Transport: &http.Transport{
		DialContext:       d.network.Dialer("user"),
		DisableKeepAlives: true,
	}}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, nil
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, nil
	}
	return response.StatusCode, raw, response.Header
}

// told asks a controller about a job and has the rule checker hear the answer.
func (d *deployment) requestJob(node int, id string, duplicate bool, method, path string, body any) (int, protocol.Stage) {
	status, raw := d.request(node, method, path, body)
	var state protocol.JobState
	_ = protocol.Decode(raw, &state)
	d.invariants.ResponseReceived(id, duplicate, status, state.Stage)
	return status, state.Stage
}

// job makes a user's job; its last task runs longest.
func (d *deployment) newJob(tasks int, runTime time.Duration) standin.JobInfo {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.jobCount++
	return standin.JobInfo{
		ID:       fmt.Sprintf("j-%06d", d.jobCount),
		Tasks:    tasks,
		CPUs:     1,
		RunTime:  runTime,
		Priority: "normal",
	}
}

func submissionOf(job standin.JobInfo) map[string]any {
	fields := submission(job.ID, job.Tasks)
	fields["vcpus"], fields["together"], fields["apart"], fields["urgency"], fields["expect_s"] = job.CPUs, job.ZoneAffinity, job.AntiAffinity, job.Priority, job.RunTime.Seconds()
	if job.Zone != "" {
		fields["yard"] = job.Zone
	}
	return fields
}

// submit has a user submit a job until it is accepted, and then ask about it
// until it is over.
func (d *deployment) submit(j standin.JobInfo) {
	d.t.Helper()
	d.invariants.JobSubmitted(j)
	first := d.random.IntN(defaultNodes)
	for try := 0; ; try++ {
		if status, _ := d.requestJob((first+try)%defaultNodes, j.ID, false, http.MethodPost, "/submissions", submissionOf(j)); status == 200 || status == 201 {
			break
		} else if status == 400 || status == 422 {
			d.t.Errorf("%s is refused: %d", j.ID, status)
			return
		}
		d.sleep(time.Second)
	}
	go func() {
		for try := 0; d.ctx.Err() == nil && !d.invariants.LastStage(j.ID).Final(); try++ {
			d.sleep(3 * time.Second)
			d.requestJob((first+try)%defaultNodes, j.ID, false, http.MethodGet, "/submissions/"+j.ID, nil)
		}
	}()
}

// cancel has a user ask until the job is cancelled, or done.
func (d *deployment) cancel(id string) {
	d.invariants.CancelRequested(id)
	go func() {
		for try := 0; d.ctx.Err() == nil; try++ {
			if status, stage := d.requestJob((d.jobCount+try)%defaultNodes, id, false, http.MethodPost, "/submissions/"+id+"/cancel", nil); status == 200 && stage.Final() {
				return
			}
			d.sleep(time.Second)
		}
	}()
}
