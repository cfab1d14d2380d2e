package controller

import (
	"context"
	"errors"
	"time"

	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// Bounds of startDurableWait. A worker gives up on an answer after 4 s.
const (
	minStartDurableWait = 150 * units.Millisecond
	maxStartDurableWait = 500 * units.Millisecond
)

// startDurableWait is how long the answer to a heartbeat waits for the write batch that must
// be durable before the starts that it is to carry. Starts that miss it go with the
// next heartbeat, so the wait is longer where heartbeats are seldom.
func (l *Leader) startDurableWait() units.Micros {
	return min(max(l.Settings.Fleet.Workers.HeartbeatInterval()/10, minStartDurableWait), maxStartDurableWait)
}

// restoreTimeout is how long a heartbeat waits for the restore of the records: mostly
// it is done sooner, and the worker would only come back to this controller.
const restoreTimeout = 2 * units.Second

// awaitRestore waits until the records are restored, and reports whether they are. It releases
// the slot before it waits.
func (l *Leader) awaitRestore(ctx context.Context, slot *heartbeatSlot) bool {
	select {
	case <-l.persister.Restored():
		return true
	default:
	}
	slot.release()
	timer := time.NewTimer(restoreTimeout.Duration())
	defer timer.Stop()
	select {
	case <-l.persister.Restored():
		return true
	case <-ctx.Done():
	case <-timer.C:
	}
	return false
}

// laterTokenSeen counts a heartbeat that shows a later leader's fencing token, and logs the
// first. It needs the lock of state held.
func (l *Leader) laterTokenSeen(heartbeat *protocol.Heartbeat) {
	l.Metrics.Reconciliation.LaterTokens.Inc()
	if !l.laterTokenLogged {
		l.laterTokenLogged = true
		l.Log.Info("heartbeat shows a later leader's token", "machine", heartbeat.Machine, "shows_token", heartbeat.FencingToken)
	}
}

// Why a heartbeat is not accepted. The worker is told to come back in each case.
var (
	errNotRestored    = errors.New("the records are not restored yet")
	errNotLeader      = errors.New("the controller does not lead, or the worker has seen a later leader")
	errStaleHeartbeat = errors.New("a newer heartbeat was handled, or the machine was released")
)

// Heartbeat reconciles the state with a worker's heartbeat and returns the commands for that
// worker. It fails with errNotRestored, errNotLeader or errStaleHeartbeat. It releases the slot
// before it waits for anything.
//
// An answer renews the worker's lease, and with it whatever runs there. So none
// is given before the records are restored: this controller might not know yet of a
// cancellation that a former leader has confirmed to its user.
func (l *Leader) Heartbeat(ctx context.Context, heartbeat *protocol.Heartbeat, slot *heartbeatSlot) (protocol.HeartbeatResponse, error) {
	response := protocol.HeartbeatResponse{FencingToken: l.token, Commands: []protocol.Command{}}
	if !l.awaitRestore(ctx, slot) {
		return response, errNotRestored
	}
	l.state.Lock()
	defer l.state.Unlock()
	now := l.Clock.Steady()
	if heartbeat.FencingToken > l.token {
		l.laterTokenSeen(heartbeat)
		return response, errNotLeader
	}
	if !l.leadership.Valid() {
		return response, errNotLeader
	}
	machine := l.reconciler.Reconcile(heartbeat, now)
	if machine == nil {
		return response, errStaleHeartbeat
	}
	if l.scheduler.CycleDue(now) {
		l.scheduler.RunCycle(now, machine)
	} else {
		l.scheduler.PlaceOnMachine(machine, now)
	}
	if durable := l.reconciler.PendingStartWrite(machine); durable != nil {
		l.writeSignal.Raise()
		l.state.Unlock()
		slot.release()
		select {
		case <-durable:
		case <-ctx.Done():
		case <-time.After(l.startDurableWait().Duration()):
		}
		l.state.Lock()
		if machine.Incarnation != heartbeat.Incarnation || machine.Sequence != heartbeat.Sequence {
			return response, errStaleHeartbeat
		}
		if !l.leadership.Valid() {
			return response, errNotLeader
		}
	}
	response.Commands = l.reconciler.Commands(machine, heartbeat, now)
	return response, nil
}
