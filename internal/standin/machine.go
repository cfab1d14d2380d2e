package standin

import (
	"bytes"
	"context"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"dunestand/internal/protocol"
)

// UsersPort is where the controllers of a Network take users and workers.
const UsersPort = ":8000"

// Pace is how workers report.
type Pace struct{ Report, Lease time.Duration }

// The times of the workers' protocol.
const (
	workerGivesUp  = 4 * time.Second
	workerNextNode = time.Second
	workerLeast    = 500 * time.Millisecond // between two reports
	machineStep    = 50 * time.Millisecond
	machineFetch   = 600 * time.Millisecond
)

// Machine is a machine with a worker that keeps the whole protocol: sessions and
// leases, terms, one report in flight, direct commands, images. It tells the
// RuleChecker what is on it.
type Machine struct {
	MachineInfo
	Type   string
	Spot   bool
	CPUs   float64
	pace   Pace
	nodes  []string // names of the controllers, reached at NAME and UsersPort
	net    *Network
	rules  *RuleChecker
	random *rand.Rand
	client *http.Client

	mu        sync.Mutex
	gone      bool
	session   uint64
	tally     uint64
	term      uint64
	termAt    time.Time // when a higher term last counted as a change
	leaseFrom time.Time
	changed   bool
	tasks     map[string]*machineTask
	trouble   Trouble
	hungUntil time.Time
}

type machineTask struct {
	job     JobInfo
	index   int
	attempt uint64
	stage   string
	cause   protocol.ExitCause
	until   time.Time // when the stage ends by itself
	left    time.Duration
}

// Trouble is what befalls a machine.
type Trouble struct {
	AnswersLost bool // its reports arrive; answers and direct commands are lost
	ReportsLost bool // it reaches no controller; direct commands reach it
	Cut         bool // neither
	// Copied is the share of reports of which a copy arrives again later.
	Copied float64
	// Held is the share of reports that get no answer and arrive only later.
	Held float64
	// Slow is for how long direct commands are held up.
	Slow time.Duration
}

// NewMachine makes a machine; Run starts its worker.
func NewMachine(info MachineInfo, typ string, spot bool, cpus float64, pace Pace, nodes []string, net *Network, rules *RuleChecker, random *rand.Rand) *Machine {
	return &Machine{
		MachineInfo: info,
		Type:        typ,
		Spot:        spot,
		CPUs:        cpus,
		pace:        pace,
		nodes:       nodes,
		net:         net,
		rules:       rules,
		random:      random,
		client: &http.Client{Transport: &http.Transport{
			DialContext:       net.Dialer(info.ID),
			DisableKeepAlives: true,
		}},
		session:   1,
		leaseFrom: time.Now(),
		tasks:     map[string]*machineTask{},
	}
}

// Endpoint is where the machine takes direct commands.
func (m *Machine) Endpoint() string { return m.ID + ":9000" }

// Set puts the machine into a trouble, or ends it.
func (m *Machine) Set(t Trouble) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.trouble = t
}

// Hang stops everything on the machine for a while.
func (m *Machine) Hang(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hungUntil = time.Now().Add(d)
}

// Kill ends the machine: what was on it is gone.
func (m *Machine) Kill() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.empty()
	m.gone = true
}

// Holds counts the tasks that are on the machine.
func (m *Machine) Holds() int { return m.count("running") + m.count("flushing") }

// Fetches counts the tasks that wait for their images.
func (m *Machine) Fetches() int { return m.count("fetching") }

func (m *Machine) count(stage string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, t := range m.tasks {
		if t.stage == stage {
			n++
		}
	}
	return n
}

func (m *Machine) empty() {
	for _, name := range slices.Sorted(maps.Keys(m.tasks)) {
		t := m.tasks[name]
		if t.stage == "running" || t.stage == "flushing" {
			m.rules.Ended(t.job.ID, t.index, m.ID, false)
		}
	}
	clear(m.tasks)
}

func (m *Machine) hung() bool { return time.Now().Before(m.hungUntil) }

// Run plays the machine until ctx ends or it is killed.
func (m *Machine) Run(ctx context.Context) {
	l := m.net.Listen(m.Endpoint())
	srv := &http.Server{Handler: http.HandlerFunc(m.serve)}
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); _ = srv.Serve(l) }()
	go func() { defer wg.Done(); m.reportLoop(ctx) }()
	for ctx.Err() == nil && m.step() {
		sleep(ctx, machineStep)
	}
	_ = srv.Close()
	wg.Wait()
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// step lets time pass on the machine, and tells whether it is still there.
func (m *Machine) step() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.gone || m.hung() {
		return !m.gone
	}
	now := time.Now()
	if now.Sub(m.leaseFrom) > m.pace.Lease {
		m.empty()
		m.session++
		m.leaseFrom, m.changed = now, true
	}
	for _, t := range m.tasks {
		if t.until.IsZero() || now.Before(t.until) {
			continue
		}
		m.changed = true
		switch t.stage {
		case "fetching":
			t.stage, t.until = "running", now.Add(t.left)
			m.rules.Started(t.job.ID, t.index, &m.MachineInfo)
		case "running":
			t.stage, t.cause, t.until = "ended", protocol.CauseDone, time.Time{}
			m.rules.Ended(t.job.ID, t.index, m.ID, true)
		}
	}
	return true
}

// report makes a report of now.
func (m *Machine) report() []byte {
	m.tally++
	m.changed = false
	bolts := []map[string]any{}
	for _, name := range slices.Sorted(maps.Keys(m.tasks)) {
		t := m.tasks[name]
		b := map[string]any{"bolt": name, "try": t.attempt, "stage": t.stage}
		if t.stage == "ended" {
			b["cause"] = string(t.cause)
		}
		bolts = append(bolts, b)
	}
	return protocol.Encode(map[string]any{
		"dune":     m.ID,
		"endpoint": m.Endpoint(),
		"loom":     m.Type,
		"yard":     m.Zone,
		"borrowed": m.Spot,
		"shift":    m.session,
		"tally":    m.tally,
		"baton":    m.term,
		"recall_s": nil,
		"bolts":    bolts,
	})
}

// reportLoop reports until the machine is gone.
func (m *Machine) reportLoop(ctx context.Context) {
	node := m.random.IntN(len(m.nodes))
	for ctx.Err() == nil {
		m.mu.Lock()
		if m.gone {
			m.mu.Unlock()
			return
		}
		if m.hung() {
			m.mu.Unlock()
			sleep(ctx, machineStep)
			continue
		}
		body, session, sent, trouble := m.report(), m.session, time.Now(), m.trouble
		held := m.random.Float64() < trouble.Held
		if m.random.Float64() < trouble.Copied {
			go m.later(ctx, body)
		}
		m.mu.Unlock()
		var status int
		var answer []byte
		switch {
		case trouble.ReportsLost || trouble.Cut:
		case held:
			go m.later(ctx, body)
			sleep(ctx, workerGivesUp)
		default:
			status, answer = m.post(ctx, m.nodes[node], body)
		}
		for ctx.Err() == nil && m.isHung() {
			sleep(ctx, machineStep)
		}
		if trouble.AnswersLost && status != 0 {
			sleep(ctx, workerGivesUp-time.Since(sent))
			status = 0
		}
		if time.Since(sent) > workerGivesUp {
			status = 0
		}
		switch status {
		case http.StatusOK:
			m.take(answer, session, sent)
			m.waitForNext(ctx, sent)
		case http.StatusMisdirectedRequest:
			var r protocol.LeaderRedirect
			_ = protocol.Decode(answer, &r)
			if next := slices.Index(m.nodes, r.Leader); next >= 0 && next != node {
				node = next
				sleep(ctx, time.Duration(m.random.Int64N(int64(workerLeast))))
				continue
			}
			fallthrough
		default:
			node = (node + 1) % len(m.nodes)
			sleep(ctx, workerNextNode)
		}
	}
}

// later brings a report to some controller from 2 s to well over a lease later.
func (m *Machine) later(ctx context.Context, body []byte) {
	m.mu.Lock()
	wait := 2*time.Second + time.Duration(m.random.Int64N(int64(m.pace.Lease*3/2)))
	node := m.nodes[m.random.IntN(len(m.nodes))]
	m.mu.Unlock()
	sleep(ctx, wait)
	if ctx.Err() == nil {
		m.post(ctx, node, body)
	}
}

// Hold makes a report of now that the network holds back: what it gives brings it
// to a controller, whenever that is.
func (m *Machine) Hold() func(ctx context.Context, node string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	body := m.report()
	return func(ctx context.Context, node string) { m.post(ctx, node, body) }
}

func (m *Machine) isHung() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hung()
}

func (m *Machine) post(ctx context.Context, node string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, workerGivesUp)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node+UsersPort+protocol.PathHeartbeat, bytes.NewReader(body))
	resp, err := m.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// waitForNext waits until a report is due: at its time, or when something changes.
func (m *Machine) waitForNext(ctx context.Context, sent time.Time) {
	m.mu.Lock()
	due := sent.Add(time.Duration(float64(m.pace.Report) * (0.75 + m.random.Float64()/2)))
	m.mu.Unlock()
	sleep(ctx, workerLeast-time.Since(sent))
	for ctx.Err() == nil && time.Now().Before(due) {
		m.mu.Lock()
		ready := m.changed || m.gone
		m.mu.Unlock()
		if ready {
			return
		}
		sleep(ctx, machineStep)
	}
}
