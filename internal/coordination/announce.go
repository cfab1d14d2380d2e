package coordination

import (
	"context"
	"math"
	"sync"

	"dunestand/internal/protocol"
	"dunestand/internal/transport"
	"dunestand/internal/units"
)

const (
	announceAfter = units.Second // workers that report often have come by then
	announceAgain = 4 * units.Second
	announceLeast = 4  // at once, in a small fleet
	announceShare = 32 // of the unconfirmed machines are told at once
)

// Bounds on the machines that are told something at once. They grow with the sockets that
// a node has, so that telling a fleet of 4,000 takes no longer than telling one of 800.
const (
	announceSocketShare = 64
	announceMost        = 24
	announceMostLarge   = 128
	directSocketShare   = 128
	directMost          = 16
	directMostLarge     = 64
)

// announceSlots is how many machines are told of the term at once.
func announceSlots(unconfirmed, maxConnections int) int {
	most := min(max(maxConnections/announceSocketShare, announceMost), announceMostLarge)
	return min(max(unconfirmed/announceShare, announceLeast), most)
}

// directSlots is how many machines are sent direct commands at once.
func directSlots(maxConnections int) int {
	return min(max(maxConnections/directSocketShare, directMost), directMostLarge)
}

// otherSockets are for links, the state service and the cloud.
const otherSockets = 24

// socketsKept are left for these and for direct commands of both sorts; the others are
// for users and workers.
func socketsKept(maxConnections int) int {
	return otherSockets + announceSlots(math.MaxInt32, maxConnections) + directSlots(maxConnections)
}

// announceCalls is how long each try waits. In a large fleet hundreds may be
// cut off or hang, and those that would answer must not wait behind them: an
// answer takes some milliseconds, so the first try is short.
var announceCalls = []units.Micros{300 * units.Millisecond, 1500 * units.Millisecond}

// announceLoop tells the machines that records name, and that have not reported
// yet, which term it is: by an empty list of direct commands, which has no
// effect at any later time but to show the worker our term. The answer is a
// report that tells what the machine holds, and the worker looks for the new
// leader at once instead of when its next report is due.
func (t *Term) announceLoop(ctx context.Context) {
	caller := transport.NewCaller(t.Dial, protocol.MaxBody)
	at := map[string]units.Micros{}
	tries := map[string]int{}
	var wg sync.WaitGroup
	defer wg.Wait()
	for wait := announceAfter; pause(ctx, wait); wait = cloudTick {
		if !t.Lease.Valid(t.number) {
			continue
		}
		open, endpoints := t.unannounced()
		if !open {
			return
		}
		now := t.Clock.Steady()
		slots := make(chan struct{}, announceSlots(len(endpoints), t.Settings.Fleet.Resources.MaxConnections))
		for _, id := range sortedKeys(endpoints) {
			if tries[id] >= len(announceCalls) || tries[id] > 0 && now-at[id] < announceAgain {
				continue
			}
			limit := announceCalls[tries[id]]
			tries[id]++
			at[id] = now
			select {
			case slots <- struct{}{}:
			case <-ctx.Done():
				return
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				t.announce(ctx, caller, id, endpoints[id], limit)
				<-slots
			}()
		}
	}
}

// unannounced gives the endpoints of machines that are unconfirmed and have not
// reported in this term, and whether any machine is unconfirmed at all.
func (t *Term) unannounced() (open bool, endpoints map[string]string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	endpoints = map[string]string{}
	for _, id := range t.ledger.UnreconciledMachines() {
		if m := t.ledger.Machines[id]; m != nil && !m.Registered && !m.Releasing && m.Endpoint != "" {
			endpoints[id] = m.Endpoint
		}
	}
	return t.ledger.UnreconciledCount() > 0, endpoints
}

func (t *Term) announce(ctx context.Context, caller *transport.Caller, id, endpoint string, limit units.Micros) {
	session := uint64(1) // of most machines; else the answer tells
	for range 2 {
		body := protocol.Encode(protocol.DirectCommands{
			FencingToken: t.number,
			Incarnation:  session,
			Commands:     []protocol.Command{},
		})
		status, raw, err := caller.Post(ctx, endpoint, protocol.PathCommands, body, limit)
		if err != nil {
			t.Log.Debug("machine not told of the term", "machine", id, "error", err)
			return
		}
		r, err := protocol.ParseHeartbeat(raw)
		if err != nil || r.Machine != id {
			return
		}
		if status == 200 {
			t.announced(r)
			return
		}
		session = r.Incarnation
	}
}

// announced takes in the report that a machine sent for direct commands. Only
// the first word of a machine may come this way: once it has reported by
// itself, an answer may be on its way to it that this report does not show.
func (t *Term) announced(r *protocol.Heartbeat) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.ledger.Machines[r.Machine]; m != nil && !m.Registered && t.Lease.Valid(t.number) {
		t.observe(r, t.Clock.Steady())
	}
}
