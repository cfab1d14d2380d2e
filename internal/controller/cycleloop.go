package controller

import (
	"context"
	"time"

	"dunestand/internal/loop"
	"dunestand/internal/scheduler"
	"dunestand/internal/units"
)

const (
	summaryInterval = 10 * units.Second
	cycleInterval   = 250 * units.Millisecond // the most time between looks at what is due
)

// cycleLoop makes rounds of decisions when something has changed.
func (l *Leader) cycleLoop(ctx context.Context) {
	for loop.Sleep(ctx, scheduler.MinCycleInterval) {
		select {
		case <-ctx.Done():
			return
		case <-l.cycleSignal:
		case <-time.After(cycleInterval.Duration()):
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

// checkTimeouts looks for what has passed its time, and logs the summary. Rounds may
// come forty times a second; all these times are seconds long, and each look goes over
// the whole fleet.
func (l *Leader) checkTimeouts(now units.Micros) {
	if now-l.lastTimeoutCheck < cycleInterval {
		return
	}
	l.lastTimeoutCheck = now
	l.detector.ExpireLeases(now)
	l.detector.CheckHeartbeatLoss(now)
	if now-l.lastSummary >= summaryInterval {
		l.lastSummary = now
		l.logSummary(now)
	}
}
