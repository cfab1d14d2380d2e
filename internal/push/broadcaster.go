package push

import (
	"context"
	"log/slog"
	"math"
	"sync"

	"dunestand/internal/cluster"
	"dunestand/internal/config"
	"dunestand/internal/election"
	"dunestand/internal/loop"
	"dunestand/internal/protocol"
	"dunestand/internal/reconciler"
	"dunestand/internal/sorted"
	"dunestand/internal/transport"
	"dunestand/internal/units"
)

// TokenBroadcasterDeps is what a TokenBroadcaster works with.
type TokenBroadcasterDeps struct {
	State      *cluster.State
	Leadership election.Leadership
	Reconciler *reconciler.Reconciler
	Settings   *config.Settings
	Clock      units.Clock
	Log        *slog.Logger
	Dial       transport.DialFunc
	Token      uint64
}

// TokenBroadcaster makes a new leader's fencing token known to machines that the records
// name and that have not sent a heartbeat yet.
type TokenBroadcaster struct {
	TokenBroadcasterDeps
}

func NewTokenBroadcaster(deps TokenBroadcasterDeps) *TokenBroadcaster {
	return &TokenBroadcaster{
		TokenBroadcasterDeps: deps,
	}
}

const (
	broadcastInterval   = 500 * units.Millisecond // between looks for machines that are still to be told
	broadcastDelay      = units.Second            // workers that report often have come by then
	broadcastRetryDelay = 4 * units.Second
	minBroadcastCalls   = 4  // at once, in a small fleet
	broadcastShare      = 32 // of the unconfirmed machines are told at once
)

// Bounds on the machines that are told something at once. They grow with the sockets that
// a node has, so that telling a fleet of 4,000 takes no longer than telling one of 800.
const (
	broadcastSocketShare   = 64
	maxBroadcastCalls      = 24
	maxBroadcastCallsLarge = 128
	pushSocketShare        = 128
	maxPushCalls           = 16
	maxPushCallsLarge      = 64
)

// BroadcastSlots is how many machines are told of the term at once.
func BroadcastSlots(unconfirmed, maxConnections int) int {
	most := min(max(maxConnections/broadcastSocketShare, maxBroadcastCalls), maxBroadcastCallsLarge)
	return min(max(unconfirmed/broadcastShare, minBroadcastCalls), most)
}

// pushSlots is how many machines are sent direct commands at once.
func pushSlots(maxConnections int) int {
	return min(max(maxConnections/pushSocketShare, maxPushCalls), maxPushCallsLarge)
}

// otherSockets are for links, the state service and the cloud.
const otherSockets = 24

// ReservedSockets are left for these and for direct commands of both sorts; the others are
// for users and workers.
func ReservedSockets(maxConnections int) int {
	return otherSockets + BroadcastSlots(math.MaxInt32, maxConnections) + pushSlots(maxConnections)
}

// broadcastTimeouts is how long each try waits. In a large fleet hundreds may be
// cut off or hang, and those that would answer must not wait behind them: an
// answer takes some milliseconds, so the first try is short.
var broadcastTimeouts = []units.Micros{300 * units.Millisecond, 1500 * units.Millisecond}

// Run tells the machines that records name, and that have not reported
// yet, which term it is: by an empty list of direct commands, which has no
// effect at any later time but to show the worker our term. The answer is a
// report that tells what the machine holds, and the worker looks for the new
// leader at once instead of when its next report is due.
func (b *TokenBroadcaster) Run(ctx context.Context) {
	caller := transport.NewCaller(b.Dial, protocol.MaxBody)
	at := map[string]units.Micros{}
	tries := map[string]int{}
	var wg sync.WaitGroup
	defer wg.Wait()
	for wait := broadcastDelay; loop.Sleep(ctx, wait); wait = broadcastInterval {
		if !b.Leadership.Valid() {
			continue
		}
		open, endpoints := b.broadcastTargets()
		if !open {
			return
		}
		now := b.Clock.Steady()
		slots := make(chan struct{}, BroadcastSlots(len(endpoints), b.Settings.Fleet.Resources.MaxConnections))
		for _, id := range sorted.Keys(endpoints) {
			if tries[id] >= len(broadcastTimeouts) || tries[id] > 0 && now-at[id] < broadcastRetryDelay {
				continue
			}
			limit := broadcastTimeouts[tries[id]]
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
				b.broadcastTo(ctx, caller, id, endpoints[id], limit)
				<-slots
			}()
		}
	}
}

// broadcastTargets gives the endpoints of machines that are unconfirmed and have not
// reported in this term, and whether any machine is unconfirmed at all.
func (b *TokenBroadcaster) broadcastTargets() (open bool, endpoints map[string]string) {
	b.State.Lock()
	defer b.State.Unlock()
	endpoints = map[string]string{}
	for _, id := range b.State.Unreconciled.Machines() {
		if m := b.State.Machines[id]; m != nil && !m.Registered && !m.Releasing && m.Endpoint != "" {
			endpoints[id] = m.Endpoint
		}
	}
	return b.State.Unreconciled.Len() > 0, endpoints
}

func (b *TokenBroadcaster) broadcastTo(ctx context.Context, caller *transport.Caller, id, endpoint string, limit units.Micros) {
	session := uint64(1) // of most machines; else the answer tells
	for range 2 {
		body := protocol.Encode(protocol.DirectCommands{
			FencingToken: b.Token,
			Incarnation:  session,
			Commands:     []protocol.Command{},
		})
		status, raw, err := caller.Post(ctx, endpoint, protocol.PathCommands, body, limit)
		if err != nil {
			b.Log.Debug("machine not told of the term", "machine", id, "error", err)
			return
		}
		r, err := protocol.ParseHeartbeat(raw)
		if err != nil || r.Machine != id {
			return
		}
		if status == 200 {
			b.Answered(r)
			return
		}
		session = r.Incarnation
	}
}

// Answered takes in the report that a machine sent for direct commands. Only
// the first word of a machine may come this way: once it has reported by
// itself, an answer may be on its way to it that this report does not show.
func (b *TokenBroadcaster) Answered(r *protocol.Heartbeat) {
	b.State.Lock()
	defer b.State.Unlock()
	if m := b.State.Machines[r.Machine]; m != nil && !m.Registered && b.Leadership.Valid() {
		b.Reconciler.Reconcile(r, b.Clock.Steady())
	}
}
