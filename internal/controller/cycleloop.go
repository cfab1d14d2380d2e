package controller

import (
	"context"
	"time"

	"dunestand/internal/loop"
	"dunestand/internal/scheduler"
	"dunestand/internal/units"
)

const (
	summaryInterval = 10 * units.Second       // between two log lines with the fleet's summary
	checkInterval   = 250 * units.Millisecond // between two checks of timeouts
)

// cycleLoop runs scheduling cycles when they are due and checks timeouts every checkInterval,
// until ctx ends.
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

// checkTimeouts expires worker leases, checks for lost heartbeats and logs the summary, at most
// once per checkInterval: each check iterates over the whole fleet, scheduling cycles may run
// forty times per second, and the timeouts are seconds long. The caller must hold the state
// lock.
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
