package controller

import (
	"context"
	"time"

	"dunestand/internal/loop"
	"dunestand/internal/scheduler"
	"dunestand/internal/units"
)

const (
	summaryInterval = 10 * units.Second       // between log lines with the fleet's summary
	checkInterval   = 250 * units.Millisecond // the longest time between two checks of timeouts
)

// cycleLoop runs scheduling cycles when something has changed, and checks timeouts at least
// every checkInterval, until ctx ends.
func (l *Leader) cycleLoop(ctx context.Context) {
	for loop.Sleep(ctx, scheduler.MinCycleInterval) {
		select {
		case <-ctx.Done():
			return
		case <-l.cycleSignal:
		case <-time.After(checkInterval.Duration()):
		}
		l.state.Lock()
		if now := l.Clock.Steady(); l.leadership.Valid() {
			l.checkTimeouts(now)
			if l.scheduler.CycleDue(now) {
				l.scheduler.RunCycle(now, nil)
			} else {
				l.cycleSignal.Raise()
			}
		}
		l.state.Unlock()
	}
}

// checkTimeouts handles what has timed out, and logs the summary. Cycles may run forty times
// a second; all these timeouts are seconds long, and each check goes over the whole fleet.
// It needs the lock of state held.
func (l *Leader) checkTimeouts(now units.Micros) {
	if now-l.lastTimeoutCheck < checkInterval {
		return
	}
	l.lastTimeoutCheck = now
	l.detector.ExpireWorkerLeases(now)
	l.detector.CheckHeartbeatLoss(now)
	if now-l.lastSummary >= summaryInterval {
		l.lastSummary = now
		l.logSummary(now)
	}
}
