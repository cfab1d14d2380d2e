package fake

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"dunestand/internal/protocol"
)

// Worker is a simplified worker for tests on real sockets, without leases and pushed commands.
// It sends heartbeats to one controller, to the next one after a failure, and simulates tasks
// that all run for the same time. Its exported fields must be set before Run.
type Worker struct {
	Machine           protocol.ListedMachine
	Controllers       []string // addresses; at least one
	HeartbeatInterval time.Duration
	RunTime           time.Duration // of each task
	// OnStart, if set, is called for each start of a task, under the worker's lock.
	OnStart func(task string, attempt uint64)

	mu    sync.Mutex
	tasks map[string]*workerTask
}

type workerTask struct {
	attempt   uint64
	started   time.Time
	ended     bool
	exitCause protocol.ExitCause
}

// workerTimeout is the timeout of a heartbeat request.
const workerTimeout = 2 * time.Second

// Run sends heartbeats and executes the commands in their responses until ctx ends.
func (w *Worker) Run(ctx context.Context) {
	w.tasks = map[string]*workerTask{}
	client := &http.Client{Timeout: workerTimeout}
	defer client.CloseIdleConnections()
	heartbeat := protocol.Heartbeat{
		Machine:      w.Machine.ID,
		InstanceType: w.Machine.InstanceType,
		Zone:         w.Machine.Zone,
		Spot:         w.Machine.Spot,
		Incarnation:  1,
	}
	controller := 0
	for ctx.Err() == nil {
		heartbeat.Sequence++
		heartbeat.Tasks = w.taskStatuses()
		response, ok := w.sendHeartbeat(ctx, client, w.Controllers[controller], &heartbeat)
		if !ok {
			controller = (controller + 1) % len(w.Controllers)
		} else if response.FencingToken >= heartbeat.FencingToken {
			heartbeat.FencingToken = response.FencingToken
			w.execute(response.Commands)
		}
		sleep(ctx, w.HeartbeatInterval)
	}
}

// sendHeartbeat returns a controller's response and reports whether the heartbeat was
// accepted.
func (w *Worker) sendHeartbeat(ctx context.Context, client *http.Client, controller string, heartbeat *protocol.Heartbeat) (protocol.HeartbeatResponse, bool) {
	var decoded protocol.HeartbeatResponse
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+controller+protocol.PathHeartbeat, bytes.NewReader(protocol.EncodeHeartbeat(heartbeat)))
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

// taskStatuses marks the tasks that have run for RunTime as completed and returns the task
// status of every task.
func (w *Worker) taskStatuses() []protocol.TaskStatus {
	w.mu.Lock()
	defer w.mu.Unlock()
	var statuses []protocol.TaskStatus
	for name, t := range w.tasks {
		if !t.ended && time.Since(t.started) >= w.RunTime {
			t.ended, t.exitCause = true, protocol.CauseDone
		}
		job, index := splitTaskName(name)
		status := protocol.TaskStatus{Job: job, Index: index, Attempt: t.attempt, Stage: protocol.TaskRunning}
		if t.ended {
			status.Stage, status.Cause = protocol.TaskExited, t.exitCause
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
			task.ended, task.exitCause = true, protocol.CauseStopped
		case command.Verb == protocol.VerbForget && task != nil && task.attempt == command.Attempt && task.ended:
			delete(w.tasks, command.Task)
		}
	}
}
