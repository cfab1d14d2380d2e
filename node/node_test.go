package node

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"dunestand/internal/protocol"
	"dunestand/internal/standin"
)

func listenLoopback(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func (c *cluster) request(node int, method, path string, body any) (int, protocol.JobState, http.Header) {
	var raw io.Reader
	if body != nil {
		raw = bytes.NewReader(protocol.Encode(body))
	}
	req, _ := http.NewRequest(method, "http://"+c.nodes[node].settings.ClientListen+path, raw)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, protocol.JobState{}, nil
	}
	defer resp.Body.Close()
	answer, _ := io.ReadAll(resp.Body)
	var s protocol.JobState
	_ = protocol.Decode(answer, &s)
	return resp.StatusCode, s, resp.Header
}

// leader is the node that shows a term.
func (c *cluster) leader() int {
	c.t.Helper()
	for range 100 {
		for i := range c.nodes {
			if strings.Contains(c.metrics(i), "dunestand_term ") {
				return i
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.t.Fatal("no node shows a term")
	return -1
}

// metrics is what a node shows; "" if it does not answer.
func (c *cluster) metrics(node int) string {
	resp, err := http.Get("http://" + c.nodes[node].settings.ClientListen + "/metrics")
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return string(text)
}

// until repeats a request on the nodes in turn until the answer is as wanted.
func (c *cluster) requestUntil(description string, nodes []int, method, path string, body any, accepted func(int, protocol.JobState) bool) {
	c.t.Helper()
	deadline := time.Now().Add(25 * time.Second)
	var status int
	var state protocol.JobState
	for try := 0; time.Now().Before(deadline); try++ {
		status, state, _ = c.request(nodes[try%len(nodes)], method, path, body)
		if accepted(status, state) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.t.Fatalf("%s: last answer %d %+v", description, status, state)
}

// submission is a job of the one team of a small cluster, with two processors a task.
func submission(id string, tasks int) map[string]any {
	job := standin.Submission(id, "team", "q", tasks, 1)
	job["vcpus"] = 2.0
	return job
}

// The whole service end to end: any node accepts, tasks run once, the leader
// goes away, and its successor knows every job.
func TestJobsSurviveLeaderFailover(t *testing.T) {
	c := newDefaultCluster(t)
	accepted := func(status int, _ protocol.JobState) bool { return status == 201 || status == 200 }
	done := func(status int, s protocol.JobState) bool { return status == 200 && s.Stage == protocol.StageDone }
	all := []int{0, 1, 2}
	for _, id := range []string{"j-000001", "j-000002"} {
		c.requestUntil("submit", all, "POST", "/submissions", submission(id, 8), accepted)
	}
	c.requestUntil("first job", all, "GET", "/submissions/j-000001", nil, done)
	leader := c.leader()
	c.requestUntil("submit before the end", all, "POST", "/submissions", submission("j-000003", 8), accepted)
	c.stop(leader)
	rest := []int{(leader + 1) % 3, (leader + 2) % 3}
	for _, id := range []string{"j-000001", "j-000002", "j-000003"} {
		c.requestUntil("job after failover", rest, "GET", "/submissions/"+id, nil, done)
		c.requestUntil("resubmission", rest, "POST", "/submissions", submission(id, 3), done)
	}
	c.requestUntil("unknown job", rest, "GET", "/submissions/j-999999", nil, func(status int, _ protocol.JobState) bool { return status == 404 })
	c.requestUntil("cancel of a finished job", rest, "POST", "/submissions/j-000001/cancel", nil, done)
}

func TestInvalidSubmissionsAreRejected(t *testing.T) {
	c := newDefaultCluster(t)
	all := []int{0, 1, 2}
	with := func(change func(map[string]any)) map[string]any {
		s := submission("j-000009", 1)
		change(s)
		return s
	}
	cases := []struct {
		name   string
		body   any
		status int
	}{
		{"not a map", []int{1}, 400},
		{"empty map", map[string]any{}, 400},
		{"unknown shape", with(func(s map[string]any) { s["shape"] = "ring" }), 400},
		{"tasks as text", with(func(s map[string]any) { s["bolts"] = "4" }), 400},
		{"over 64 KiB", with(func(s map[string]any) { s["pattern"] = strings.Repeat("x", 70<<10) }), 400},
		{"unknown team", with(func(s map[string]any) { s["crew"] = "nobody" }), 422},
		{"fits no machine", with(func(s map[string]any) { s["vcpus"] = 5.0 }), 422},
		{"over the limit", with(func(s map[string]any) { s["vcpus"] = 13.0 }), 422},
		{"unknown type", with(func(s map[string]any) { s["looms"] = []string{"none"} }), 422},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			c.requestUntil(k.name, all, "POST", "/submissions", k.body, func(status int, _ protocol.JobState) bool { return status == k.status })
		})
	}
	c.requestUntil("nothing was stored", all, "GET", "/submissions/j-000009", nil, func(status int, _ protocol.JobState) bool { return status == 404 })
}
