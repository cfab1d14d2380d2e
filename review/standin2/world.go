package standin2

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"dunestand/internal/fake"
	"dunestand/internal/protocol"
)

// team is a team of the settings.
type team struct {
	name      string
	cpus, max float64
}

// deployment is what a case sets up.
type deployment struct {
	nodes    int
	zones    []string // zone of node i is zones[i % len]
	teams    []team
	catalog  []protocol.InstanceType
	report   time.Duration
	lease    time.Duration
	cancel   time.Duration
	listLag  time.Duration
	boot     time.Duration
	capacity int
}

// sanciangco is a small deployment with the times of the site sanciangco-mills.
func sanciangco() deployment {
	return deployment{
		nodes: 3, zones: []string{"taytay", "baliuag"},
		teams: []team{{"planning", 8, 64}, {"dyehouse", 8, 64}},
		catalog: []protocol.InstanceType{{Name: "shuttle", CPUs: 8, MemoryGB: 64, CacheGB: 60, FetchRate: 1, Price: 0.6,
			SpotPrice: 0.18, BootSeconds: 15, Zones: []string{"taytay", "baliuag"}}},
		report: 3 * time.Second, lease: 26 * time.Second, cancel: 46 * time.Second, listLag: 4 * time.Second,
		boot: 15 * time.Second, capacity: 4,
	}
}

// node is a controller process with listeners of its own at the key-value store and the cloud.
type node struct {
	name, zone   string
	client, mesh string // addresses
	state, cloud string // addresses
	settings     string // file
	cmd          *exec.Cmd
	stopped      bool // by SIGSTOP

	mu      sync.Mutex
	onState func(r *http.Request) // called before each of its requests to the state service is carried out
	healthy bool
	failed  int
}

// world is everything around the controllers.
type world struct {
	deployment
	rec     *record
	ctx     context.Context
	nodes   []*node
	cloud   *cloud
	kv      *fake.KVServer
	program string
	folder  string
	user    *http.Client

	mu      sync.Mutex
	jobs    map[string]jobInfo
	running map[string]*worker // live tasks that have started, by name
	starts  map[string]int     // of tasks, by job
	servers []*http.Server
}

func newWorld(ctx context.Context, d deployment, rec *record, program string) (*world, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	w := &world{
		deployment: d, rec: rec, ctx: ctx, kv: fake.NewKVServer(), program: program, folder: folder,
		user: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		jobs: map[string]jobInfo{}, running: map[string]*worker{}, starts: map[string]int{},
	}
	w.cloud = &cloud{w: w, machines: map[string]*worker{}, hires: map[string][]string{}, capacity: d.capacity}
	for i := range d.nodes {
		n := &node{name: fmt.Sprintf("dune-%d", i), zone: d.zones[i%len(d.zones)], client: freeAddress(), mesh: freeAddress()}
		w.nodes = append(w.nodes, n)
		n.state = w.listen(func(rw http.ResponseWriter, r *http.Request) { w.serveState(n, rw, r) })
		n.cloud = w.listen(func(rw http.ResponseWriter, r *http.Request) { w.cloud.serve(i, rw, r) })
	}
	for i, n := range w.nodes {
		n.settings = filepath.Join(folder, n.name+".json")
		raw, err := json.MarshalIndent(w.settingsOf(i), "", "  ")
		if err != nil {
			return nil, err
		}
		if err := os.WriteFile(n.settings, raw, 0o600); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// listen serves a handler on a free address until the end.
func (w *world) listen(handler http.HandlerFunc) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	w.servers = append(w.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String()
}

// freeAddress returns a loopback address for a process that is started later. Its port is below those
// that the system gives to other listeners and connections.
func freeAddress() string {
	for {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 10_000+rand.IntN(20_000)))
		if err == nil {
			defer listener.Close()
			return listener.Addr().String()
		}
	}
}

func (w *world) settingsOf(i int) map[string]any {
	others := []any{}
	for k, n := range w.nodes {
		if k != i {
			others = append(others, map[string]any{"node_name": n.name, "area": n.zone, "endpoint": n.mesh})
		}
	}
	teams := []any{}
	for _, t := range w.teams {
		teams = append(teams, map[string]any{"name": t.name, "cpus": t.cpus, "cpus_max": t.max, "gpus": 0.0, "gpus_max": 0.0})
	}
	n := w.nodes[i]
	return map[string]any{
		"node_name": n.name, "area": n.zone, "client_listen": n.client, "mesh_addr": n.mesh, "others": others,
		"services": map[string]any{"cloud": n.cloud, "state": n.state},
		"settings": map[string]any{
			"initial_size": 2, "zones": w.zones, "teams": teams, "objectives": []any{},
			"workers":   map[string]any{"report_s": w.report.Seconds(), "lease_s": w.lease.Seconds(), "cancel_s": w.cancel.Seconds(), "gang_wait_s": 50.0, "gang_peer_s": 5.0},
			"state":     map[string]any{"rps": 150.0, "write_rps": 60.0, "value_kb": 16.0, "txn_ops": 12},
			"cloud":     map[string]any{"rps": 6.0, "list_lag_s": w.listLag.Seconds()},
			"resources": map[string]any{"core_share": 0.06, "ram_mb": 125.0, "max_connections": 1200},
		},
		"time_bound_ms": 1000.0,
	}
}

const stateLatency = 3 * time.Millisecond

// serveState passes a request of a node on to the store.
func (w *world) serveState(n *node, rw http.ResponseWriter, r *http.Request) {
	n.mu.Lock()
	onState := n.onState
	n.mu.Unlock()
	time.Sleep(stateLatency)
	if onState != nil {
		onState(r)
	}
	w.kv.ServeHTTP(rw, r)
}

func (w *world) loomCPUs(name string) float64 {
	for _, t := range w.catalog {
		if t.Name == name {
			return t.CPUs
		}
	}
	return 0
}

func (w *world) nodeIndex(name string) int {
	for i, n := range w.nodes {
		if n.name == name {
			return i
		}
	}
	return -1
}

func (w *world) job(id string) (jobInfo, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	job, known := w.jobs[id]
	return job, known
}

// taskStarted checks ran_twice.
func (w *world) taskStarted(m *worker, t *task) {
	name := protocol.TaskName(t.job, t.index)
	w.mu.Lock()
	other := w.running[name]
	w.running[name] = m
	w.starts[t.job]++
	w.mu.Unlock()
	if other != nil && other != m {
		w.rec.violation("ran_twice: %s starts on %s while it is on %s", name, m.id, other.id)
	}
}

func (w *world) taskEnded(m *worker, t *task, why string) {
	name := protocol.TaskName(t.job, t.index)
	w.mu.Lock()
	if w.running[name] == m {
		delete(w.running, name)
	}
	w.mu.Unlock()
	w.rec.log("machine %s: task %s try %d ends: %s", m.id, name, t.attempt, why)
}

// start starts a node with the command of the deploy file.
func (w *world) start(i int) error {
	n := w.nodes[i]
	logs, err := os.OpenFile(filepath.Join(w.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logs.Close()
	n.cmd = exec.Command(w.program, "--config", n.settings)
	n.cmd.Env = append(os.Environ(), "LOG_LEVEL=info")
	n.cmd.Stderr = logs
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.stopped = false
	w.rec.log("node %d starts", i)
	return nil
}

// kill ends a node without a signal that it could handle.
func (w *world) kill(i int) {
	n := w.nodes[i]
	if n.cmd == nil {
		return
	}
	_ = n.cmd.Process.Kill()
	_ = n.cmd.Wait()
	n.cmd = nil
	w.rec.log("node %d is killed", i)
}

// stop lets a node stand still, and resume lets it go on.
func (w *world) stop(i int) {
	w.nodes[i].stopped = true
	_ = w.nodes[i].cmd.Process.Signal(syscall.SIGSTOP)
	w.rec.log("node %d stands still", i)
}

func (w *world) resume(i int) {
	w.rec.log("node %d goes on", i)
	_ = w.nodes[i].cmd.Process.Signal(syscall.SIGCONT)
	w.nodes[i].stopped = false
}

// close ends all processes and appends their logs to the record.
func (w *world) close() {
	for i, n := range w.nodes {
		if n.cmd != nil {
			_ = n.cmd.Process.Signal(syscall.SIGCONT)
		}
		w.kill(i)
	}
	for _, s := range w.servers {
		_ = s.Close()
	}
	for _, n := range w.nodes {
		raw, _ := os.ReadFile(filepath.Join(w.folder, n.name+".log"))
		w.rec.log("log of %s:\n%s", n.name, raw)
	}
	_ = os.RemoveAll(w.folder)
}

// get sends a GET request to a node.
func (w *world) get(i int, path string, timeout time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(w.ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.nodes[i].client+path, nil)
	if err != nil {
		return 0, nil
	}
	response, err := w.user.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, body
}

// balance probes the nodes once a second, as the load balancer does.
func (w *world) balance() {
	for w.ctx.Err() == nil {
		for i, n := range w.nodes {
			go func() {
				status, _ := w.get(i, protocol.PathHealth, time.Second)
				n.mu.Lock()
				defer n.mu.Unlock()
				if status == http.StatusOK {
					n.failed, n.healthy = 0, true
				} else if n.failed++; n.failed >= 2 {
					n.healthy = false
				}
			}()
		}
		time.Sleep(time.Second)
	}
}

// healthyNode returns a healthy node; -1: none. Different numbers prefer different nodes.
func (w *world) healthyNode(number int) int {
	for k := range w.nodes {
		i := (number + k) % len(w.nodes)
		w.nodes[i].mu.Lock()
		healthy := w.nodes[i].healthy
		w.nodes[i].mu.Unlock()
		if healthy {
			return i
		}
	}
	return -1
}

// await waits until a condition holds.
func (w *world) await(what string, limit time.Duration, condition func() bool) error {
	for began := time.Now(); time.Since(began) < limit; time.Sleep(100 * time.Millisecond) {
		if condition() {
			w.rec.log("reached: %s", what)
			return nil
		}
	}
	return fmt.Errorf("not within %v: %s", limit, what)
}

// upload registers a job's description for the workers.
func (w *world) upload(id string, tasks int, cpus float64, run time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs[id] = jobInfo{tasks: tasks, cpus: cpus, run: run}
}

// submission returns a submission of a job array.
func (w *world) submission(id, crew string) map[string]any {
	job, _ := w.job(id)
	s := fake.Submission(id, crew, "loomplan", job.tasks, job.run.Seconds())
	s[protocol.FieldCPUs] = job.cpus
	return s
}

// request sends a user's request to a node and logs it with its answer.
func (w *world) request(i int, path string, body []byte, timeout time.Duration) (int, protocol.JobState) {
	ctx, cancel := context.WithTimeout(w.ctx, timeout)
	defer cancel()
	status, raw, _ := post(ctx, w.user, "http://"+w.nodes[i].client+path, body)
	var state protocol.JobState
	_ = protocol.Decode(raw, &state)
	w.rec.log("user -> node %d: POST %s: %d %s", i, path, status, state.Stage)
	return status, state
}

// errNotAnswered means that a user got no final answer.
var errNotAnswered = errors.New("no final answer")

// submit submits a job until it is accepted.
func (w *world) submit(s map[string]any) error {
	body := protocol.Encode(s)
	for k := range 30 {
		if i := w.healthyNode(k); i >= 0 {
			if status, _ := w.request(i, protocol.PathSubmit, body, 5*time.Second); status == http.StatusOK || status == http.StatusCreated {
				return nil
			}
		}
		time.Sleep(time.Second)
	}
	return fmt.Errorf("submission: %w", errNotAnswered)
}

// cancelJob cancels a job until that is confirmed.
func (w *world) cancelJob(id string) (protocol.JobStage, error) {
	for k := range 30 {
		if i := w.healthyNode(k); i >= 0 {
			if status, state := w.request(i, "/submissions/"+id+"/cancel", nil, 5*time.Second); status == http.StatusOK {
				return state.Stage, nil
			}
		}
		time.Sleep(time.Second)
	}
	return "", fmt.Errorf("cancellation: %w", errNotAnswered)
}

// poll asks a node about a job.
func (w *world) poll(i int, id string) (int, protocol.JobState) {
	status, raw := w.get(i, "/submissions/"+id, 2*time.Second)
	var state protocol.JobState
	_ = protocol.Decode(raw, &state)
	w.rec.log("user -> node %d: GET %s: %d %s done %d running %d", i, id, status, state.Stage, state.Done, state.Running)
	return status, state
}
