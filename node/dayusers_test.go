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
func (d *day) ask(node int, method, path string, body any) (int, []byte) {
	status, raw, _ := d.askHeader(node, method, path, body)
	return status, raw
}

func (d *day) askHeader(node int, method, path string, body any) (int, []byte, http.Header) {
	ctx, cancel := context.WithTimeout(d.ctx, 2*time.Second)
	defer cancel()
	var r io.Reader
	if body != nil {
		r = bytes.NewReader(protocol.Encode(body))
	}
	req, _ := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://n-%d%s%s", node, standin.UsersPort, path), r)
	client := http.Client{Transport: &http.Transport{
		DialContext:       d.net.Dialer("user"),
		DisableKeepAlives: true,
	}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, nil
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, nil
	}
	return resp.StatusCode, raw, resp.Header
}

// told asks a controller about a job and has the rule checker hear the answer.
func (d *day) told(node int, id string, repeat bool, method, path string, body any) (int, protocol.JobStage) {
	status, raw := d.ask(node, method, path, body)
	var s protocol.JobState
	_ = protocol.Decode(raw, &s)
	d.rules.Answered(id, repeat, status, s.Stage)
	return status, s.Stage
}

// job makes a user's job; its last task runs longest.
func (d *day) job(tasks int, runs time.Duration) standin.JobInfo {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.users++
	return standin.JobInfo{
		ID:      fmt.Sprintf("j-%06d", d.users),
		Tasks:   tasks,
		CPUs:    1,
		Runs:    runs,
		Urgency: "normal",
	}
}

func described(j standin.JobInfo) map[string]any {
	b := submission(j.ID, j.Tasks)
	b["vcpus"], b["together"], b["apart"], b["urgency"], b["expect_s"] = j.CPUs, j.OneZone, j.Spread, j.Urgency, j.Runs.Seconds()
	if j.Zone != "" {
		b["yard"] = j.Zone
	}
	return b
}

// submit has a user submit a job until it is accepted, and then ask about it
// until it is over.
func (d *day) submit(j standin.JobInfo) {
	d.t.Helper()
	d.rules.Submitted(j)
	first := d.random.IntN(dayNodes)
	for try := 0; ; try++ {
		if status, _ := d.told((first+try)%dayNodes, j.ID, false, http.MethodPost, "/submissions", described(j)); status == 200 || status == 201 {
			break
		} else if status == 400 || status == 422 {
			d.t.Errorf("%s is refused: %d", j.ID, status)
			return
		}
		d.wait(time.Second)
	}
	go func() {
		for try := 0; d.ctx.Err() == nil && !d.rules.Told(j.ID).IsTerminal(); try++ {
			d.wait(3 * time.Second)
			d.told((first+try)%dayNodes, j.ID, false, http.MethodGet, "/submissions/"+j.ID, nil)
		}
	}()
}

// cancel has a user ask until the job is cancelled, or done.
func (d *day) cancel(id string) {
	d.rules.Asked(id)
	go func() {
		for try := 0; d.ctx.Err() == nil; try++ {
			if status, stage := d.told((d.users+try)%dayNodes, id, false, http.MethodPost, "/submissions/"+id+"/cancel", nil); status == 200 && stage.IsTerminal() {
				return
			}
			d.wait(time.Second)
		}
	}()
}
