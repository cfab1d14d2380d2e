package failuredetector

import (
	"dunestand/internal/cluster"
	"dunestand/internal/election"
	"dunestand/internal/units"
)

const (
	// lostMargin is the time between SuspectAfter and the time at which a silent machine counts as
	// lost.
	lostMargin = units.Second
	// lateMargin is how long a heartbeat may be overdue before the machine counts as suspected.
	lateMargin = units.Second

	// Number of healthy machines required per lost or suspected machine, so that the silence is
	// attributed to the machines and not to the network.
	healthyPerMissingInFleet = 2
	healthyPerMissingInZone  = 1

	// minZonePartitionMachines is the number of silent machines of a zone from which a partition
	// of the zone is assumed.
	minZonePartitionMachines = 3
)

// ZonePartitionGrace is how long after the expiry of their leases the machines of a zone that may be
// partitioned from this controller are kept.
const ZonePartitionGrace = 120 * units.Second

// Bounds of the time that a worker needs to find a new leader: it tries the next controller after
// 1 s, and waits 4 s for each controller that does not respond.
const (
	leaderSearchStart         = 2500 * units.Millisecond
	leaderSearchPerController = 5 * units.Second
)

// heartbeatHealth counts the machines of a zone or of the fleet by the age of their last heartbeat.
type heartbeatHealth struct{ healthy, suspected, lost int }

// hasHealthyPerMissing reports whether there are at least n healthy machines per lost or suspected
// one. If there are fewer, the network is the likelier cause, and the silent machines may return.
// Suspected machines count as well, since machines that are partitioned at the same time do not become
// lost at the same time.
func (h heartbeatHealth) hasHealthyPerMissing(n int) bool { return h.healthy >= n*(h.lost+h.suspected) }

// heartbeatSurvey holds the health of the fleet, the health of each zone by name, and the IDs of the
// machines that count as lost.
type heartbeatSurvey struct {
	fleet heartbeatHealth
	zones map[string]*heartbeatHealth
	lost  map[string]bool
}

// LostMachines returns the IDs of the machines that may be released as lost: those that have been
// silent for too long, do not carry out commands, or are known only from a record. If too many
// machines of the fleet or of a zone are silent at the same time, a network partition is the likelier
// cause, and a partitioned zone must not be released. LostMachines then returns none of the fleet, or
// none of the zone until ZonePartitionGrace has passed. It still returns machines that may run tasks
// of cancelled jobs, unless no machine of their zone is healthy; see also DueCancellations.
func (d *Detector) LostMachines(now units.Micros) map[string]bool {
	if now < d.reportLostFrom {
		return map[string]bool{}
	}
	survey := d.surveyHeartbeats(now)
	d.maxUnreachablePeers = max(d.maxUnreachablePeers, d.UnreachablePeers())
	if now-d.ElectedAt > d.LeaderSearchTime() {
		d.addUnreconciled(survey)
	}
	for id := range survey.lost {
		if !d.mayRelease(id, survey, now) {
			delete(survey.lost, id)
		}
	}
	return survey.lost
}

// surveyHeartbeats classifies the machines that have sent a heartbeat to this leader.
func (d *Detector) surveyHeartbeats(now units.Micros) *heartbeatSurvey {
	survey := &heartbeatSurvey{zones: map[string]*heartbeatHealth{}, lost: map[string]bool{}}
	lostAfter := d.SuspectAfter() + lostMargin
	lateAfter := d.maxHeartbeatInterval() + lateMargin
	for _, m := range d.State.SortedMachines() {
		zone := survey.zones[m.Zone]
		if zone == nil {
			zone = new(heartbeatHealth)
			survey.zones[m.Zone] = zone
		}
		if !m.Registered {
			continue
		}
		switch silence := now - m.LastHeartbeat; {
		case silence > lostAfter || m.IgnoresCommands():
			survey.lost[m.ID] = true
			survey.fleet.lost++
			zone.lost++
		case silence > lateAfter:
			survey.fleet.suspected++
			zone.suspected++
		default:
			survey.fleet.healthy++
			zone.healthy++
		}
	}
	return survey
}

// LeaderSearchTime returns the time after the election within which a worker may still be searching
// for this leader.
func (d *Detector) LeaderSearchTime() units.Micros {
	return leaderSearchStart + d.maxHeartbeatInterval() + leaderSearchPerController*units.Micros(d.maxUnreachablePeers)
}

// addUnreconciled adds to the lost machines those that are named in the records and have sent no
// heartbeat to this leader.
func (d *Detector) addUnreconciled(survey *heartbeatSurvey) {
	for _, id := range d.State.Unreconciled.Machines() {
		m := d.State.Machines[id]
		if m != nil && m.Registered {
			continue
		}
		survey.lost[id] = true
		survey.fleet.lost++
		if m != nil && survey.zones[m.Zone] != nil {
			survey.zones[m.Zone].lost++
		}
	}
}

// mayRelease reports whether a machine that counts as lost may be released.
func (d *Detector) mayRelease(id string, survey *heartbeatSurvey, now units.Micros) bool {
	m := d.State.Machines[id]
	var zone *heartbeatHealth // nil if the zone is unknown
	if m != nil {
		zone = survey.zones[m.Zone]
	}
	if d.State.HoldsCancelled(id) && (zone == nil || zone.healthy > 0) {
		// A machine that hangs does not stop its tasks when its lease expires, so cancelled
		// tasks would run for longer than cancel_s. A partition separates whole zones, so a
		// healthy machine in the zone shows that this one is at fault.
		return true
	}
	return survey.fleet.hasHealthyPerMissing(healthyPerMissingInFleet) && (m == nil || d.mayReleaseInZone(m, zone, now))
}

// mayReleaseInZone reports whether a silent machine of a zone may be released. If most of the zone is
// silent and at least minZonePartitionMachines machines are, the machine is kept until its lease has
// expired and ZonePartitionGrace has passed.
func (d *Detector) mayReleaseInZone(m *cluster.Machine, zone *heartbeatHealth, now units.Micros) bool {
	return zone == nil || zone.hasHealthyPerMissing(healthyPerMissingInZone) || zone.lost+zone.suspected < minZonePartitionMachines ||
		now-max(m.LastHeartbeat, d.ElectedAt) > election.WithDrift(d.Settings.Fleet.Workers.LeaseDuration(), ZonePartitionGrace)
}
