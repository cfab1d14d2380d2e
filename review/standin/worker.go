package standin

import (
	"bytes"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"dunestand/internal/protocol"
)

// Times that the worker protocol fixes.
const (
	reportTimeout = 4 * time.Second
	retryDelay    = time.Second
	minReportGap  = 500 * time.Millisecond
	tick          = 20 * time.Millisecond
)

// Job is what a worker knows of a submitted job.
type Job struct {
	Tasks   int
	CPUs    float64
	Run     time.Duration // of each task; 0: until it is stopped
	Fetch   time.Duration // of the image
	Service bool
}

// Jobs is the store of job descriptions to which users upload them.
type Jobs struct {
	mu   sync.Mutex
	jobs map[string]Job
}

// Put adds a job.
func (j *Jobs) Put(id string, job Job) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.jobs == nil {
		j.jobs = map[string]Job{}
	}
	j.jobs[id] = job
}

func (j *Jobs) get(id string) (Job, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	job, ok := j.jobs[id]
	return job, ok
}

// WorkerSettings are the settings that all workers share.
type WorkerSettings struct {
	Controllers map[string]string // addresses by name
	Report      time.Duration
	Lease       time.Duration
	Jobs        *Jobs
	Record      *Record
	// OnToken is called with each higher token that a worker sees.
	OnToken func(machine string, token uint64)
}

type task struct {
	attempt uint64
	job     Job
	stage   protocol.TaskStage
	cause   protocol.ExitCause
	next    time.Time // end of the stage; zero: none
}

// Worker is the agent on one machine and follows the worker protocol: sessions, leases, tokens,
// one report in flight, direct commands.
type Worker struct {
	WorkerSettings
	ID, Type, Zone, Endpoint string
	Spot                     bool
	CPUs                     float64

	listener net.Listener
	client   *http.Client

	mu         sync.Mutex
	gone       bool
	sick       bool
	session    uint64
	sequence   uint64
	token      uint64
	tokenEvent time.Time
	leaseFrom  time.Time
	changed    bool
	tasks      map[string]*task
	starts     int // starts that were not refused
	failures   int // tasks that failed
}

// StartWorker starts the worker of a machine.
func StartWorker(settings WorkerSettings, id, machineType, zone string, spot bool, cpus float64) (*Worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &Worker{
		WorkerSettings: settings, ID: id, Type: machineType, Zone: zone, Spot: spot, CPUs: cpus,
		Endpoint: listener.Addr().String(), listener: listener, client: &http.Client{Timeout: reportTimeout},
		session: 1, leaseFrom: time.Now(), tasks: map[string]*task{},
	}
	server := &http.Server{Handler: http.HandlerFunc(w.serve)}
	go func() { _ = server.Serve(listener) }()
	go w.advanceLoop()
	go w.reportLoop()
	return w, nil
}

// Kill ends the machine with all tasks on it.
func (w *Worker) Kill(why string) (lost []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gone {
		return nil
	}
	for _, name := range slices.Sorted(maps.Keys(w.tasks)) {
		if t := w.tasks[name]; t.stage == protocol.TaskRunning {
			lost = append(lost, name)
			w.Record.Printf("machine %s: task %s attempt %d lost, %s", w.ID, name, t.attempt, why)
		}
	}
	w.gone = true
	clear(w.tasks)
	_ = w.listener.Close()
	return lost
}

// SetSick makes the machine fail every task that it starts, or ends that.
func (w *Worker) SetSick(sick bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sick = sick
}

// Running returns the names of the running tasks.
func (w *Worker) Running() (names []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, t := range w.tasks {
		if t.stage == protocol.TaskRunning {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Used returns the CPUs of all tasks that have not ended.
func (w *Worker) Used() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.usedLocked()
}

// Starts returns the number of starts that the machine did not refuse.
func (w *Worker) Starts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts
}

// Failures returns the number of tasks that failed.
func (w *Worker) Failures() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failures
}

func (w *Worker) usedLocked() (used float64) {
	for _, t := range w.tasks {
		if t.stage != protocol.TaskExited {
			used += t.job.CPUs
		}
	}
	return used
}

// advanceLoop ends stages of tasks and expires the lease.
func (w *Worker) advanceLoop() {
	for {
		time.Sleep(tick)
		w.mu.Lock()
		if w.gone {
			w.mu.Unlock()
			return
		}
		now := time.Now()
		if now.Sub(w.leaseFrom) > w.Lease {
			if len(w.tasks) > 0 {
				w.Record.Printf("machine %s: lease of session %d expired, %d tasks killed", w.ID, w.session, len(w.tasks))
			}
			clear(w.tasks)
			w.session++
			w.sequence, w.leaseFrom, w.changed = 0, now, true
		}
		for name, t := range w.tasks {
			if t.next.IsZero() || now.Before(t.next) {
				continue
			}
			t.next, w.changed = time.Time{}, true
			switch {
			case t.stage == protocol.TaskFetching && w.sick:
				t.stage, t.cause = protocol.TaskExited, protocol.CauseError
				w.failures++
				w.Record.Printf("machine %s: task %s attempt %d failed (the machine is sick)", w.ID, name, t.attempt)
			case t.stage == protocol.TaskFetching:
				t.stage = protocol.TaskRunning
				if t.job.Run > 0 {
					t.next = now.Add(t.job.Run)
				}
				w.Record.Printf("machine %s: task %s attempt %d runs", w.ID, name, t.attempt)
			case t.stage == protocol.TaskRunning:
				t.stage, t.cause = protocol.TaskExited, protocol.CauseDone
				w.Record.Printf("machine %s: task %s attempt %d done", w.ID, name, t.attempt)
			}
		}
		w.mu.Unlock()
	}
}

// report returns an encoded report with the next sequence number. w.mu must be held.
func (w *Worker) reportLocked() []byte {
	w.sequence++
	report := protocol.Heartbeat{
		Machine: w.ID, Endpoint: w.Endpoint, InstanceType: w.Type, Zone: w.Zone, Spot: w.Spot,
		Incarnation: w.session, Sequence: w.sequence, FencingToken: w.token,
	}
	for _, name := range slices.Sorted(maps.Keys(w.tasks)) {
		t := w.tasks[name]
		job, index, _ := strings.Cut(name, "/")
		number, _ := strconv.Atoi(index)
		report.Tasks = append(report.Tasks, protocol.TaskStatus{
			Job: job, Index: number, Attempt: t.attempt, Stage: t.stage, Cause: t.cause,
		})
	}
	return protocol.EncodeHeartbeat(&report)
}

// reportLoop reports to one controller, and to the next one after a failure.
func (w *Worker) reportLoop() {
	names := slices.Sorted(maps.Keys(w.Controllers))
	current := rand.IntN(len(names))
	for {
		w.mu.Lock()
		if w.gone {
			w.mu.Unlock()
			return
		}
		body, session, sent := w.reportLocked(), w.session, time.Now()
		w.changed = false
		w.mu.Unlock()
		status, answer := w.post(w.Controllers[names[current]], body)
		switch status {
		case http.StatusOK:
			w.accept(answer, session, sent)
			w.waitForNext(sent)
			continue
		case http.StatusMisdirectedRequest:
			var redirect protocol.LeaderRedirect
			_ = protocol.Decode(answer, &redirect)
			if next := slices.Index(names, redirect.Leader); next >= 0 && next != current {
				current = next
				w.client.CloseIdleConnections()
				time.Sleep(time.Duration(rand.Int64N(int64(minReportGap))))
				continue
			}
		}
		current = (current + 1) % len(names)
		time.Sleep(retryDelay)
	}
}

func (w *Worker) post(address string, body []byte) (status int, answer []byte) {
	response, err := w.client.Post("http://"+address+protocol.PathHeartbeat, "application/cbor", bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}

// accept executes the commands of a response, unless it is to be dropped.
func (w *Worker) accept(answer []byte, session uint64, sent time.Time) {
	var response protocol.HeartbeatResponse
	if protocol.Decode(answer, &response) != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gone || session != w.session || response.FencingToken == 0 || response.FencingToken < w.token {
		return
	}
	w.observeTokenLocked(response.FencingToken)
	w.leaseFrom = sent
	w.executeLocked(response.Commands)
}

func (w *Worker) observeTokenLocked(token uint64) {
	if token <= w.token {
		return
	}
	w.token = token
	if w.OnToken != nil {
		w.OnToken(w.ID, token)
	}
	if time.Since(w.tokenEvent) > w.Lease/2 {
		w.tokenEvent, w.changed = time.Now(), true
	}
}

// waitForNext returns when the next report is due.
func (w *Worker) waitForNext(sent time.Time) {
	due := sent.Add(time.Duration(float64(w.Report) * (0.75 + rand.Float64()/2)))
	for now := time.Now(); now.Before(due); now = time.Now() {
		w.mu.Lock()
		early := (w.changed || w.gone) && now.Sub(sent) >= minReportGap
		w.mu.Unlock()
		if early {
			return
		}
		time.Sleep(tick)
	}
}

// executeLocked executes commands in order. w.mu must be held.
func (w *Worker) executeLocked(commands []protocol.Command) {
	for _, c := range commands {
		t := w.tasks[c.Task]
		own := t != nil && t.attempt == c.Attempt
		switch {
		case c.Verb == protocol.VerbStart && !own:
			w.startLocked(c, t)
		case c.Verb == protocol.VerbStop && own && t.stage != protocol.TaskExited:
			w.Record.Printf("machine %s: task %s attempt %d stopped by command", w.ID, c.Task, c.Attempt)
			t.stage, t.cause, t.next, w.changed = protocol.TaskExited, protocol.CauseStopped, time.Time{}, true
		case c.Verb == protocol.VerbForget && own && t.stage == protocol.TaskExited:
			delete(w.tasks, c.Task)
		}
	}
}

func (w *Worker) startLocked(c protocol.Command, present *task) {
	if present != nil && present.stage != protocol.TaskExited {
		return
	}
	id, index, _ := strings.Cut(c.Task, "/")
	number, _ := strconv.Atoi(index)
	job, known := w.Jobs.get(id)
	t := &task{attempt: c.Attempt, job: job, stage: protocol.TaskExited}
	switch {
	case !known || number >= job.Tasks:
		t.cause = protocol.CauseNoSuchTask
	case w.usedLocked()+job.CPUs > w.CPUs:
		t.cause = protocol.CauseNoCapacity
	default:
		t.stage, t.next = protocol.TaskFetching, time.Now().Add(job.Fetch)
		w.starts++
	}
	w.Record.Printf("machine %s: start of %s attempt %d %s", w.ID, c.Task, c.Attempt, t.cause)
	w.tasks[c.Task], w.changed = t, true
}

// serve answers direct commands and requests for the status.
func (w *Worker) serve(rw http.ResponseWriter, r *http.Request) {
	raw, _ := io.ReadAll(r.Body)
	w.mu.Lock()
	if w.gone {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	status := http.StatusOK
	if r.URL.Path == protocol.PathCommands {
		var direct protocol.DirectCommands
		switch {
		case protocol.Decode(raw, &direct) != nil, direct.FencingToken == 0, direct.Incarnation == 0:
			status = http.StatusBadRequest
		case direct.FencingToken < w.token, direct.Incarnation != w.session:
			status = http.StatusConflict
		default:
			w.observeTokenLocked(direct.FencingToken)
			w.executeLocked(direct.Commands)
		}
	}
	body := w.reportLocked()
	w.mu.Unlock()
	rw.WriteHeader(status)
	_, _ = rw.Write(body)
}
