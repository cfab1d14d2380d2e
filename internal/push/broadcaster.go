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

// TokenBroadcasterDeps is what a TokenBroadcaster works with.
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

// TokenBroadcaster makes a new leader's fencing token known to machines that the records
// name and that have not sent a heartbeat yet. Make it with NewTokenBroadcaster. Its methods
// take the lock of State.
type TokenBroadcaster struct {
	TokenBroadcasterDeps
}

// NewTokenBroadcaster returns a broadcaster.
func NewTokenBroadcaster(deps TokenBroadcasterDeps) *TokenBroadcaster {
	return &TokenBroadcaster{
		TokenBroadcasterDeps: deps,
	}
}

const (
	broadcastInterval   = 500 * units.Millisecond // between looks for machines that are still to be called
	broadcastDelay      = units.Second            // workers with a short heartbeat interval have come by then
	broadcastRetryDelay = 4 * units.Second
)

// broadcastTimeouts is how long each try waits. In a large fleet hundreds may be
// cut off or hang, and those that would answer must not wait behind them: an
// answer takes some milliseconds, so the first try is short.
var broadcastTimeouts = []units.Micros{300 * units.Millisecond, 1500 * units.Millisecond}

// broadcastTries is how often a machine was called, and when last.
type broadcastTries struct {
	count int
	last  units.Micros
}

// mayRepeat reports whether a machine may be called (again).
func (t broadcastTries) mayRepeat(now units.Micros) bool {
	return t.count < len(broadcastTimeouts) && (t.count == 0 || now-t.last >= broadcastRetryDelay)
}

// Run sends the fencing token to the machines that the records name, and that have sent no
// heartbeat yet: by an empty list of direct commands, which has no
// effect at any later time but to show the worker our token. The answer is a
// heartbeat that tells what the machine holds, and the worker looks for the new
// leader at once instead of when its next heartbeat is due. Run returns when ctx ends or all
// machines are reconciled, after the calls that are on their way.
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
		slots := make(chan struct{}, BroadcastSlots(len(endpoints), b.Settings.Fleet.Resources.MaxConnections))
		for _, id := range sorted.Keys(endpoints) {
			if !tries[id].mayRepeat(now) {
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

// broadcastTargets returns the endpoints of the unreconciled machines that have sent this
// leader no heartbeat, by ID, and how many unreconciled machines there are in all.
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

// firstIncarnation is the agent incarnation of most machines.
const firstIncarnation = 1

// broadcastTo sends the fencing token to a machine and reconciles the heartbeat that it
// answers with. A machine of another incarnation refuses the first call, and its answer tells
// which one to send the second for.
func (b *TokenBroadcaster) broadcastTo(ctx context.Context, caller *transport.Caller, id, endpoint string, timeout units.Micros) {
	incarnation := uint64(firstIncarnation)
	for range 2 {
		body := protocol.Encode(protocol.DirectCommands{
			FencingToken: b.Token,
			Incarnation:  incarnation,
			Commands:     []protocol.Command{},
		})
		status, answer, err := caller.Post(ctx, endpoint, protocol.PathCommands, body, timeout)
		if err != nil {
			b.Log.Debug("fencing token not broadcast", "machine", id, "error", err)
			return
		}
		heartbeat, err := protocol.ParseHeartbeat(answer)
		if err != nil || heartbeat.Machine != id {
			return
		}
		if status == http.StatusOK {
			b.ReconcileAnswer(heartbeat)
			return
		}
		incarnation = heartbeat.Incarnation
	}
}

// ReconcileAnswer reconciles the heartbeat that a machine sent as the answer to a broadcast. Only
// the first word of a machine may come this way: once it has sent a heartbeat by
// itself, a response may be on its way to it that this one does not show.
func (b *TokenBroadcaster) ReconcileAnswer(heartbeat *protocol.Heartbeat) {
	b.State.Lock()
	defer b.State.Unlock()
	if m := b.State.Machines[heartbeat.Machine]; m != nil && !m.Registered && b.Leadership.Valid() {
		b.Reconciler.Reconcile(heartbeat, b.Clock.Steady())
	}
}
