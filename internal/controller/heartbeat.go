package controller

import (
	"context"
	"errors"
	"time"

	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// Bounds of durableStartsTimeout. A worker times out a heartbeat after 4 s.
const (
	minDurableStartsTimeout = 150 * units.Millisecond
	maxDurableStartsTimeout = 500 * units.Millisecond
)

// durableStartsTimeout returns how long the response to a heartbeat waits for the write batch
// that makes its start commands durable. Starts that miss the response are sent with the next
// one, so the timeout grows with the heartbeat interval.
func (l *Leader) durableStartsTimeout() units.Micros {
	return min(max(l.Settings.Fleet.Workers.HeartbeatInterval()/10, minDurableStartsTimeout), maxDurableStartsTimeout)
}

// restoreTimeout is how long a heartbeat waits for the records to be restored. Usually the
// restore finishes sooner; a worker that is rejected would only retry at this controller.
const restoreTimeout = 2 * units.Second

// awaitRestore waits until the records are restored, for restoreTimeout at most, and reports
// whether they are. It releases slot before it blocks.
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

// countLaterToken counts a heartbeat that carries the fencing token of a later leader, and logs
// the first one. The caller must hold the state lock.
func (l *Leader) countLaterToken(heartbeat *protocol.Heartbeat) {
	l.Metrics.Reconciliation.LaterTokens.Inc()
	if !l.laterTokenLogged {
		l.laterTokenLogged = true
		l.Log.Info("heartbeat carries a later leader's fencing token", "machine", heartbeat.Machine, "shows_token", heartbeat.FencingToken)
	}
}

// Reasons for rejecting a heartbeat. The worker retries in each case.
var (
	errNotRestored    = errors.New("records are not restored yet")
	errNotLeader      = errors.New("controller is not the leader, or the worker has seen a later leader")
	errStaleHeartbeat = errors.New("stale heartbeat: a newer one was handled, or the machine was released")
)

// Heartbeat reconciles the state with a worker's heartbeat and returns the commands for that
// worker. It fails with errNotRestored, errNotLeader or errStaleHeartbeat. It releases slot
// before it blocks.
//
// A response renews the worker's lease, which keeps the worker's tasks running. Heartbeat
// therefore returns no response before the records are restored: they may contain a
// cancellation that a former leader has already confirmed to a user.
//
// A heartbeat that shows a lower token than its machine has shown before has no effect, but it gets a
// response without commands if it shows no live task: if the machine was restarted, its next heartbeat
// shows the token. With a live task, the response would renew the lease and might lack a stop.
func (l *Leader) Heartbeat(ctx context.Context, heartbeat *protocol.Heartbeat, slot *heartbeatSlot) (protocol.HeartbeatResponse, error) {
	response := protocol.HeartbeatResponse{FencingToken: l.token, Commands: []protocol.Command{}}
	if !l.awaitRestore(ctx, slot) {
		return response, errNotRestored
	}
	l.state.Lock()
	defer l.state.Unlock()
	now := l.Clock.Steady()
	if heartbeat.FencingToken > l.token {
		l.countLaterToken(heartbeat)
		return response, errNotLeader
	}
	if !l.leadership.Valid() {
		return response, errNotLeader
	}
	machine := l.reconciler.Reconcile(heartbeat, now)
	if machine == nil && l.reconciler.MissesToken(heartbeat) {
		return response, nil
	}
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
		case <-time.After(l.durableStartsTimeout().Duration()):
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
