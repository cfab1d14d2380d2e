package fake

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"dunestand/internal/protocol"
)

// ClientPort is the port on which the controllers of a Network serve users and workers.
const ClientPort = ":8000"

// WorkerTiming holds the settings of the fleet that workers follow.
type WorkerTiming struct{ HeartbeatInterval, LeaseDuration time.Duration }

// Times that the worker protocol fixes, independent of the settings.
const (
	heartbeatTimeout     = 4 * time.Second        // from sending a heartbeat to the end of its response
	retryDelay           = time.Second            // between a failed heartbeat and one to the next controller
	minHeartbeatInterval = 500 * time.Millisecond // also after a change
)

const (
	tickInterval      = 50 * time.Millisecond // how often leases and tasks are advanced
	defaultImageFetch = 600 * time.Millisecond
)

// MachineSpec describes a machine and the controllers to which its worker sends heartbeats.
type MachineSpec struct {
	MachineInfo
	InstanceType string
	Spot         bool
	CPUs         float64
	Timing       WorkerTiming
	Controllers  []string // names; the address is the name followed by ClientPort
}

// Machine simulates a machine with a worker that implements the complete worker protocol: agent
// incarnations and leases, fencing tokens, one heartbeat in flight, pushed commands, image
// fetches. It reports every start and end of a task to an InvariantChecker.
type Machine struct {
	MachineSpec
	network    *Network
	invariants *InvariantChecker
	client     *http.Client
	background sync.WaitGroup // goroutines that Run waits for

	mu             sync.Mutex // guards the fields below
	random         *rand.Rand
	killed         bool
	incarnation    uint64
	sequence       uint64    // of the last heartbeat
	fencingToken   uint64    // the highest seen
	tokenChangedAt time.Time // when a higher token last counted as a change
	leaseStart     time.Time // when the last acknowledged heartbeat was sent, or the incarnation began
	changed        bool      // the state has changed since the last heartbeat
	tasks          map[string]*machineTask
	fault          Fault
	hungUntil      time.Time
	restarts       int
	receivedPushes []protocol.DirectCommands
}

type machineTask struct {
	job       JobInfo
	index     int
	attempt   uint64
	stage     protocol.TaskStage
	exitCause protocol.ExitCause
	stageEnd  time.Time // when the stage ends without a command; zero: never
	runTime   time.Duration
}

// NewMachine returns a machine in its first agent incarnation; Run starts its worker. The caller
// must not use random afterwards.
func NewMachine(spec MachineSpec, network *Network, invariants *InvariantChecker, random *rand.Rand) *Machine {
	return &Machine{
		MachineSpec: spec,
		network:     network,
		invariants:  invariants,
		random:      random,
		client: &http.Client{Transport: &http.Transport{
			DialContext:       network.Dialer(spec.ID),
			DisableKeepAlives: true,
		}},
		incarnation: 1,
		leaseStart:  time.Now(),
		tasks:       map[string]*machineTask{},
	}
}

// Endpoint returns the address at which the worker accepts pushed commands.
func (m *Machine) Endpoint() string { return m.ID + ":9000" }

// Kill ends the machine and every task on it immediately and permanently.
func (m *Machine) Kill() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dropTasksLocked()
	m.killed = true
}

// Restart ends the machine and starts it again after a downtime: in its first incarnation, without tasks
// and without a fencing token. Commands that are pushed in the downtime arrive after it.
func (m *Machine) Restart(downtime time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dropTasksLocked()
	m.restarts++
	m.incarnation, m.sequence, m.fencingToken = 1, 0, 0
	m.hungUntil = time.Now().Add(downtime)
	m.leaseStart, m.tokenChangedAt, m.changed = m.hungUntil, time.Time{}, true
}

// RunningTasks returns the number of running tasks.
func (m *Machine) RunningTasks() int { return m.tasksInStage(protocol.TaskRunning) }

// FetchingTasks returns the number of tasks whose images are being fetched.
func (m *Machine) FetchingTasks() int { return m.tasksInStage(protocol.TaskFetching) }

func (m *Machine) tasksInStage(stage protocol.TaskStage) int {
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

func (m *Machine) dropTasksLocked() {
	for _, name := range slices.Sorted(maps.Keys(m.tasks)) {
		if t := m.tasks[name]; t.stage == protocol.TaskRunning {
			m.invariants.TaskEnded(t.job.ID, t.index, m.ID, false)
		}
	}
	clear(m.tasks)
}

// Run simulates the machine until ctx ends or the machine is killed, and returns once all its
// goroutines have ended.
func (m *Machine) Run(ctx context.Context) {
	listener := m.network.Listen(m.Endpoint())
	server := &http.Server{Handler: http.HandlerFunc(m.serveCommands)}
	m.background.Go(func() { _ = server.Serve(listener) })
	m.background.Go(func() { m.heartbeatLoop(ctx) })
	for ctx.Err() == nil && m.tick() {
		sleep(ctx, tickInterval)
	}
	_ = server.Close()
	m.background.Wait()
}

// sleep returns after d or when ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// tick advances the lease and the tasks to the current time, unless the machine hangs. It
// reports whether the machine has not been killed.
func (m *Machine) tick() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.killed || m.hungLocked() {
		return !m.killed
	}
	now := time.Now()
	if now.Sub(m.leaseStart) > m.Timing.LeaseDuration {
		m.dropTasksLocked()
		m.incarnation++
		m.leaseStart, m.changed = now, true
	}
	for _, t := range m.tasks {
		if t.stageEnd.IsZero() || now.Before(t.stageEnd) {
			continue
		}
		m.changed = true
		switch t.stage {
		case protocol.TaskFetching:
			t.stage, t.stageEnd = protocol.TaskRunning, now.Add(t.runTime)
			m.invariants.TaskStarted(t.job.ID, t.index, &m.MachineInfo)
		case protocol.TaskRunning:
			t.stage, t.exitCause, t.stageEnd = protocol.TaskExited, protocol.CauseDone, time.Time{}
			m.invariants.TaskEnded(t.job.ID, t.index, m.ID, true)
		}
	}
	return true
}
