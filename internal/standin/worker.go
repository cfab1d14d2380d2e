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
	Machine protocol.ListedMachine
	Nodes   []string // addresses of the controllers
	Every   time.Duration
	Runs    time.Duration
	// Started is told of every start.
	Started func(task string, attempt uint64)

	mu    sync.Mutex
	tasks map[string]*workerTask
}

type workerTask struct {
	attempt uint64
	began   time.Time
	ended   bool
	cause   string
}

type workerReport struct {
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
	report := workerReport{
		Dune:     w.Machine.ID,
		Loom:     w.Machine.InstanceType,
		Yard:     w.Machine.Zone,
		Borrowed: w.Machine.Spot,
		Shift:    1,
	}
	node := 0
	for ctx.Err() == nil {
		report.Tally++
		report.Bolts = w.bolts()
		answer, ok := w.send(ctx, client, w.Nodes[node], report)
		if !ok {
			node = (node + 1) % len(w.Nodes)
		} else if answer.FencingToken >= report.Baton {
			report.Baton = answer.FencingToken
			w.execute(answer.Commands)
		}
		select {
		case <-ctx.Done():
		case <-time.After(w.Every):
		}
	}
}

func (w *Worker) send(ctx context.Context, client *http.Client, node string, report workerReport) (protocol.HeartbeatResponse, bool) {
	var answer protocol.HeartbeatResponse
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node+protocol.PathHeartbeat, bytes.NewReader(protocol.Encode(report)))
	if err != nil {
		return answer, false
	}
	resp, err := client.Do(req)
	if err != nil {
		return answer, false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer, err == nil && resp.StatusCode == http.StatusOK && protocol.Decode(body, &answer) == nil
}

func (w *Worker) bolts() []workerBolt {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := []workerBolt{}
	for name, t := range w.tasks {
		if !t.ended && time.Since(t.began) >= w.Runs {
			t.ended, t.cause = true, string(protocol.CauseDone)
		}
		b := workerBolt{Bolt: name, Try: t.attempt, Stage: "running"}
		if t.ended {
			b.Stage, b.Cause = "ended", t.cause
		}
		out = append(out, b)
	}
	return out
}

func (w *Worker) execute(commands []protocol.Command) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range commands {
		t := w.tasks[c.Task]
		switch {
		case c.Verb == protocol.VerbStart && (t == nil || t.ended && t.attempt != c.Attempt):
			w.tasks[c.Task] = &workerTask{attempt: c.Attempt, began: time.Now()}
			if w.Started != nil {
				w.Started(c.Task, c.Attempt)
			}
		case c.Verb == protocol.VerbStop && t != nil && t.attempt == c.Attempt && !t.ended:
			t.ended, t.cause = true, string(protocol.CauseStopped)
		case c.Verb == protocol.VerbForget && t != nil && t.attempt == c.Attempt && t.ended:
			delete(w.tasks, c.Task)
		}
	}
}
