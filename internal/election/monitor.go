package election

import (
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// leaseMonitor is a follower's view of the leader lease record. It has no clock and does no
// I/O: reads are passed to it with their times. It never compares clocks of different
// machines: what counts is for how long this controller itself has seen the record unchanged.
type leaseMonitor struct {
	timing         LeaseTiming
	record         storage.LeaseRecord
	version        uint64
	seen           bool         // a read was answered
	unchangedSince units.Micros // when this version was first seen
	graceUntil     units.Micros // after an outage the holder may renew first
	readFailed     bool         // the last read failed
}

// observe notes a read of the record that was answered at now.
func (m *leaseMonitor) observe(record storage.LeaseRecord, version uint64, now units.Micros) {
	if m.readFailed {
		m.readFailed, m.graceUntil = false, now+outageGrace
	}
	if !m.seen || version != m.version {
		m.seen, m.record, m.version, m.unchangedSince = true, record, version, now
	}
}

// observeFailure notes a read that failed.
func (m *leaseMonitor) observeFailure() { m.readFailed = true }

// mayCampaign reports whether the lease is free for a controller: there is no record, its
// holder resigned or was a former process of this controller, or the record has not changed
// for the whole lease.
func (m *leaseMonitor) mayCampaign(self string, now units.Micros) bool {
	switch {
	case !m.seen || m.readFailed || now < m.graceUntil:
		return false
	case m.version == 0 || m.record.Resigned || m.record.Holder == self:
		return true
	}
	return now-m.unchangedSince >= WithDrift(m.timing.Duration, m.timing.CampaignMargin)
}
