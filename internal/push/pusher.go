// Package push sends to machines what must not wait for their next heartbeat: urgent commands
// (CommandPusher) and a new leader's fencing token (TokenBroadcaster).
//
// Starts are sent only in responses to heartbeats, since a command that is sent directly to a worker
// may be carried out minutes later. As the next heartbeat may be seconds away, two kinds of commands
// are pushed that are harmless when late or repeated:
//
//   - A stop: the stop of an attempt is never revoked. The end of the task makes the worker send a
//     heartbeat.
//   - A wake command, for a machine that a start is waiting for: the start of a task that the job
//     does not have. The worker always refuses it, and the refusal makes it send a heartbeat. The
//     response to that heartbeat carries the real start.
package push

import (
	"context"
	"log/slog"
	"net/http"
	"sync"

	"dunestand/internal/cluster"
	"dunestand/internal/config"
	"dunestand/internal/election"
	"dunestand/internal/loop"
	"dunestand/internal/protocol"
	"dunestand/internal/sorted"
	"dunestand/internal/transport"
	"dunestand/internal/units"
)

// CommandPusherDeps holds the dependencies of a CommandPusher.
type CommandPusherDeps struct {
	State      *cluster.State
	Leadership election.Leadership
	Settings   *config.Settings
	Log        *slog.Logger
	Dial       transport.DialFunc
	Token      uint64 // the leader's fencing token
}

// CommandPusher sends commands directly to machines whose next heartbeat is not due soon. Create it
// with NewCommandPusher. Callers of RequestPush must hold the lock of State; the other methods
// acquire it.
type CommandPusher struct {
	CommandPusherDeps

	// requests holds, by ID, the machines to which commands are to be pushed, each with a job that
	// has a task to start there, or nil. The lock of State guards it.
	requests   map[string]*cluster.Job
	pushSignal loop.Signal
}

// NewCommandPusher returns a pusher without requests.
func NewCommandPusher(deps CommandPusherDeps) *CommandPusher {
	return &CommandPusher{
		CommandPusherDeps: deps,
		requests:          map[string]*cluster.Job{},
		pushSignal:        loop.NewSignal(),
	}
}

const (
	pushTimeout = units.Second
	minPushLead = units.Second // a heartbeat that is due within this time makes a push unnecessary
)

// RequestPush requests that the pending stops of a machine be sent before its next heartbeat. If a
// task of jobToStart is to be started there, the machine is also woken to send a heartbeat;
// jobToStart is nil if there is no such task. RequestPush does nothing if the machine cannot be
// called or its next heartbeat is due within minPushLead.
func (p *CommandPusher) RequestPush(m *cluster.Machine, jobToStart *cluster.Job, now units.Micros) {
	if m.Endpoint == "" || m.LastHeartbeat+p.Settings.Fleet.Workers.HeartbeatInterval()-now <= minPushLead {
		return
	}
	if _, requested := p.requests[m.ID]; !requested || jobToStart != nil {
		p.requests[m.ID] = jobToStart
	}
	p.pushSignal.Raise()
}

// TakeRequests removes and returns the pending requests. The result maps the ID of each machine to a
// job that has a task to start there, or to nil.
func (p *CommandPusher) TakeRequests() map[string]*cluster.Job {
	p.State.Lock()
	defer p.State.Unlock()
	requests := p.requests
	p.requests = map[string]*cluster.Job{}
	return requests
}

// Run pushes commands as they are requested. It returns when ctx ends, after the calls in flight have
// ended.
func (p *CommandPusher) Run(ctx context.Context) {
	caller := transport.NewCaller(p.Dial, protocol.MaxBodyBytes)
	slots := make(chan struct{}, pushConcurrency(p.Settings.Fleet.Resources.MaxConnections))
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.pushSignal:
		}
		requests := p.TakeRequests()
		for _, id := range sorted.Keys(requests) {
			if !acquireSlot(ctx, slots) {
				return
			}
			calls.Go(func() {
				defer func() { <-slots }()
				p.push(ctx, caller, id, requests[id])
			})
		}
	}
}

// acquireSlot waits for a free slot. It returns false if ctx ends first.
func acquireSlot(ctx context.Context, slots chan<- struct{}) bool {
	select {
	case slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// push sends the urgent commands of a machine, if there are any.
func (p *CommandPusher) push(ctx context.Context, caller *transport.Caller, id string, jobToStart *cluster.Job) {
	endpoint, body := p.Commands(id, jobToStart)
	if body == nil {
		return
	}
	status, _, err := caller.Post(ctx, endpoint, protocol.PathCommands, body, pushTimeout)
	if err != nil || status != http.StatusOK {
		p.Log.Debug("pushed commands not accepted", "machine", id, "status", status, "error", err)
	}
}

// Commands returns the endpoint of a machine and its urgent commands, encoded. The body is nil if
// there are none, if the machine has not shown this leader's fencing token, or if this leader's lease
// is not valid. jobToStart is a job that has a task to start there, or nil.
func (p *CommandPusher) Commands(id string, jobToStart *cluster.Job) (endpoint string, body []byte) {
	p.State.Lock()
	defer p.State.Unlock()
	m := p.State.Machines[id]
	if m == nil || m.FencingToken != p.Token || !p.Leadership.Valid() {
		return "", nil
	}
	commands := stopCommands(m)
	if jobToStart != nil && jobToStart.Spec.Tasks < protocol.MaxTasks {
		commands = append(commands, p.wakeCommand(jobToStart))
	}
	if len(commands) == 0 {
		return "", nil
	}
	return m.Endpoint, protocol.Encode(protocol.DirectCommands{
		FencingToken: p.Token,
		Incarnation:  m.Incarnation,
		Commands:     commands,
	})
}

// stopCommands returns the stops for the attempts on a machine that are to be stopped, at most
// protocol.MaxCommands.
func stopCommands(m *cluster.Machine) []protocol.Command {
	var stops []protocol.Command
	for _, attempt := range m.SortedAttempts() {
		if len(stops) == protocol.MaxCommands {
			break
		}
		switch {
		case attempt.Job.Cancelled && attempt.Stage != cluster.Assigned:
			stops = append(stops, protocol.StopCommand(attempt.TaskName(), attempt.Number, 0))
		case attempt.Stopping && (attempt.Stage == cluster.Running || attempt.Stage == cluster.Fetching):
			stops = append(stops, protocol.StopCommand(attempt.TaskName(), attempt.Number, attempt.GracePeriod))
		}
	}
	return stops
}

// wakeCommand returns the start of a task that the job does not have: its index is one past the last.
func (p *CommandPusher) wakeCommand(job *cluster.Job) protocol.Command {
	return protocol.Command{
		Verb:    protocol.VerbStart,
		Task:    protocol.TaskName(job.Spec.ID, job.Spec.Tasks),
		Attempt: p.State.NextAttempt(p.Token),
	}
}
