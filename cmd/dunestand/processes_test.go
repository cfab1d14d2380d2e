package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"dunestand/internal/fake"
	"dunestand/internal/fake/admissioncheck"
	"dunestand/internal/protocol"
)

// processes are controllers as operators start them: the built program, a settings file
// and the policy of deploy/, on loopback sockets.
type processes struct {
	t       *testing.T
	addrs   []string
	running []*exec.Cmd
	checker *admissioncheck.Checker
}

const (
	controllers = 5
	policyFile  = "../../deploy/fair-admission.policy"
)

// startProcesses builds the program and starts the controllers.
func startProcesses(t *testing.T) *processes {
	dir := t.TempDir()
	program := filepath.Join(dir, "dunestand")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	state := fake.NewKVServer()
	p := &processes{t: t, checker: admissioncheck.New(state)}
	stateServer, cloudServer := httptest.NewServer(state), httptest.NewServer(fake.NewCloud(protocol.Catalog{
		Types: []protocol.InstanceType{{Name: "m", CPUs: 8, MemoryGB: 64, CacheGB: 10, Price: 1, SpotPrice: 1, BootS: 1, Zones: []string{"a"}}},
	}, 0))
	t.Cleanup(stateServer.Close)
	t.Cleanup(cloudServer.Close)
	meshes := make([]string, controllers)
	for i := range meshes {
		p.addrs, meshes[i] = append(p.addrs, freeAddress(t)), freeAddress(t)
	}
	for i := range controllers {
		settings := processSettings(i, p.addrs[i], meshes, strings.TrimPrefix(stateServer.URL, "http://"), strings.TrimPrefix(cloudServer.URL, "http://"))
		path := filepath.Join(dir, fmt.Sprintf("settings-%d.json", i))
		raw, err := json.Marshal(settings)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, raw, 0o600); err != nil {
			t.Fatal(err)
		}
		cmd := exec.Command(program, "--config", path, "--policy", policyFile)
		cmd.Env = append(os.Environ(), "LOG_LEVEL=error")
		cmd.Stderr = os.Stderr
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		})
		p.running = append(p.running, cmd)
	}
	return p
}

func processSettings(i int, client string, meshes []string, state, cloud string) map[string]any {
	var others []any
	for k, mesh := range meshes {
		if k != i {
			others = append(others, map[string]any{"node_name": fmt.Sprintf("dune-%d", k), "area": "a", "endpoint": mesh})
		}
	}
	return map[string]any{
		"node_name":     fmt.Sprintf("dune-%d", i),
		"area":          "a",
		"client_listen": client,
		"mesh_addr":     meshes[i],
		"others":        others,
		"services":      map[string]any{"cloud": cloud, "state": state},
		"settings": map[string]any{
			"zones": []any{"a"},
			"teams": []any{
				map[string]any{"name": "mill", "cpus": 8.0, "cpus_max": 16.0},
				map[string]any{"name": "dye", "cpus": 8.0, "cpus_max": 16.0},
			},
			"workers":   map[string]any{"report_s": 1.0, "lease_s": 10.0, "cancel_s": 12.0},
			"state":     map[string]any{"rps": 1000.0, "write_rps": 800.0, "value_kb": 8.0, "txn_ops": 12},
			"cloud":     map[string]any{"rps": 20.0, "list_lag_s": 1.0},
			"resources": map[string]any{"core_share": 1.0, "ram_mb": 200.0, "max_connections": 400},
		},
	}
}

func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// shows tells whether a controller's metrics have a text.
func (p *processes) shows(i int, text string) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + p.addrs[i] + "/metrics")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return bytes.Contains(body, []byte(text))
}

// leader is the controller that shows a term, other than one that is left out.
func (p *processes) leader(but int) int {
	p.t.Helper()
	for range 300 {
		for i := range controllers {
			if i != but && p.shows(i, "dunestand_term ") {
				return i
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	p.t.Fatal("nobody leads")
	return 0
}

// submit sends a job to a controller, as user does, and has the checker hear the answer.
func (p *processes) submit(user, node int, job map[string]any) admissioncheck.ResponseKind {
	reply := p.checker.Submit(p.t.Context(), user, p.addrs[node], job)
	if seconds := reply.RetryAfter.Seconds(); reply.Kind == admissioncheck.Deferred && (seconds < 1 || seconds > 30) {
		p.t.Errorf("a job that waits is to come back after %v s", seconds)
	}
	return reply.Kind
}

func processJob(id int, team string, tasks int) map[string]any {
	return fake.Submission(fmt.Sprintf("j-%06d", id), team, "q", tasks, 60)
}

// flood has users of a team submit jobs one after the other through two controllers, with
// repeats through any, until told to stop.
func (p *processes) flood(stop <-chan struct{}, wg *sync.WaitGroup) {
	const users = 8
	for user := range users {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				job := processJob(100_000*(user+1)+n, "mill", 5)
				p.submitted(job)
				for node := range 3 {
					p.submit(user, (user+node*n)%controllers, job)
				}
			}
		}()
	}
}

func (p *processes) submitted(job map[string]any) {
	if err := p.checker.RegisterSubmission(job); err != nil {
		p.t.Error(err)
	}
}

// The program, started as the page for operators says, admits by a plan. While one team
// floods it the leader stands still for longer than its lease and the plan's lifetime, and
// comes back; another one is killed. Answers stay consistent, and the other team is served
// all the time but while a new leader is found.
func TestProcessesAdmitByThePlanWhileTheLeaderStandsStill(t *testing.T) {
	p := startProcesses(t)
	for i := range controllers {
		for try := 0; !p.shows(i, "dunestand_admission_active 1"); try++ {
			if try == 300 {
				t.Fatalf("controller %d does not admit by the plan", i)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	p.flood(stop, &wg)
	next := 0
	served := func() {
		t.Helper()
		next++
		job := processJob(next, "dye", 1)
		p.submitted(job)
		for try := 0; p.submit(-next, (next+try)%controllers, job) != admissioncheck.Accepted; try++ {
			if try == 60 {
				t.Fatal("a job within its team's guarantee is not accepted")
			}
			time.Sleep(250 * time.Millisecond)
		}
	}
	for range 5 {
		served()
	}
	paused := p.leader(-1)
	if err := p.running[paused].Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	const standstill = 12 * time.Second // longer than the lease and a plan's lifetime
	for began := time.Now(); time.Since(began) < standstill; time.Sleep(time.Second) {
		served()
	}
	successor := p.leader(paused)
	if err := p.running[paused].Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	served()
	if err := p.running[successor].Process.Kill(); err != nil {
		t.Fatal(err)
	}
	for range 5 {
		served()
	}
	close(stop)
	wg.Wait()
	for _, broken := range p.checker.Violations() {
		t.Error(broken)
	}
	if p.checker.DeferredResponses() == 0 || p.checker.StoredPlans() < 5 {
		t.Errorf("%d waits, %d plans", p.checker.DeferredResponses(), p.checker.StoredPlans())
	}
	t.Logf("%d accepted, %d waits, %d plans", len(p.checker.DurableJobs()), p.checker.DeferredResponses(), p.checker.StoredPlans())
}
