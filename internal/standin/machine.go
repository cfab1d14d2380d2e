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
type Timing struct{ HeartbeatInterval, LeaseDuration time.Duration }

// The times of the workers' protocol.
const (
	heartbeatTimeout     = 4 * time.Second
	retryDelay           = time.Second
	minHeartbeatInterval = 500 * time.Millisecond // between two reports
	tickInterval         = 50 * time.Millisecond
	defaultImageFetch    = 600 * time.Millisecond
)

// Machine is a machine with a worker that keeps the whole protocol: sessions and
// leases, terms, one report in flight, direct commands, images. It tells the
// RuleChecker what is on it.
type Machine struct {
	MachineInfo
	Type        string
	Spot        bool
	CPUs        float64
	timing      Timing
	controllers []string // names of the controllers, reached at NAME and UsersPort
	network     *Network
	invariants  *InvariantChecker
	random      *rand.Rand
	client      *http.Client

	mu             sync.Mutex
	killed         bool
	incarnation    uint64
	sequence       uint64
	fencingToken   uint64
	tokenChangedAt time.Time // when a higher term last counted as a change
	leaseStart     time.Time
	changed        bool
	tasks          map[string]*machineTask
	fault          Fault
	hungUntil      time.Time
}

type machineTask struct {
	job       JobInfo
	index     int
	attempt   uint64
	stage     string
	exitCause protocol.Cause
	stageEnd  time.Time // when the stage ends by itself
	runTime   time.Duration
}

// Trouble is what befalls a machine.
type Fault struct {
	ResponsesLost  bool // its reports arrive; answers and direct commands are lost
	HeartbeatsLost bool // it reaches no controller; direct commands reach it
	Partitioned    bool // neither
	// Copied is the share of reports of which a copy arrives again later.
	DuplicatedShare float64
	// Held is the share of reports that get no answer and arrive only later.
	DelayedShare float64
	// Slow is for how long direct commands are held up.
	CommandDelay time.Duration
}

// NewMachine makes a machine; Run starts its worker.
func NewMachine(info MachineInfo, instanceType string, spot bool, cpus float64, timing Timing, controllers []string, network *Network, invariants *InvariantChecker, random *rand.Rand) *Machine {
	return &Machine{
		MachineInfo: info,
		Type:        instanceType,
		Spot:        spot,
		CPUs:        cpus,
		timing:      timing,
		controllers: controllers,
		network:     network,
		invariants:  invariants,
		random:      random,
		client: &http.Client{Transport: &http.Transport{
			DialContext:       network.Dialer(info.ID),
			DisableKeepAlives: true,
		}},
		incarnation: 1,
		leaseStart:  time.Now(),
		tasks:       map[string]*machineTask{},
	}
}

// Endpoint is where the machine takes direct commands.
func (m *Machine) Endpoint() string { return m.ID + ":9000" }

// Set puts the machine into a trouble, or ends it.
func (m *Machine) InjectFault(fault Fault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = fault
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
	m.dropTasks()
	m.killed = true
}

// Holds counts the tasks that are on the machine.
func (m *Machine) RunningTasks() int { return m.tasksInStage("running") + m.tasksInStage("flushing") }

// Fetches counts the tasks that wait for their images.
func (m *Machine) FetchingTasks() int { return m.tasksInStage("fetching") }

func (m *Machine) tasksInStage(stage string) int {
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

func (m *Machine) dropTasks() {
	for _, name := range slices.Sorted(maps.Keys(m.tasks)) {
		t := m.tasks[name]
		if t.stage == "running" || t.stage == "flushing" {
			m.invariants.TaskEnded(t.job.ID, t.index, m.ID, false)
		}
	}
	clear(m.tasks)
}

func (m *Machine) hungLocked() bool { return time.Now().Before(m.hungUntil) }

// Run plays the machine until ctx ends or it is killed.
func (m *Machine) Run(ctx context.Context) {
	listener := m.network.Listen(m.Endpoint())
	server := &http.Server{Handler: http.HandlerFunc(m.serveCommands)}
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); _ = server.Serve(listener) }()
	go func() { defer wg.Done(); m.heartbeatLoop(ctx) }()
	for ctx.Err() == nil && m.tick() {
		sleep(ctx, tickInterval)
	}
	_ = server.Close()
	wg.Wait()
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// step lets time pass on the machine, and tells whether it is still there.
func (m *Machine) tick() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.killed || m.hungLocked() {
		return !m.killed
	}
	now := time.Now()
	if now.Sub(m.leaseStart) > m.timing.LeaseDuration {
		m.dropTasks()
		m.incarnation++
		m.leaseStart, m.changed = now, true
	}
	for _, t := range m.tasks {
		if t.stageEnd.IsZero() || now.Before(t.stageEnd) {
			continue
		}
		m.changed = true
		switch t.stage {
		case "fetching":
			t.stage, t.stageEnd = "running", now.Add(t.runTime)
			m.invariants.TaskStarted(t.job.ID, t.index, &m.MachineInfo)
		case "running":
			t.stage, t.exitCause, t.stageEnd = "ended", protocol.CauseDone, time.Time{}
			m.invariants.TaskEnded(t.job.ID, t.index, m.ID, true)
		}
	}
	return true
}

// report makes a report of now.
func (m *Machine) encodeHeartbeat() []byte {
	m.sequence++
	m.changed = false
	bolts := []map[string]any{}
	for _, name := range slices.Sorted(maps.Keys(m.tasks)) {
		t := m.tasks[name]
		b := map[string]any{"bolt": name, "try": t.attempt, "stage": t.stage}
		if t.stage == "ended" {
			b["cause"] = string(t.exitCause)
		}
		bolts = append(bolts, b)
	}
	return protocol.Encode(map[string]any{
		"dune":     m.ID,
		"endpoint": m.Endpoint(),
		"loom":     m.Type,
		"yard":     m.Zone,
		"borrowed": m.Spot,
		"shift":    m.incarnation,
		"tally":    m.sequence,
		"baton":    m.fencingToken,
		"recall_s": nil,
		"bolts":    bolts,
	})
}

// reportLoop reports until the machine is gone.
func (m *Machine) heartbeatLoop(ctx context.Context) {
	controller := m.random.IntN(len(m.controllers))
	for ctx.Err() == nil {
		m.mu.Lock()
		if m.killed {
			m.mu.Unlock()
			return
		}
		if m.hungLocked() {
			m.mu.Unlock()
			sleep(ctx, tickInterval)
			continue
		}
		body, incarnation, sent, fault := m.encodeHeartbeat(), m.incarnation, time.Now(), m.fault
		delayed := m.random.Float64() < fault.DelayedShare
		if m.random.Float64() < fault.DuplicatedShare {
			go m.deliverLater(ctx, body)
		}
		m.mu.Unlock()
		var status int
		var response []byte
		switch {
		case fault.HeartbeatsLost || fault.Partitioned:
		case delayed:
			go m.deliverLater(ctx, body)
			sleep(ctx, heartbeatTimeout)
		default:
			status, response = m.sendHeartbeat(ctx, m.controllers[controller], body)
		}
		for ctx.Err() == nil && m.hung() {
			sleep(ctx, tickInterval)
		}
		if fault.ResponsesLost && status != 0 {
			sleep(ctx, heartbeatTimeout-time.Since(sent))
			status = 0
		}
		if time.Since(sent) > heartbeatTimeout {
			status = 0
		}
		switch status {
		case http.StatusOK:
			m.handleResponse(response, incarnation, sent)
			m.waitForNextHeartbeat(ctx, sent)
		case http.StatusMisdirectedRequest:
			var redirect protocol.Redirect
			_ = protocol.Decode(response, &redirect)
			if next := slices.Index(m.controllers, redirect.Leader); next >= 0 && next != controller {
				controller = next
				sleep(ctx, time.Duration(m.random.Int64N(int64(minHeartbeatInterval))))
				continue
			}
			fallthrough
		default:
			controller = (controller + 1) % len(m.controllers)
			sleep(ctx, retryDelay)
		}
	}
}

// later brings a report to some controller from 2 s to well over a lease later.
func (m *Machine) deliverLater(ctx context.Context, body []byte) {
	m.mu.Lock()
	delay := 2*time.Second + time.Duration(m.random.Int64N(int64(m.timing.LeaseDuration*3/2)))
	controller := m.controllers[m.random.IntN(len(m.controllers))]
	m.mu.Unlock()
	sleep(ctx, delay)
	if ctx.Err() == nil {
		m.sendHeartbeat(ctx, controller, body)
	}
}

// Hold makes a report of now that the network holds back: what it gives brings it
// to a controller, whenever that is.
func (m *Machine) CaptureHeartbeat() func(ctx context.Context, controller string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	body := m.encodeHeartbeat()
	return func(ctx context.Context, controller string) { m.sendHeartbeat(ctx, controller, body) }
}

func (m *Machine) hung() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hungLocked()
}

func (m *Machine) sendHeartbeat(ctx context.Context, controller string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+controller+UsersPort+protocol.PathReport, bytes.NewReader(body))
	response, err := m.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, responseBody
}

// waitForNext waits until a report is due: at its time, or when something changes.
func (m *Machine) waitForNextHeartbeat(ctx context.Context, sent time.Time) {
	m.mu.Lock()
	due := sent.Add(time.Duration(float64(m.timing.HeartbeatInterval) * (0.75 + m.random.Float64()/2)))
	m.mu.Unlock()
	sleep(ctx, minHeartbeatInterval-time.Since(sent))
	for ctx.Err() == nil && time.Now().Before(due) {
		m.mu.Lock()
		ready := m.changed || m.killed
		m.mu.Unlock()
		if ready {
			return
		}
		sleep(ctx, tickInterval)
	}
}
