package failuredetector

import (
	"context"

	"dunestand/internal/loop"
	"dunestand/internal/units"
)

// delayMonitor notices that this process falls behind: its timers fire late. A
// leader that computes too slowly makes everybody wait, and there are others.
type delayMonitor struct {
	mean        units.Micros // moving mean of how late the timer fires
	behindSince units.Micros // since when it has been too late; 0: it is not
}

const (
	delayTick     = 250 * units.Millisecond
	maxDelay      = 400 * units.Millisecond // mean lateness that is too much
	delayPatience = 3 * units.Second        // for so long
	minLeadership = 20 * units.Second       // a term begins with more work than usual
)

// late takes in how late the timer fired and tells whether it has been too late
// for too long.
func (w *delayMonitor) observe(by, now units.Micros) bool {
	w.mean = (7*w.mean + max(0, by)) / 8
	switch {
	case w.mean < maxDelay:
		w.behindSince = 0
	case w.behindSince == 0:
		w.behindSince = now
	}
	return w.behindSince != 0 && now-w.behindSince >= delayPatience
}

// MonitorDelay hands the lease over when this node has fallen behind and another one
// is there to take it.
func (d *Detector) MonitorDelay(ctx context.Context) {
	var w delayMonitor
	for last := d.Clock.Steady(); loop.Sleep(ctx, delayTick); {
		now := d.Clock.Steady()
		behind := w.observe(now-last-delayTick, now)
		if w.mean >= maxDelay {
			d.NoteDelay(now)
		}
		last = now
		if behind && now-d.ElectedAt > minLeadership && d.PeerReachable() && d.Leadership.HandOver(d.Clock.Wall()) {
			d.Log.Info("this node has fallen behind; the lease is handed over", "late_ms", w.mean/units.Millisecond)
			w = delayMonitor{}
		}
	}
}

// NoteDelay notes that this node has been late: reports may have waited for it, or
// have been given up by their workers. Each machine then has the time for another
// one before its silence is judged.
func (d *Detector) NoteDelay(now units.Micros) {
	d.State.Lock()
	defer d.State.Unlock()
	d.judgeSilenceFrom = now + d.SuspectAfter()
}
