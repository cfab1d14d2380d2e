package standin

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"dunestand/internal/protocol"
)

// Worker is a simple worker for tests on real sockets: it sends heartbeats to any of several
// controllers and runs each task for a fixed time. Its fields are set before Run.
type Worker struct {
	Machine           protocol.ListedMachine
	Controllers       []string // addresses
	HeartbeatInterval time.Duration
	RunTime           time.Duration // of each task
	// OnStart, if set, is called with each start of a task, under the worker's lock.
	OnStart func(task string, attempt uint64)

	mu    sync.Mutex
	tasks map[string]*workerTask
}

type workerTask struct {
	attempt   uint64
	started   time.Time
	ended     bool
	exitCause string
}

type workerHeartbeat struct {
	Dune     string       `cbor:"dune"`
	Endpoint string       `cbor:"endpoint"`
	Loom     string       `cbor:"loom"`
	Yard     string       `cbor:"yard"`
	Borrowed bool         `cbor:"borrowed"`
	Shift    uint64       `cbor:"shift"`
	Tally    uint64       `cbor:"tally"`
	Baton    uint64       `cbor:"baton"`
	Bolts    []workerBolt `cbor:"bolts"`
}

type workerBolt struct {
	Bolt  string `cbor:"bolt"`
	Try   uint64 `cbor:"try"`
	Stage string `cbor:"stage"`
	Cause string `cbor:"cause,omitempty"`
}

// workerTimeout is how long a worker waits for a response.
const workerTimeout = 2 * time.Second

// Run sends heartbeats until ctx ends.
func (w *Worker) Run(ctx context.Context) {
	w.tasks = map[string]*workerTask{}
	client := &http.Client{Timeout: workerTimeout}
	defer client.CloseIdleConnections()
	heartbeat := workerHeartbeat{
		Dune:     w.Machine.ID,
		Loom:     w.Machine.InstanceType,
		Yard:     w.Machine.Zone,
		Borrowed: w.Machine.Spot,
		Shift:    1,
	}
	controller := 0
	for ctx.Err() == nil {
		heartbeat.Tally++
		heartbeat.Bolts = w.taskStatuses()
		response, ok := w.sendHeartbeat(ctx, client, w.Controllers[controller], heartbeat)
		if !ok {
			controller = (controller + 1) % len(w.Controllers)
		} else if response.FencingToken >= heartbeat.Baton {
			heartbeat.Baton = response.FencingToken
			w.execute(response.Commands)
		}
		sleep(ctx, w.HeartbeatInterval)
	}
}

// sendHeartbeat returns a controller's response and reports whether the heartbeat was
// accepted.
func (w *Worker) sendHeartbeat(ctx context.Context, client *http.Client, controller string, heartbeat workerHeartbeat) (protocol.HeartbeatResponse, bool) {
	var decoded protocol.HeartbeatResponse
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+controller+protocol.PathHeartbeat, bytes.NewReader(protocol.Encode(heartbeat)))
	if err != nil {
		return decoded, false
	}
	response, err := client.Do(request)
	if err != nil {
		return decoded, false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	ok := err == nil && response.StatusCode == http.StatusOK && protocol.Decode(body, &decoded) == nil
	return decoded, ok
}

// taskStatuses ends the tasks that have run long enough and lists all.
func (w *Worker) taskStatuses() []workerBolt {
	w.mu.Lock()
	defer w.mu.Unlock()
	statuses := []workerBolt{}
	for name, t := range w.tasks {
		if !t.ended && time.Since(t.started) >= w.RunTime {
			t.ended, t.exitCause = true, string(protocol.CauseDone)
		}
		status := workerBolt{Bolt: name, Try: t.attempt, Stage: "running"}
		if t.ended {
			status.Stage, status.Cause = "ended", t.exitCause
		}
		statuses = append(statuses, status)
	}
	return statuses
}

func (w *Worker) execute(commands []protocol.Command) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, command := range commands {
		task := w.tasks[command.Task]
		switch {
		case command.Verb == protocol.VerbStart && (task == nil || task.ended && task.attempt != command.Attempt):
			w.tasks[command.Task] = &workerTask{attempt: command.Attempt, started: time.Now()}
			if w.OnStart != nil {
				w.OnStart(command.Task, command.Attempt)
			}
		case command.Verb == protocol.VerbStop && task != nil && task.attempt == command.Attempt && !task.ended:
			task.ended, task.exitCause = true, string(protocol.CauseStopped)
		case command.Verb == protocol.VerbForget && task != nil && task.attempt == command.Attempt && task.ended:
			delete(w.tasks, command.Task)
		}
	}
}
