// Package push sends machines what cannot wait for their next heartbeat: commands, and a new
// leader's fencing token.
package push

import (
	"context"
	"log/slog"
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
	Token      uint64
}

// CommandPusher sends commands straight to machines whose next heartbeat is too far away.
type CommandPusher struct {
	CommandPusherDeps

	// requests names the machines that are to be told something before their next
	// heartbeat, each with a job of which a task waits to be started there, or nil. The
	// lock of State guards it.
	requests   map[string]*cluster.Job
	pushSignal loop.Signal
}

func NewCommandPusher(deps CommandPusherDeps) *CommandPusher {
	return &CommandPusher{
		CommandPusherDeps: deps,
		requests:          map[string]*cluster.Job{},
		pushSignal:        loop.NewSignal(),
	}
}

// Placements travel only in answers to reports, since a command that is sent straight
// to a worker may be carried out minutes later. But a report may be seconds away,
// and what is urgent need not wait for it:
//
//   - A stop may come late, or twice: its attempt was to be stopped for good. The
//     end of the task makes the worker report.
//   - To have a machine report that is to start something, it is woken by the start
//     of a task that its job does not have. It refuses that, whenever it comes, and
//     the refusal makes it report; the answer brings the real start.

const (
	pushTimeout = units.Second
	minPushLead = units.Second // a report that is due sooner is waited for
)

// RequestPush notes that a machine is to be told something before its next report:
// which tasks to stop, and, if a task of a job waits to be started there, to
// report.
func (p *CommandPusher) RequestPush(m *cluster.Machine, starts *cluster.Job, now units.Micros) {
	if m.Endpoint == "" || m.LastHeartbeat+p.Settings.Fleet.Workers.Report()-now <= minPushLead {
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

// Run tells machines what cannot wait.
func (p *CommandPusher) Run(ctx context.Context) {
	caller := transport.NewCaller(p.Dial, protocol.MaxBody)
	slots := make(chan struct{}, pushSlots(p.Settings.Fleet.Resources.MaxConnections))
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.pushSignal:
		}
		machines := p.TakeRequests()
		for _, id := range sorted.Keys(machines) {
			select {
			case slots <- struct{}{}:
			case <-ctx.Done():
				return
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				defer func() { <-slots }()
				endpoint, body := p.Commands(id, machines[id])
				if body == nil {
					return
				}
				if status, _, err := caller.Post(ctx, endpoint, protocol.PathCommands, body, pushTimeout); err != nil || status != 200 {
					p.Log.Debug("direct commands not taken", "machine", id, "status", status, "error", err)
				}
			}()
		}
	}
}

// Commands gives the commands for a machine that cannot wait, and where to send
// them.
func (p *CommandPusher) Commands(id string, starts *cluster.Job) (endpoint string, body []byte) {
	p.State.Lock()
	defer p.State.Unlock()
	m := p.State.Machines[id]
	if m == nil || m.FencingToken != p.Token || !p.Leadership.Valid() {
		return "", nil
	}
	var out []protocol.Command
	for _, a := range m.SortedAttempts() {
		if len(out) == protocol.MaxCommands {
			break
		}
		switch {
		case a.Job.Cancelled && a.Stage != cluster.Assigned:
			out = append(out, protocol.StopCommand(a.TaskName(), a.Number, 0))
		case a.Stopping && (a.Stage == cluster.Running || a.Stage == cluster.Fetching):
			out = append(out, protocol.StopCommand(a.TaskName(), a.Number, a.GracePeriod))
		}
	}
	if starts != nil && starts.Spec.Tasks < protocol.MaxTasks {
		out = append(out, protocol.Command{
			Verb:    protocol.VerbStart,
			Task:    protocol.TaskName(starts.Spec.ID, starts.Spec.Tasks),
			Attempt: p.State.NextAttempt(p.Token),
		})
	}
	if len(out) == 0 {
		return "", nil
	}
	return m.Endpoint, protocol.Encode(protocol.DirectCommands{
		FencingToken: p.Token,
		Incarnation:  m.Incarnation,
		Commands:     out,
	})
}
