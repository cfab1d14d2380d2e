package failuredetector

import (
	"context"

	"dunestand/internal/loop"
	"dunestand/internal/units"
)

const (
	delayTick        = 250 * units.Millisecond // between two looks at the clock
	maxDelay         = 400 * units.Millisecond // mean delay that is too much
	delayPatience    = 3 * units.Second        // how long it may be too much
	minLeadership    = 20 * units.Second       // a leadership begins with more work than usual
	delayMeanSamples = 8                       // a tick counts one part in so many in the mean delay
)

// delayMonitor notices that this process falls behind: its timers fire late. A
// leader that computes too slowly makes everybody wait, and there are others.
type delayMonitor struct {
	mean        units.Micros // moving mean of how late the timer fires
	behindSince units.Micros // since when it has been too late; 0: it is not
}

// observe adds how late the timer fired and reports whether it has been too late
// for too long.
func (w *delayMonitor) observe(late, now units.Micros) bool {
	w.mean = ((delayMeanSamples-1)*w.mean + max(0, late)) / delayMeanSamples
	switch {
	case w.mean < maxDelay:
		w.behindSince = 0
	case w.behindSince == 0:
		w.behindSince = now
	}
	return w.behindSince != 0 && now-w.behindSince >= delayPatience
}

// MonitorDelay hands the leader lease over when this controller has fallen behind and another
// one is there to take it. It returns when ctx ends.
func (d *Detector) MonitorDelay(ctx context.Context) {
	var monitor delayMonitor
	for last := d.Clock.Steady(); loop.Sleep(ctx, delayTick); {
		now := d.Clock.Steady()
		behind := monitor.observe(now-last-delayTick, now)
		if monitor.mean >= maxDelay {
			d.NoteDelay(now)
		}
		last = now
		if behind && now-d.ElectedAt > minLeadership && d.PeerReachable() && d.Leadership.HandOver(d.Clock.Wall()) {
			d.Log.Info("controller has fallen behind; leader lease handed over", "late_ms", monitor.mean/units.Millisecond)
			monitor = delayMonitor{}
		}
	}
}

// NoteDelay notes that this controller has been late: heartbeats may have waited for it, or
// have been given up by their workers. Each machine then has the time for another
// one before its silence is judged. It takes the lock of State.
func (d *Detector) NoteDelay(now units.Micros) {
	d.State.Lock()
	defer d.State.Unlock()
	d.judgeSilenceFrom = now + d.SuspectAfter()
}
