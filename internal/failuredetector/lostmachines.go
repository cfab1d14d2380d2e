package failuredetector

import (
	"dunestand/internal/cluster"
	"dunestand/internal/election"
	"dunestand/internal/units"
)

// heartbeatHealth counts the machines of a zone, or of the fleet, by how they report.
type heartbeatHealth struct{ healthy, suspected, lost int }

// healthyPerMissing tells whether, for each machine that does not report, so many do
// that the silent ones are to blame themselves: when many fall silent together
// it is the network, and they may well be back. Those that are merely late
// count as well, since machines cut off at one moment do not reach the limit at
// one moment.
func (h heartbeatHealth) healthyPerMissing(n int) bool { return h.healthy >= n*(h.lost+h.suspected) }

// LostMachines gives the machines that should report and do not, or that
// carry nothing out, those of which only a record tells among them, as far as
// they are to be released: only while most others report, in the fleet and in
// their zone. A zone that is cut off from everything must not be given away.
func (d *Detector) LostMachines(now units.Micros) map[string]bool {
	silent := map[string]bool{}
	if now < d.judgeSilenceFrom {
		return silent
	}
	var fleet heartbeatHealth
	zones := map[string]*heartbeatHealth{}
	report := d.Settings.Fleet.Workers.Report()
	limit := d.SuspectAfter() + units.Second
	for _, m := range d.State.SortedMachines() {
		zone := zones[m.Zone]
		if zone == nil {
			zone = new(heartbeatHealth)
			zones[m.Zone] = zone
		}
		switch {
		case m.Registered && (now-m.LastHeartbeat > limit || m.IgnoresCommands()):
			silent[m.ID] = true
			fleet.lost++
			zone.lost++
		case m.Registered && now-m.LastHeartbeat > report.Share(5, 4)+units.Second:
			fleet.suspected++
			zone.suspected++
		case m.Registered:
			fleet.healthy++
			zone.healthy++
		}
	}
	d.maxUnreachablePeers = max(d.maxUnreachablePeers, d.UnreachablePeers())
	if now-d.ElectedAt > leaderSearchStart+report.Share(5, 4)+leaderSearchPerNode*units.Micros(d.maxUnreachablePeers) {
		for _, id := range d.State.UnreconciledMachines() {
			m := d.State.Machines[id]
			if m != nil && m.Registered {
				continue
			}
			silent[id] = true
			fleet.lost++
			if m != nil && zones[m.Zone] != nil {
				zones[m.Zone].lost++
			}
		}
	}
	for id := range silent {
		m := d.State.Machines[id]
		if d.State.HoldsCancelled(id) && (m == nil || zones[m.Zone] == nil || zones[m.Zone].healthy > 0) {
			// A machine that hangs does not end its tasks with its lease, so these
			// would be there beyond cancel_s. A cut does not hit a part of a zone.
			continue
		}
		if !fleet.healthyPerMissing(2) || m != nil && !d.mayReleaseInZone(m, zones[m.Zone], now) {
			delete(silent, id)
		}
	}
	return silent
}

// mayReleaseInZone tells whether a silent machine of a zone may be released. Where
// most of a zone is silent, a machine is kept until its tasks are given up
// anyway and some time more, as long as there are several.
func (d *Detector) mayReleaseInZone(m *cluster.Machine, zone *heartbeatHealth, now units.Micros) bool {
	return zone == nil || zone.healthyPerMissing(1) || zone.lost+zone.suspected < minZoneCutMachines ||
		now-max(m.LastHeartbeat, d.ElectedAt) > election.WithDrift(d.Settings.Fleet.Workers.Lease(), ZoneCutGrace)
}

const (
	minZoneCutMachines = 3                  // machines of a zone that fall silent together
	ZoneCutGrace       = 120 * units.Second // beyond the workers' lease, until they are given back
)

const (
	// A worker that looks for a new leader tries the next node after 1 s, and
	// waits 4 s on each that does not answer.
	leaderSearchStart   = 2500 * units.Millisecond
	leaderSearchPerNode = 5 * units.Second
)
