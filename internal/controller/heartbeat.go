package controller

import (
	"context"
	"time"

	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

const (
	minStartDurableWait = 150 * units.Millisecond
	maxStartDurableWait = 500 * units.Millisecond
)

// durableWait is how long an answer to a report waits for the save that must
// come before the starts it is to carry: else they go with the next report, so
// where reports come seldom it waits longer.
func (l *Leader) durableWait() units.Micros {
	return min(max(l.Settings.Fleet.Workers.Report()/10, minStartDurableWait), maxStartDurableWait)
}

// restoreWait is how long a report waits for the restore of the records: mostly
// it is done sooner, and the worker would only come back to this node.
const restoreWait = 2 * units.Second

// waitRestored waits until the records are restored, and tells whether they are.
func (l *Leader) waitRestored(ctx context.Context, slot *heartbeatSlot) bool {
	select {
	case <-l.persister.Restored():
		return true
	default:
	}
	slot.release()
	timer := time.NewTimer(restoreWait.Duration())
	defer timer.Stop()
	select {
	case <-l.persister.Restored():
		return true
	case <-ctx.Done():
	case <-timer.C:
	}
	return false
}

// Heartbeat takes in a worker's report and gives the commands for it. It is not
// accepted (false) when this node may not command, or the report is an old
// one. It releases the slot before it waits for anything.
//
// An answer prolongs the worker's lease, and with it whatever runs there. So none
// is given before the records are restored: this node might not know yet of a
// cancellation that a former leader's user was told of.
func (l *Leader) Heartbeat(ctx context.Context, r *protocol.Heartbeat, slot *heartbeatSlot) (protocol.HeartbeatResponse, bool) {
	answer := protocol.HeartbeatResponse{FencingToken: l.token, Commands: []protocol.Command{}}
	if !l.waitRestored(ctx, slot) {
		return answer, false
	}
	l.state.Lock()
	defer l.state.Unlock()
	now := l.Clock.Steady()
	if !l.leadership.Valid() || r.FencingToken > l.token {
		return answer, false
	}
	m := l.reconciler.Reconcile(r, now)
	if m == nil {
		return answer, false
	}
	if l.scheduler.CycleDue(now) {
		l.scheduler.RunCycle(now, m)
	} else {
		l.scheduler.PlaceOnMachine(m, now)
	}
	if wait := l.reconciler.UnwrittenStart(m); wait != nil {
		l.writeSignal.Raise()
		l.state.Unlock()
		slot.release()
		select {
		case <-wait:
		case <-ctx.Done():
		case <-time.After(l.durableWait().Duration()):
		}
		l.state.Lock()
		if m.Incarnation != r.Incarnation || m.Sequence != r.Sequence || !l.leadership.Valid() {
			return answer, false
		}
	}
	answer.Commands = l.reconciler.Commands(m, r, now)
	return answer, true
}
