package node

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"dunestand/internal/config"
	"dunestand/internal/protocol"
	"dunestand/internal/standin"
)

// cluster is three nodes in this process with stand-ins around them.
type cluster struct {
	t     *testing.T
	addrs []string
	stops []context.CancelFunc
	ended []chan struct{}
	mu    sync.Mutex
	tries map[string]int // starts of each task
}

func startCluster(t *testing.T) *cluster {
	state := httptest.NewServer(standin.NewState())
	t.Cleanup(state.Close)
	c := &cluster{t: t, tries: map[string]int{}}
	clients, meshes := make([]net.Listener, 3), make([]net.Listener, 3)
	for i := range clients {
		clients[i], meshes[i] = loopback(t), loopback(t)
		c.addrs = append(c.addrs, clients[i].Addr().String())
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	fleet := standin.NewCloud(protocol.Catalog{Types: []protocol.MachineType{
		{
			Name:      "m",
			CPUs:      4,
			MemoryGB:  16,
			CacheGB:   10,
			Price:     1,
			SpotPrice: 0.5,
			BootS:     1,
			Zones:     []string{"a"},
		}}}, 3)
	fleet.Rented = func(m protocol.ListedMachine) {
		w := &standin.Worker{
			Machine: m,
			Nodes:   c.addrs,
			Every:   60 * time.Millisecond,
			Runs:    300 * time.Millisecond,
			Started: func(task string, _ uint64) {
				c.mu.Lock()
				defer c.mu.Unlock()
				c.tries[task]++
			},
		}
		go w.Run(ctx)
	}
	cloud := httptest.NewServer(fleet)
	t.Cleanup(cloud.Close)
	names := []string{"n-0", "n-1", "n-2"}
	for i := range names {
		s := &config.Settings{
			Node:         names[i],
			Zone:         "a",
			ClientListen: c.addrs[i],
			MeshListen:   meshes[i].Addr().String(),
			Services: config.Services{
				Cloud: strings.TrimPrefix(cloud.URL, "http://"),
				State: strings.TrimPrefix(state.URL, "http://"),
			},
			Fleet: config.Fleet{
				Zones:     []string{"a"},
				Teams:     []config.Team{{Name: "team", CPUs: 8, CPUsMax: 12}},
				Workers:   config.Workers{ReportS: 0.1, LeaseS: 8, CancelS: 10},
				State:     config.State{RPS: 500, WriteRPS: 400, ValueKB: 8, TxnOps: 12},
				Cloud:     config.Cloud{RPS: 50},
				Resources: config.Resources{CoreShare: 1, RAMMB: 100, MaxConnections: 200},
			},
		}
		for k := range names {
			if k != i {
				s.Others = append(s.Others, config.Peer{
					Node:     names[k],
					Zone:     "a",
					Endpoint: meshes[k].Addr().String(),
				})
			}
		}
		nctx, stop := context.WithCancel(ctx)
		done := make(chan struct{})
		c.stops, c.ended = append(c.stops, stop), append(c.ended, done)
		n := New(s, Deps{Listen: func(_ context.Context, addr string) (net.Listener, error) {
			if addr == s.ClientListen {
				return clients[i], nil
			}
			return meshes[i], nil
		}})
		go func() {
			defer close(done)
			if err := n.Run(nctx); err != nil {
				t.Errorf("%s: %v", s.Node, err)
			}
		}()
	}
	return c
}

func loopback(t *testing.T) net.Listener {
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
	req, _ := http.NewRequest(method, "http://"+c.addrs[node]+path, raw)
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

// until repeats a request on the nodes in turn until the answer is as wanted.
func (c *cluster) until(what string, nodes []int, method, path string, body any, good func(int, protocol.JobState) bool) {
	c.t.Helper()
	deadline := time.Now().Add(25 * time.Second)
	var status int
	var state protocol.JobState
	for try := 0; time.Now().Before(deadline); try++ {
		status, state, _ = c.request(nodes[try%len(nodes)], method, path, body)
		if good(status, state) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.t.Fatalf("%s: last answer %d %+v", what, status, state)
}

func submission(id string, tasks int) map[string]any {
	return map[string]any{
		"uid":       id,
		"queue":     "q",
		"crew":      "team",
		"shape":     "sweep",
		"urgency":   "normal",
		"bolts":     tasks,
		"vcpus":     2.0,
		"cards":     0.0,
		"memory_gb": 1.0,
		"pattern":   "img",
		"image_gb":  0.5,
		"looms":     nil,
		"yard":      nil,
		"together":  false,
		"apart":     false,
		"borrowed":  true,
		"expect_s":  1.0,
		"mark_s":    0.0,
		"stow_s":    0.0,
		"due_s":     nil,
	}
}

// The whole service end to end: any node accepts, tasks run once, the leader
// goes away, and its successor knows every job.
func TestServiceOutlivesItsLeader(t *testing.T) {
	c := startCluster(t)
	accepted := func(status int, _ protocol.JobState) bool { return status == 201 || status == 200 }
	done := func(status int, s protocol.JobState) bool { return status == 200 && s.Stage == protocol.StageDone }
	all := []int{0, 1, 2}
	for _, id := range []string{"j-000001", "j-000002"} {
		c.until("submit", all, "POST", "/submissions", submission(id, 8), accepted)
	}
	c.until("first job", all, "GET", "/submissions/j-000001", nil, done)
	leader := -1
	for i := range all {
		req, _ := http.Get("http://" + c.addrs[i] + "/metrics")
		text, _ := io.ReadAll(req.Body)
		req.Body.Close()
		if strings.Contains(string(text), "dunestand_term ") {
			leader = i
		}
	}
	if leader < 0 {
		t.Fatal("no node shows a term")
	}
	c.until("submit before the end", all, "POST", "/submissions", submission("j-000003", 8), accepted)
	c.stops[leader]()
	<-c.ended[leader]
	rest := []int{(leader + 1) % 3, (leader + 2) % 3}
	for _, id := range []string{"j-000001", "j-000002", "j-000003"} {
		c.until("job after failover", rest, "GET", "/submissions/"+id, nil, done)
		c.until("resubmission", rest, "POST", "/submissions", submission(id, 3), done)
	}
	c.until("unknown job", rest, "GET", "/submissions/j-999999", nil, func(status int, _ protocol.JobState) bool { return status == 404 })
	c.until("cancel of a finished job", rest, "POST", "/submissions/j-000001/cancel", nil, done)
}

func TestAnswersWhatItCannotTake(t *testing.T) {
	c := startCluster(t)
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
			c.until(k.name, all, "POST", "/submissions", k.body, func(status int, _ protocol.JobState) bool { return status == k.status })
		})
	}
	c.until("nothing was stored", all, "GET", "/submissions/j-000009", nil, func(status int, _ protocol.JobState) bool { return status == 404 })
}
