package failuredetector

import (
	"dunestand/internal/cluster"
	"dunestand/internal/election"
	"dunestand/internal/units"
)

const (
	// lostMargin is how long a machine is silent beyond the time at which it is suspected,
	// until it counts as lost.
	lostMargin = units.Second
	// lateMargin is how long a heartbeat may be overdue until it counts as missing.
	lateMargin = units.Second

	// How many healthy machines there must be for each that is silent, to blame the silent
	// ones and not the network.
	healthyPerMissingInFleet = 2
	healthyPerMissingInZone  = 1

	// minZoneCutMachines is how many machines of a zone must be silent together for a cut
	// of the zone.
	minZoneCutMachines = 3
)

// ZoneCutGrace is how long, beyond the workers' lease, the machines of a zone that may be cut
// off are kept.
const ZoneCutGrace = 120 * units.Second

// How long a worker may look for a new leader: it tries the next controller after 1 s, and
// waits 4 s on each that does not answer.
const (
	leaderSearchStart   = 2500 * units.Millisecond
	leaderSearchPerNode = 5 * units.Second
)

// heartbeatHealth counts the machines of a zone, or of the fleet, by their heartbeats.
type heartbeatHealth struct{ healthy, suspected, lost int }

// healthyPerMissing reports whether, for each machine whose heartbeats are missing, those of n
// others arrive, so that the silent ones are to blame themselves: when many fall silent
// together it is the network, and they may well be back. Those that are merely late
// count as well, since machines cut off at one moment do not reach the limit at
// one moment.
func (h heartbeatHealth) healthyPerMissing(n int) bool { return h.healthy >= n*(h.lost+h.suspected) }

// heartbeatSurvey is the health of the fleet and of its zones, and the machines that count as
// lost, by ID.
type heartbeatSurvey struct {
	fleet heartbeatHealth
	zones map[string]*heartbeatHealth
	lost  map[string]bool
}

// LostMachines returns the IDs of the machines that may be released as lost: silent for too
// long, unresponsive to commands, or known only from a record. It returns none where too many
// of the fleet or of a zone are silent at once: then the network is the likelier cause, and a
// zone that is cut off from everything must not be released.
func (d *Detector) LostMachines(now units.Micros) map[string]bool {
	if now < d.judgeSilenceFrom {
		return map[string]bool{}
	}
	survey := d.surveyHeartbeats(now)
	d.maxUnreachablePeers = max(d.maxUnreachablePeers, d.UnreachablePeers())
	if now-d.ElectedAt > d.leaderSearchTime() {
		d.addUnreconciled(survey)
	}
	for id := range survey.lost {
		if !d.mayRelease(id, survey, now) {
			delete(survey.lost, id)
		}
	}
	return survey.lost
}

// surveyHeartbeats judges the machines that have sent a heartbeat to this leader.
func (d *Detector) surveyHeartbeats(now units.Micros) *heartbeatSurvey {
	survey := &heartbeatSurvey{zones: map[string]*heartbeatHealth{}, lost: map[string]bool{}}
	lostAfter := d.SuspectAfter() + lostMargin
	lateAfter := d.latestHeartbeat() + lateMargin
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

// leaderSearchTime returns how long after the election a worker may still be looking for this
// leader.
func (d *Detector) leaderSearchTime() units.Micros {
	return leaderSearchStart + d.latestHeartbeat() + leaderSearchPerNode*units.Micros(d.maxUnreachablePeers)
}

// addUnreconciled counts as lost the machines that the records name and that have sent this
// leader no heartbeat.
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
	var zone *heartbeatHealth // nil: not known
	if m != nil {
		zone = survey.zones[m.Zone]
	}
	if d.State.HoldsCancelled(id) && (zone == nil || zone.healthy > 0) {
		// A machine that hangs does not end its tasks with its lease, so these
		// would be there beyond cancel_s. A cut does not hit a part of a zone.
		return true
	}
	return survey.fleet.healthyPerMissing(healthyPerMissingInFleet) && (m == nil || d.mayReleaseInZone(m, zone, now))
}

// mayReleaseInZone reports whether a silent machine of a zone may be released. Where
// most of a zone is silent, a machine is kept until its tasks are given up
// anyway and some time more, as long as there are several.
func (d *Detector) mayReleaseInZone(m *cluster.Machine, zone *heartbeatHealth, now units.Micros) bool {
	return zone == nil || zone.healthyPerMissing(healthyPerMissingInZone) || zone.lost+zone.suspected < minZoneCutMachines ||
		now-max(m.LastHeartbeat, d.ElectedAt) > election.WithDrift(d.Settings.Fleet.Workers.LeaseDuration(), ZoneCutGrace)
}
