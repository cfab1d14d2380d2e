package failuredetector

import (
	"context"

	"dunestand/internal/loop"
	"dunestand/internal/units"
)

const (
	delayCheckInterval    = 250 * units.Millisecond // between two measurements
	maxMeanDelay          = 400 * units.Millisecond // mean delay from which the controller counts as overloaded
	maxDelayDuration      = 3 * units.Second        // how long the mean delay may stay that high
	minLeadershipDuration = 20 * units.Second       // no hand-over before: a new leader has more work than usual
	delayMeanSamples      = 8                       // a sample has the weight 1/delayMeanSamples in the moving mean
)

// delayMonitor detects that this process is overloaded: its timers fire late. An overloaded leader
// delays all users and workers, while another controller could lead.
type delayMonitor struct {
	mean         units.Micros // exponential moving mean of the timer's delay
	delayedSince units.Micros // steady time since which the mean is too high, 0 if it is not
}

// observe adds the delay with which the timer fired, and reports whether the mean has been too high
// for maxDelayDuration.
func (m *delayMonitor) observe(delay, now units.Micros) bool {
	m.mean = ((delayMeanSamples-1)*m.mean + max(0, delay)) / delayMeanSamples
	switch {
	case m.mean < maxMeanDelay:
		m.delayedSince = 0
	case m.delayedSince == 0:
		m.delayedSince = now
	}
	return m.delayedSince != 0 && now-m.delayedSince >= maxDelayDuration
}

// MonitorDelay hands the leader lease over when this controller is overloaded and another controller
// can be reached. It returns when ctx ends.
func (d *Detector) MonitorDelay(ctx context.Context) {
	var monitor delayMonitor
	for last := d.Clock.Steady(); loop.Sleep(ctx, delayCheckInterval); {
		now := d.Clock.Steady()
		overloaded := monitor.observe(now-last-delayCheckInterval, now)
		if monitor.mean >= maxMeanDelay {
			d.RecordDelay(now)
		}
		last = now
		if overloaded && now-d.ElectedAt > minLeadershipDuration && d.PeerReachable() && d.Leadership.HandOver(d.Clock.Wall()) {
			d.Log.Info("controller overloaded; leader lease handed over", "late_ms", monitor.mean/units.Millisecond)
			monitor = delayMonitor{}
		}
	}
}

// RecordDelay records that this controller has been delayed. Heartbeats may be waiting for it
// unprocessed, or their workers have timed out, so no machine counts as lost until each has had the
// time to send another heartbeat. RecordDelay acquires the lock of State.
func (d *Detector) RecordDelay(now units.Micros) {
	d.State.Lock()
	defer d.State.Unlock()
	d.reportLostFrom = now + d.SuspectAfter()
}
