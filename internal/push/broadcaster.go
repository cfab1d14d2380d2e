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
	"dunestand/internal/reconciler"
	"dunestand/internal/sorted"
	"dunestand/internal/transport"
	"dunestand/internal/units"
)

// TokenBroadcasterDeps holds the dependencies of a TokenBroadcaster.
type TokenBroadcasterDeps struct {
	State      *cluster.State
	Leadership election.Leadership
	Reconciler *reconciler.Reconciler
	Settings   *config.Settings
	Clock      units.Clock
	Log        *slog.Logger
	Dial       transport.DialFunc
	Token      uint64 // the leader's fencing token
}

// TokenBroadcaster sends a new leader's fencing token to the machines that are named in the records
// and have not sent a heartbeat to this leader yet. Create it with NewTokenBroadcaster. Its methods
// acquire the lock of State.
type TokenBroadcaster struct {
	TokenBroadcasterDeps
}

// NewTokenBroadcaster returns a broadcaster with the given dependencies.
func NewTokenBroadcaster(deps TokenBroadcasterDeps) *TokenBroadcaster {
	return &TokenBroadcaster{
		TokenBroadcasterDeps: deps,
	}
}

const (
	broadcastInterval   = 500 * units.Millisecond // between two rounds
	broadcastDelay      = units.Second            // before the first round; workers with a short interval send a heartbeat by then
	broadcastRetryDelay = 4 * units.Second        // between two calls to the same machine
)

// broadcastTimeouts holds the timeout of each call to a machine. In a large fleet, hundreds of
// machines may hang or be unreachable, and must not delay the calls to the others. A response takes
// some milliseconds, so the first timeout is short.
var broadcastTimeouts = []units.Micros{300 * units.Millisecond, 1500 * units.Millisecond}

// broadcastTries counts the calls to a machine.
type broadcastTries struct {
	count int
	last  units.Micros // steady time of the last call
}

// allowsAnother reports whether the machine may be called now.
func (t broadcastTries) allowsAnother(now units.Micros) bool {
	return t.count < len(broadcastTimeouts) && (t.count == 0 || now-t.last >= broadcastRetryDelay)
}

// Run sends the fencing token to the unreconciled machines that have sent no heartbeat to this leader.
// The token travels with an empty list of direct commands, which has no other effect, however late it
// arrives. The machine responds with a heartbeat, and its worker searches for the new leader at once
// instead of when its next heartbeat is due. Run returns when ctx ends or all machines are
// reconciled, after the calls in flight have ended.
func (b *TokenBroadcaster) Run(ctx context.Context) {
	caller := transport.NewCaller(b.Dial, protocol.MaxBodyBytes)
	tries := map[string]broadcastTries{}
	var calls sync.WaitGroup
	defer calls.Wait()
	for wait := broadcastDelay; loop.Sleep(ctx, wait); wait = broadcastInterval {
		if !b.Leadership.Valid() {
			continue
		}
		endpoints, unreconciled := b.broadcastTargets()
		if unreconciled == 0 {
			return
		}
		now := b.Clock.Steady()
		slots := make(chan struct{}, BroadcastConcurrency(len(endpoints), b.Settings.Fleet.Resources.MaxConnections))
		for _, id := range sorted.Keys(endpoints) {
			if !tries[id].allowsAnother(now) {
				continue
			}
			timeout := broadcastTimeouts[tries[id].count]
			tries[id] = broadcastTries{count: tries[id].count + 1, last: now}
			if !acquireSlot(ctx, slots) {
				return
			}
			calls.Go(func() {
				b.broadcastTo(ctx, caller, id, endpoints[id], timeout)
				<-slots
			})
		}
	}
}

// broadcastTargets returns the endpoints, by machine ID, of the unreconciled machines that have sent
// no heartbeat to this leader, and the number of all unreconciled machines.
func (b *TokenBroadcaster) broadcastTargets() (endpoints map[string]string, unreconciled int) {
	b.State.Lock()
	defer b.State.Unlock()
	endpoints = map[string]string{}
	for _, id := range b.State.Unreconciled.Machines() {
		if m := b.State.Machines[id]; m != nil && !m.Registered && !m.Releasing && m.Endpoint != "" {
			endpoints[id] = m.Endpoint
		}
	}
	return endpoints, b.State.Unreconciled.Len()
}

// firstIncarnation is the agent incarnation with which a machine begins; most machines still have it.
const firstIncarnation = 1

// broadcastTo sends the fencing token to a machine and reconciles the heartbeat in its response. The
// first call assumes the first agent incarnation. A machine with another incarnation rejects that
// call, and its response names the incarnation for the second call.
func (b *TokenBroadcaster) broadcastTo(ctx context.Context, caller *transport.Caller, id, endpoint string, timeout units.Micros) {
	incarnation := uint64(firstIncarnation)
	for range 2 {
		body := protocol.Encode(protocol.DirectCommands{
			FencingToken: b.Token,
			Incarnation:  incarnation,
			Commands:     []protocol.Command{},
		})
		status, response, err := caller.Post(ctx, endpoint, protocol.PathCommands, body, timeout)
		if err != nil {
			b.Log.Debug("fencing token not broadcast", "machine", id, "error", err)
			return
		}
		heartbeat, err := protocol.ParseHeartbeat(response)
		if err != nil || heartbeat.Machine != id {
			return
		}
		if status == http.StatusOK {
			b.ReconcileResponse(heartbeat)
			return
		}
		incarnation = heartbeat.Incarnation
	}
}

// ReconcileResponse reconciles the heartbeat in a machine's response to a broadcast. It ignores the
// heartbeat of a machine that has registered: a response with starts may then be in flight to the
// machine. This heartbeat does not show them, so they would be taken for lost and run twice.
func (b *TokenBroadcaster) ReconcileResponse(heartbeat *protocol.Heartbeat) {
	b.State.Lock()
	defer b.State.Unlock()
	if m := b.State.Machines[heartbeat.Machine]; m != nil && !m.Registered && b.Leadership.Valid() {
		b.Reconciler.Reconcile(heartbeat, b.Clock.Steady())
	}
}
