package coordination

import (
	"context"
	"sync"

	"dunestand/internal/bookkeeping"
	"dunestand/internal/protocol"
	"dunestand/internal/transport"
	"dunestand/internal/units"
)

// Starts travel only in answers to reports, since a command that is sent straight
// to a worker may be carried out minutes later. A stop may come late, or twice:
// its attempt was to be stopped for good. So where the next report is some time
// away, room that a task must leave for an urgent one is asked for at once. The
// end of the task makes its worker report, and the answer brings the start.

const (
	stopCall     = units.Second
	stopsAtATime = 16
	stopsWorth   = units.Second // a report that is due sooner carries the stop
)

// stopSoon notes that tasks on a machine are to be stopped without waiting for
// its next report.
func (t *Term) stopSoon(m *bookkeeping.Machine, now units.Micros) {
	if m.Endpoint != "" && m.LastAnswered+t.Settings.Fleet.Workers.Report()-now > stopsWorth {
		t.stops[m.ID] = true
		kick(t.kickStops)
	}
}

// stopLoop sends stops to machines.
func (t *Term) stopLoop(ctx context.Context) {
	caller := transport.NewCaller(protocol.MaxBody)
	slots := make(chan struct{}, stopsAtATime)
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.kickStops:
		}
		t.mu.Lock()
		machines := sortedKeys(t.stops)
		clear(t.stops)
		t.mu.Unlock()
		for _, id := range machines {
			select {
			case slots <- struct{}{}:
			case <-ctx.Done():
				return
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				defer func() { <-slots }()
				endpoint, body := t.stopsFor(id)
				if body == nil {
					return
				}
				if status, _, err := caller.Post(ctx, endpoint, protocol.PathCommands, body, stopCall); err != nil || status != 200 {
					t.Log.Debug("stops not taken", "machine", id, "status", status, "error", err)
				}
			}()
		}
	}
}

// stopsFor gives the stops for a machine as direct commands, and where to send
// them.
func (t *Term) stopsFor(id string) (endpoint string, body []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.ledger.Machines[id]
	if m == nil || !m.Settled || !t.Lease.Valid(t.number) {
		return "", nil
	}
	var stops []protocol.Command
	for _, a := range m.Sorted() {
		if a.Stop && (a.Stage == bookkeeping.Running || a.Stage == bookkeeping.Fetching) && len(stops) < protocol.MaxCommands {
			stops = append(stops, stopCommand(a.Task(), a.Number, a.Grace))
		}
	}
	if len(stops) == 0 {
		return "", nil
	}
	return m.Endpoint, protocol.Encode(protocol.DirectCommands{Term: t.number, Session: m.Session, Commands: stops})
}
