package coordination

import (
	"context"
	"log/slog"
	"sync"

	"dunestand/internal/cluster"
	"dunestand/internal/config"
	"dunestand/internal/protocol"
	"dunestand/internal/transport"
	"dunestand/internal/units"
)

// CommandPusher sends commands straight to machines whose next heartbeat is too far away.
type CommandPusher struct {
	state      *cluster.State
	leadership Leadership
	settings   *config.Settings
	log        *slog.Logger
	dial       transport.DialFunc
	token      uint64

	// pushRequests holds, by machine, what is to be pushed; guarded by the lock of state.
	pushRequests map[string]*pushRequest
	pushSignal   chan struct{}
}

func newCommandPusher(l *Leader) *CommandPusher {
	return &CommandPusher{
		state:        l.state,
		leadership:   l.leadership,
		settings:     l.Settings,
		log:          l.Log,
		dial:         l.Dial,
		token:        l.token,
		pushRequests: map[string]*pushRequest{},
		pushSignal:   make(chan struct{}, 1),
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

// requestPush notes that a machine is to be told something before its next report:
// which tasks to stop, and, if a task of a job waits to be started there, to
// report.
func (p *CommandPusher) requestPush(m *cluster.Machine, starts *cluster.Job, now units.Micros) {
	if m.Endpoint == "" || m.LastHeartbeat+p.settings.Fleet.Workers.Report()-now <= minPushLead {
		return
	}
	if p.pushRequests[m.ID] == nil || starts != nil {
		p.pushRequests[m.ID] = &pushRequest{starts}
	}
	raise(p.pushSignal)
}

// pushRequest is why a machine is told something before its next report.
type pushRequest struct{ startOf *cluster.Job }

// pushLoop tells machines what cannot wait.
func (p *CommandPusher) pushLoop(ctx context.Context) {
	caller := transport.NewCaller(p.dial, protocol.MaxBody)
	slots := make(chan struct{}, pushSlots(p.settings.Fleet.Resources.MaxConnections))
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.pushSignal:
		}
		p.state.Lock()
		machines := p.pushRequests
		p.pushRequests = map[string]*pushRequest{}
		p.state.Unlock()
		for _, id := range sortedKeys(machines) {
			select {
			case slots <- struct{}{}:
			case <-ctx.Done():
				return
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				defer func() { <-slots }()
				endpoint, body := p.pushCommands(id, machines[id].startOf)
				if body == nil {
					return
				}
				if status, _, err := caller.Post(ctx, endpoint, protocol.PathCommands, body, pushTimeout); err != nil || status != 200 {
					p.log.Debug("direct commands not taken", "machine", id, "status", status, "error", err)
				}
			}()
		}
	}
}

// pushCommands gives the commands for a machine that cannot wait, and where to send
// them.
func (p *CommandPusher) pushCommands(id string, starts *cluster.Job) (endpoint string, body []byte) {
	p.state.Lock()
	defer p.state.Unlock()
	m := p.state.Machines[id]
	if m == nil || m.FencingToken != p.token || !p.leadership.Valid() {
		return "", nil
	}
	var out []protocol.Command
	for _, a := range m.SortedAttempts() {
		if len(out) == protocol.MaxCommands {
			break
		}
		switch {
		case a.Job.Cancelled && a.Stage != cluster.Assigned:
			out = append(out, stopCommand(a.TaskName(), a.Number, 0))
		case a.Stopping && (a.Stage == cluster.Running || a.Stage == cluster.Fetching):
			out = append(out, stopCommand(a.TaskName(), a.Number, a.GracePeriod))
		}
	}
	if starts != nil && starts.Spec.Tasks < protocol.MaxTasks {
		out = append(out, protocol.Command{
			Verb:    protocol.VerbStart,
			Task:    protocol.TaskName(starts.Spec.ID, starts.Spec.Tasks),
			Attempt: p.state.NextAttempt(p.token),
		})
	}
	if len(out) == 0 {
		return "", nil
	}
	return m.Endpoint, protocol.Encode(protocol.DirectCommands{
		FencingToken: p.token,
		Incarnation:  m.Incarnation,
		Commands:     out,
	})
}
