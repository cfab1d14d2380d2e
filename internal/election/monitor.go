package election

import (
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// leaseMonitor is a follower's view of the leader lease record. It has no clock and does no
// I/O: its caller passes it the result and the time of each read. It compares no clocks of
// different machines; it measures for how long this controller has seen the record unchanged.
type leaseMonitor struct {
	timing         LeaseTiming
	record         storage.LeaseRecord
	version        uint64
	seen           bool         // a read has succeeded
	unchangedSince units.Micros // when this version was first read
	graceUntil     units.Micros // end of the grace period in which the holder may renew after an outage
	readFailed     bool         // the last read failed
}

// observe records the result of a read of the record that succeeded at now.
func (m *leaseMonitor) observe(record storage.LeaseRecord, version uint64, now units.Micros) {
	if m.readFailed {
		m.readFailed, m.graceUntil = false, now+outageGrace
	}
	if !m.seen || version != m.version {
		m.seen, m.record, m.version, m.unchangedSince = true, record, version, now
	}
}

// observeFailure records that a read failed.
func (m *leaseMonitor) observeFailure() { m.readFailed = true }

// mayCampaign reports whether the lease is free for the controller named self: there is no
// record, its holder resigned or was a former process of the same controller, or the record has
// not changed for the lease duration, the clock drift and the campaign margin. It is not free
// after a failed read, nor during the grace period that follows an outage.
func (m *leaseMonitor) mayCampaign(self string, now units.Micros) bool {
	switch {
	case !m.seen || m.readFailed || now < m.graceUntil:
		return false
	case m.version == 0 || m.record.Resigned || m.record.Holder == self:
		return true
	}
	return now-m.unchangedSince >= WithDrift(m.timing.Duration, m.timing.CampaignMargin)
}
