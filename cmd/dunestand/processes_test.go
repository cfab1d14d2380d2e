package main

import (
	"bytes"
	"fmt"
	"io"
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

// controllerProcesses runs controllers as operators do: as processes of the built program, with
// settings files and the policy in deploy/, on loopback addresses.
type controllerProcesses struct {
	t               *testing.T
	clientAddresses []string
	running         []*exec.Cmd
	checker         *admissioncheck.Checker
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
func startProcesses(t *testing.T) *controllerProcesses {
	t.Helper()
	program := buildProgram(t)
	store, storeAddress := startKVStore(t)
	cloud := httptest.NewServer(fake.NewCloud(protocol.Catalog{
		Types: []protocol.InstanceType{{Name: "m", CPUs: 8, MemoryGB: 64, CacheGB: 10, Price: 1, SpotPrice: 1, BootSeconds: 1, Zones: []string{"a"}}},
	}, 0))
	t.Cleanup(cloud.Close)
	p := &controllerProcesses{t: t, checker: admissioncheck.New(store)}
	meshAddresses := make([]string, controllers)
	for i := range meshAddresses {
		p.clientAddresses, meshAddresses[i] = append(p.clientAddresses, freeAddress(t)), freeAddress(t)
	}
	for i := range controllers {
		settings := controllerSettings(i, p.clientAddresses[i], meshAddresses, storeAddress, strings.TrimPrefix(cloud.URL, "http://"))
		p.running = append(p.running, startProcess(t, program, writeJSON(t, "settings.json", settings)))
	}
	return p
}

// startProcess starts a controller, which is killed at the end of the test.
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

// controllerSettings returns the settings of controller i. meshAddresses holds the addresses of all
// controllers, including its own.
func controllerSettings(i int, client string, meshAddresses []string, kvStore, cloud string) map[string]any {
	var others []any
	for peer, mesh := range meshAddresses {
		if peer != i {
			others = append(others, map[string]any{"node_name": fmt.Sprintf("dune-%d", peer), "area": "a", "endpoint": mesh})
		}
	}
	return map[string]any{
		"node_name":     fmt.Sprintf("dune-%d", i),
		"area":          "a",
		"client_listen": client,
		"mesh_addr":     meshAddresses[i],
		"others":        others,
		"services":      map[string]any{"cloud": cloud, "state": kvStore},
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

// freeAddress returns a loopback address whose port is unused.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := fake.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// metricsContain reports whether a controller's metrics contain a text.
func (p *controllerProcesses) metricsContain(i int, text string) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + p.clientAddresses[i] + "/metrics")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return bytes.Contains(body, []byte(text))
}

// waitForLeader waits until a controller other than the excluded one is the leader, which its
// metric of the term shows, and returns its index.
func (p *controllerProcesses) waitForLeader(excluded int) int {
	p.t.Helper()
	for range 300 {
		for i := range controllers {
			if i != excluded && p.metricsContain(i, "dunestand_term ") {
				return i
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	p.t.Fatal("no controller is the leader")
	return 0
}

// submit submits a job to a controller in the name of a user, and has the checker verify the
// response.
func (p *controllerProcesses) submit(user, controller int, job map[string]any) admissioncheck.ResponseKind {
	response := p.checker.Submit(p.t.Context(), user, p.clientAddresses[controller], job)
	if seconds := response.RetryAfter.Seconds(); response.Kind == admissioncheck.Deferred && (seconds < 1 || seconds > 30) {
		p.t.Errorf("a deferred job has a Retry-After of %v s, expected 1 to 30 s", seconds)
	}
	return response.Kind
}

// testSubmission returns a job array whose ID is built from a number.
func testSubmission(id int, team string, tasks int) map[string]any {
	return fake.Submission(fmt.Sprintf("j-%06d", id), team, "q", tasks, 60)
}

// registerSubmission registers a job with the checker, which is required before its submission.
func (p *controllerProcesses) registerSubmission(job map[string]any) {
	if err := p.checker.RegisterSubmission(job); err != nil {
		p.t.Error(err)
	}
}

// startFlood starts users of one team that submit one job after the other without a pause, each
// job three times through up to three controllers. stop ends the submissions and waits for the
// users.
func (p *controllerProcesses) startFlood() (stop func()) {
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
				job := testSubmission(100_000*(user+1)+n, "mill", 5)
				p.registerSubmission(job)
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

// waitForPlan waits until every controller admits jobs by a plan.
func (p *controllerProcesses) waitForPlan() {
	p.t.Helper()
	for i := range controllers {
		for try := 0; !p.metricsContain(i, "dunestand_admission_active 1"); try++ {
			if try == 300 {
				p.t.Fatalf("controller %d does not admit jobs by a plan", i)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// submitUntilAccepted submits a job of a team that stays within its guaranteed quota until the
// job is accepted.
func (p *controllerProcesses) submitUntilAccepted(id int) {
	p.t.Helper()
	job := testSubmission(id, "dye", 1)
	p.registerSubmission(job)
	for try := 0; p.submit(-id, (id+try)%controllers, job) != admissioncheck.Accepted; try++ {
		if try == 60 {
			p.t.Fatal("a job within its team's guaranteed quota is not accepted")
		}
		time.Sleep(250 * time.Millisecond)
	}
}

func (p *controllerProcesses) signal(controller int, signal os.Signal) {
	p.t.Helper()
	if err := p.running[controller].Process.Signal(signal); err != nil {
		p.t.Fatal(err)
	}
}

// Processes started as in docs/operating.md admit jobs by a plan. While one team floods them with
// submissions, the leader is paused for longer than its lease and the lifetime of the plan, then
// resumed, and its successor is killed. Responses stay consistent, and jobs of the other team are
// accepted throughout, except during a failover.
func TestProcessesAdmitByThePlanWhileTheLeaderIsPaused(t *testing.T) {
	p := startProcesses(t)
	p.waitForPlan()
	stopFlood := p.startFlood()
	jobs := 0
	submitNextJob := func() {
		t.Helper()
		jobs++
		p.submitUntilAccepted(jobs)
	}
	for range 5 {
		submitNextJob()
	}
	paused := p.waitForLeader(-1)
	p.signal(paused, syscall.SIGSTOP)
	const pause = 12 * time.Second // longer than the lease and a plan's lifetime
	for began := time.Now(); time.Since(began) < pause; time.Sleep(time.Second) {
		submitNextJob()
	}
	successor := p.waitForLeader(paused)
	p.signal(paused, syscall.SIGCONT)
	submitNextJob()
	p.signal(successor, syscall.SIGKILL)
	for range 5 {
		submitNextJob()
	}
	stopFlood()
	for _, violation := range p.checker.Violations() {
		t.Error(violation)
	}
	if p.checker.DeferredResponses() == 0 {
		t.Error("no job was deferred")
	}
	if plans := p.checker.StoredPlans(); plans < 5 {
		t.Errorf("%d plans stored, expected at least 5", plans)
	}
	t.Logf("%d jobs accepted, %d deferred responses, %d plans", len(p.checker.DurableJobs()), p.checker.DeferredResponses(), p.checker.StoredPlans())
}
