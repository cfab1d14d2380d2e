package coordination

import (
	"context"
	"sync"

	"dunestand/internal/cluster"
	"dunestand/internal/protocol"
	"dunestand/internal/transport"
	"dunestand/internal/units"
)

// Starts travel only in answers to reports, since a command that is sent straight
// to a worker may be carried out minutes later. But a report may be seconds away,
// and what is urgent need not wait for it:
//
//   - A stop may come late, or twice: its attempt was to be stopped for good. The
//     end of the task makes the worker report.
//   - To have a machine report that is to start something, it is woken by the start
//     of a task that its job does not have. It refuses that, whenever it comes, and
//     the refusal makes it report; the answer brings the real start.

const (
	directCall  = units.Second
	directWorth = units.Second // a report that is due sooner is waited for
)

// requestDirect notes that a machine is to be told something before its next report:
// which tasks to stop, and, if a task of a job waits to be started there, to
// report.
func (t *Term) requestDirect(m *cluster.Machine, starts *cluster.Job, now units.Micros) {
	if m.Endpoint == "" || m.LastHeartbeat+t.Settings.Fleet.Workers.Report()-now <= directWorth {
		return
	}
	if t.directRequests[m.ID] == nil || starts != nil {
		t.directRequests[m.ID] = &directRequest{starts}
	}
	signal(t.directSignal)
}

// directRequest is why a machine is told something before its next report.
type directRequest struct{ starts *cluster.Job }

// directLoop tells machines what cannot wait.
func (t *Term) directLoop(ctx context.Context) {
	caller := transport.NewCaller(t.Dial, protocol.MaxBody)
	slots := make(chan struct{}, directSlots(t.Settings.Fleet.Resources.MaxConnections))
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.directSignal:
		}
		t.mu.Lock()
		machines := t.directRequests
		t.directRequests = map[string]*directRequest{}
		t.mu.Unlock()
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
				endpoint, body := t.direct(id, machines[id].starts)
				if body == nil {
					return
				}
				if status, _, err := caller.Post(ctx, endpoint, protocol.PathCommands, body, directCall); err != nil || status != 200 {
					t.Log.Debug("direct commands not taken", "machine", id, "status", status, "error", err)
				}
			}()
		}
	}
}

// direct gives the commands for a machine that cannot wait, and where to send
// them.
func (t *Term) direct(id string, starts *cluster.Job) (endpoint string, body []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.ledger.Machines[id]
	if m == nil || m.FencingToken != t.number || !t.Lease.Valid(t.number) {
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
		t.attempts++
		out = append(out, protocol.Command{
			Verb:    protocol.VerbStart,
			Task:    protocol.TaskName(starts.Spec.ID, starts.Spec.Tasks),
			Attempt: t.number<<32 | t.attempts,
		})
	}
	if len(out) == 0 {
		return "", nil
	}
	return m.Endpoint, protocol.Encode(protocol.DirectCommands{
		FencingToken: t.number,
		Incarnation:  m.Incarnation,
		Commands:     out,
	})
}
