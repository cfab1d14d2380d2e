package main

import (
	"bytes"
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

// buildProgram builds the program and returns its path.
func buildProgram(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "dunestand")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return program
}

// startProcesses builds the program and starts the controllers.
func startProcesses(t *testing.T) *processes {
	t.Helper()
	program := buildProgram(t)
	state, stateAddress := startState(t)
	cloud := httptest.NewServer(fake.NewCloud(protocol.Catalog{
		Types: []protocol.InstanceType{{Name: "m", CPUs: 8, MemoryGB: 64, CacheGB: 10, Price: 1, SpotPrice: 1, BootSeconds: 1, Zones: []string{"a"}}},
	}, 0))
	t.Cleanup(cloud.Close)
	p := &processes{t: t, checker: admissioncheck.New(state)}
	meshes := make([]string, controllers)
	for i := range meshes {
		p.addrs, meshes[i] = append(p.addrs, freeAddress(t)), freeAddress(t)
	}
	for i := range controllers {
		settings := processSettings(i, p.addrs[i], meshes, stateAddress, strings.TrimPrefix(cloud.URL, "http://"))
		p.running = append(p.running, startProcess(t, program, writeJSON(t, "settings.json", settings)))
	}
	return p
}

// startProcess starts a controller that is killed at the end of the test.
func startProcess(t *testing.T, program, settingsFile string) *exec.Cmd {
	t.Helper()
	cmd := exec.Command(program, "--config", settingsFile, "--policy", policyFile)
	cmd.Env = append(os.Environ(), "LOG_LEVEL=error")
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	return cmd
}

// processSettings returns the settings of controller i, whose peers' addresses are in meshes.
func processSettings(i int, client string, meshes []string, state, cloud string) map[string]any {
	var others []any
	for peer, mesh := range meshes {
		if peer != i {
			others = append(others, map[string]any{"node_name": fmt.Sprintf("dune-%d", peer), "area": "a", "endpoint": mesh})
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
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// shows reports whether a controller's metrics contain a text.
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

// leader waits for a controller that shows a term, other than the excluded one.
func (p *processes) leader(excluded int) int {
	p.t.Helper()
	for range 300 {
		for i := range controllers {
			if i != excluded && p.shows(i, "dunestand_term ") {
				return i
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	p.t.Fatal("no controller is the leader")
	return 0
}

// submit sends a job to a controller, as user does, through the checker, which judges the
// response.
func (p *processes) submit(user, controller int, job map[string]any) admissioncheck.ResponseKind {
	reply := p.checker.Submit(p.t.Context(), user, p.addrs[controller], job)
	if seconds := reply.RetryAfter.Seconds(); reply.Kind == admissioncheck.Deferred && (seconds < 1 || seconds > 30) {
		p.t.Errorf("a job that waits is to come back after %v s", seconds)
	}
	return reply.Kind
}

func processJob(id int, team string, tasks int) map[string]any {
	return fake.Submission(fmt.Sprintf("j-%06d", id), team, "q", tasks, 60)
}

// announce has the checker know a job before it is submitted.
func (p *processes) announce(job map[string]any) {
	if err := p.checker.RegisterSubmission(job); err != nil {
		p.t.Error(err)
	}
}

// startFlood has users of a team submit jobs one after the other through two controllers,
// with repeats through any. The function that it returns ends that and waits for it.
func (p *processes) startFlood() (stop func()) {
	const users = 8
	stopped := make(chan struct{})
	var flood sync.WaitGroup
	for user := range users {
		flood.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stopped:
					return
				default:
				}
				job := processJob(100_000*(user+1)+n, "mill", 5)
				p.announce(job)
				for controller := range 3 {
					p.submit(user, (user+controller*n)%controllers, job)
				}
			}
		})
	}
	return func() {
		close(stopped)
		flood.Wait()
	}
}

// waitForPlan waits until each controller admits by the plan.
func (p *processes) waitForPlan() {
	p.t.Helper()
	for i := range controllers {
		for try := 0; !p.shows(i, "dunestand_admission_active 1"); try++ {
			if try == 300 {
				p.t.Fatalf("controller %d does not admit by the plan", i)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// serveWithinGuarantee submits job number id of a team that stays within its guaranteed
// quota, until it is accepted.
func (p *processes) serveWithinGuarantee(id int) {
	p.t.Helper()
	job := processJob(id, "dye", 1)
	p.announce(job)
	for try := 0; p.submit(-id, (id+try)%controllers, job) != admissioncheck.Accepted; try++ {
		if try == 60 {
			p.t.Fatal("a job within its team's guarantee is not accepted")
		}
		time.Sleep(250 * time.Millisecond)
	}
}

func (p *processes) signal(controller int, signal os.Signal) {
	p.t.Helper()
	if err := p.running[controller].Process.Signal(signal); err != nil {
		p.t.Fatal(err)
	}
}

// The program, started as the page for operators says, admits by a plan. While one team
// floods it the leader is paused for longer than its lease and the plan's lifetime, and
// resumed; another one is killed. Answers stay consistent, and the other team is served
// all the time but during a failover.
func TestProcessesAdmitByThePlanWhileTheLeaderIsPaused(t *testing.T) {
	p := startProcesses(t)
	p.waitForPlan()
	stopFlood := p.startFlood()
	jobs := 0
	serve := func() {
		t.Helper()
		jobs++
		p.serveWithinGuarantee(jobs)
	}
	for range 5 {
		serve()
	}
	paused := p.leader(-1)
	p.signal(paused, syscall.SIGSTOP)
	const pause = 12 * time.Second // longer than the lease and a plan's lifetime
	for began := time.Now(); time.Since(began) < pause; time.Sleep(time.Second) {
		serve()
	}
	successor := p.leader(paused)
	p.signal(paused, syscall.SIGCONT)
	serve()
	p.signal(successor, syscall.SIGKILL)
	for range 5 {
		serve()
	}
	stopFlood()
	for _, broken := range p.checker.Violations() {
		t.Error(broken)
	}
	if p.checker.DeferredResponses() == 0 {
		t.Error("no job had to wait")
	}
	if plans := p.checker.StoredPlans(); plans < 5 {
		t.Errorf("%d plans", plans)
	}
	t.Logf("%d accepted, %d waits, %d plans", len(p.checker.DurableJobs()), p.checker.DeferredResponses(), p.checker.StoredPlans())
}
