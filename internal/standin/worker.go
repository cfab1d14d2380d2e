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

// Worker is a machine's worker that reports to any of several controllers and
// runs its tasks for a fixed time.
type Worker struct {
	Machine           protocol.ListedMachine
	Controllers       []string // addresses of the controllers
	HeartbeatInterval time.Duration
	RunTime           time.Duration
	// Started is told of every start.
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

// Run reports until ctx ends.
func (w *Worker) Run(ctx context.Context) {
	w.tasks = map[string]*workerTask{}
	client := &http.Client{Timeout: 2 * time.Second}
	defer client.CloseIdleConnections()
	heartbeat := workerHeartbeat{
		Dune:     w.Machine.ID,
		Loom:     w.Machine.Type,
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
		} else if response.Term >= heartbeat.Baton {
			heartbeat.Baton = response.Term
			w.execute(response.Commands)
		}
		select {
		case <-ctx.Done():
		case <-time.After(w.HeartbeatInterval):
		}
	}
}

func (w *Worker) sendHeartbeat(ctx context.Context, client *http.Client, controller string, heartbeat workerHeartbeat) (protocol.ReportAnswer, bool) {
	var decoded protocol.ReportAnswer
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+controller+protocol.PathReport, bytes.NewReader(protocol.Encode(heartbeat)))
	if err != nil {
		return decoded, false
	}
	response, err := client.Do(request)
	if err != nil {
		return decoded, false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return decoded, err == nil && response.StatusCode == http.StatusOK && protocol.Decode(body, &decoded) == nil
}

func (w *Worker) taskStatuses() []workerBolt {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := []workerBolt{}
	for name, t := range w.tasks {
		if !t.ended && time.Since(t.started) >= w.RunTime {
			t.ended, t.exitCause = true, string(protocol.CauseDone)
		}
		b := workerBolt{Bolt: name, Try: t.attempt, Stage: "running"}
		if t.ended {
			b.Stage, b.Cause = "ended", t.exitCause
		}
		out = append(out, b)
	}
	return out
}

func (w *Worker) execute(commands []protocol.Command) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, command := range commands {
		task := w.tasks[command.Task]
		switch {
		case command.Verb == protocol.Start && (task == nil || task.ended && task.attempt != command.Attempt):
			w.tasks[command.Task] = &workerTask{attempt: command.Attempt, started: time.Now()}
			if w.OnStart != nil {
				w.OnStart(command.Task, command.Attempt)
			}
		case command.Verb == protocol.Stop && task != nil && task.attempt == command.Attempt && !task.ended:
			task.ended, task.exitCause = true, string(protocol.CauseStopped)
		case command.Verb == protocol.Forget && task != nil && task.attempt == command.Attempt && task.ended:
			delete(w.tasks, command.Task)
		}
	}
}
