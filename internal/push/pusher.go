// Package push sends machines what cannot wait for their next heartbeat: commands
// (CommandPusher), and a new leader's fencing token (TokenBroadcaster).
//
// Placements travel only in responses to heartbeats, since a command that is sent straight
// to a worker may be carried out minutes later. But a heartbeat may be seconds away,
// and what is urgent need not wait for it:
//
//   - A stop may come late, or twice: its attempt was to be stopped for good. The
//     end of the task makes the worker send a heartbeat.
//   - To have a machine send a heartbeat that is to start something, it is woken by the start
//     of a task that its job does not have. It refuses that, whenever it comes, and
//     the refusal makes it send one; the response brings the real start.
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

// CommandPusherDeps is what a CommandPusher works with.
type CommandPusherDeps struct {
	State      *cluster.State
	Leadership election.Leadership
	Settings   *config.Settings
	Log        *slog.Logger
	Dial       transport.DialFunc
	Token      uint64 // the leader's fencing token
}

// CommandPusher sends commands straight to machines whose next heartbeat is too far away.
// Make it with NewCommandPusher. RequestPush needs the lock of State held; the other methods
// take it.
type CommandPusher struct {
	CommandPusherDeps

	// requests names the machines that are to be sent something before their next
	// heartbeat, each with a job of which a task waits to be started there, or nil. The
	// lock of State guards it.
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
	minPushLead = units.Second // a heartbeat that is due sooner is waited for
)

// RequestPush requests that a machine be sent commands before its next heartbeat:
// which tasks to stop, and, if a task of the job starts waits to be started there, to
// send a heartbeat. starts is nil if none does.
func (p *CommandPusher) RequestPush(m *cluster.Machine, starts *cluster.Job, now units.Micros) {
	if m.Endpoint == "" || m.LastHeartbeat+p.Settings.Fleet.Workers.HeartbeatInterval()-now <= minPushLead {
		return
	}
	if _, requested := p.requests[m.ID]; !requested || starts != nil {
		p.requests[m.ID] = starts
	}
	p.pushSignal.Raise()
}

// TakeRequests returns the requests made since the last call, by machine: a job of which a
// task waits to be started there, or nil.
func (p *CommandPusher) TakeRequests() map[string]*cluster.Job {
	p.State.Lock()
	defer p.State.Unlock()
	requests := p.requests
	p.requests = map[string]*cluster.Job{}
	return requests
}

// Run pushes commands as they are requested. It returns when ctx ends, after the calls that
// are on their way.
func (p *CommandPusher) Run(ctx context.Context) {
	caller := transport.NewCaller(p.Dial, protocol.MaxBodyBytes)
	slots := make(chan struct{}, pushSlots(p.Settings.Fleet.Resources.MaxConnections))
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

// acquireSlot waits for a slot and reports whether it has one: not if ctx ends first.
func acquireSlot(ctx context.Context, slots chan<- struct{}) bool {
	select {
	case slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// push sends a machine the commands that cannot wait, if there are any.
func (p *CommandPusher) push(ctx context.Context, caller *transport.Caller, id string, starts *cluster.Job) {
	endpoint, body := p.Commands(id, starts)
	if body == nil {
		return
	}
	status, _, err := caller.Post(ctx, endpoint, protocol.PathCommands, body, pushTimeout)
	if err != nil || status != http.StatusOK {
		p.Log.Debug("pushed commands not accepted", "machine", id, "status", status, "error", err)
	}
}

// Commands returns the commands for a machine that cannot wait, encoded, and where to send
// them; nil if there are none. starts is a job of which a task waits to be started there, or
// nil.
func (p *CommandPusher) Commands(id string, starts *cluster.Job) (endpoint string, body []byte) {
	p.State.Lock()
	defer p.State.Unlock()
	m := p.State.Machines[id]
	if m == nil || m.FencingToken != p.Token || !p.Leadership.Valid() {
		return "", nil
	}
	commands := stopCommands(m)
	if starts != nil && starts.Spec.Tasks < protocol.MaxTasks {
		commands = append(commands, p.wakeCommand(starts))
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

// stopCommands returns the stops for the tasks on a machine that are not wanted any more.
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

// wakeCommand returns the start of a task that a job does not have: one beyond its last.
func (p *CommandPusher) wakeCommand(job *cluster.Job) protocol.Command {
	return protocol.Command{
		Verb:    protocol.VerbStart,
		Task:    protocol.TaskName(job.Spec.ID, job.Spec.Tasks),
		Attempt: p.State.NextAttempt(p.Token),
	}
}
