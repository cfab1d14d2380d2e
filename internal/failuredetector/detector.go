// Package failuredetector judges by missed heartbeats which machines are lost, and whether
// this controller itself is cut off or falls behind.
package failuredetector

import (
	"dunestand/internal/cluster"
	"dunestand/internal/config"
	"dunestand/internal/election"
	"dunestand/internal/loop"
	"dunestand/internal/units"
	"log/slog"
)

// Deps is what a Detector works with.
type Deps struct {
	State            *cluster.State
	Leadership       election.Leadership
	Settings         *config.Settings
	Clock            units.Clock
	Log              *slog.Logger
	ElectedAt        units.Micros
	UnreachablePeers func() int
	PeerReachable    func() bool
	WriteSignal      loop.Signal
}

// Detector judges by their heartbeats which machines are lost, and by the heartbeats of all
// of them whether this controller itself is cut off or too slow to lead. Its fields are
// guarded by the lock of state, and its methods need that lock held.
type Detector struct {
	Deps

	maxUnreachablePeers int          // the most controllers that were unreachable at a time
	judgeSilenceFrom    units.Micros // this controller was late itself: until then no machine is judged
	allReconciled       bool         // it is known what every machine holds
}

func New(deps Deps) *Detector {
	return &Detector{
		Deps: deps,
	}
}

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
		for _, id := range d.State.Unreconciled.Machines() {
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

// CheckHeartbeatLoss gives the lease up when none of several machines has been
// heard for so long that it must be this node that is cut off. Another node
// may still reach them before their leases run out. This must not wait for
// anything that the same cut may hold up, such as a call to the cloud.
func (d *Detector) CheckHeartbeatLoss(now units.Micros) {
	quiet := d.Settings.Fleet.Workers.Report().Share(3, 2) + heartbeatLossMargin
	// Before the first report the workers have to find this node. Whom to
	// expect, the records say.
	last, known := d.ElectedAt+workerReturnTime, 0
	for _, m := range d.State.Machines {
		if m.Registered && !m.Releasing {
			known++
			last = max(last, m.LastHeartbeat)
		}
	}
	if known == 0 {
		known = d.State.Unreconciled.Len()
	}
	if d.State.Restored && known >= 2 && now-last > quiet && now-last < 3*quiet {
		d.Log.Info("no machine reports; the lease is given up", "machines", known, "silent_ms", (now-last)/units.Millisecond)
		d.Leadership.StepDown()
	}
}

// ExpireLeases gives up what silent machines held once their leases have run out.
func (d *Detector) ExpireLeases(now units.Micros) {
	lease := d.WorkerLease()
	for _, m := range d.State.Machines {
		if len(m.Attempts) > 0 && now-max(m.LastHeartbeat, d.ElectedAt) >= lease {
			d.Log.Info("machine's lease ran out", "machine", m.ID, "lost", len(m.Attempts))
			m.MayHoldCancelled = m.MayHoldCancelled || d.State.HoldsCancelled(m.ID)
			d.State.MachineEmptied(m, now)
		}
	}
	if !d.allReconciled && d.State.Restored && now-d.ElectedAt >= lease {
		// What a former leader started is over everywhere, but on machines that
		// accepted an answer of this one since: and these have told what they hold,
		// as an answer is accepted only to the newest report. A machine that hears
		// no answer would otherwise stay unconfirmed for as long as it reports.
		for _, id := range d.State.Unreconciled.Machines() {
			d.State.Unreconciled.Resolve(id)
		}
	}
	if !d.allReconciled && d.State.Restored && d.State.Unreconciled.Len() == 0 {
		d.allReconciled = true
		d.Log.Info("all machines confirmed", "after_ms", (now-d.ElectedAt)/units.Millisecond)
	}
	for _, j := range d.State.Jobs {
		if j.Cancelled && len(j.LiveAttempts) == 0 && len(j.UnreconciledMachines) == 0 && j.CancelDurable && !j.WritePending() {
			j.MarkChanged(now, true)
			d.WriteSignal.Raise()
		}
	}
}

// WorkerLease is how long a machine may go on after its last answered report came
// in, by this node's clock.
func (d *Detector) WorkerLease() units.Micros {
	return election.WorkerLeaseBound(d.Settings.Fleet.Workers)
}

// What the silence of machines is measured by. Reports come a quarter of their interval
// early or late.
const (
	reconnectTime           = 1500 * units.Millisecond // what a lost connection costs a worker
	unansweredHeartbeatTime = 5 * units.Second         // what a report without an answer does
	heartbeatLossMargin     = 1200 * units.Millisecond // beyond one and a half reports
	workerReturnTime        = 4 * units.Second         // for workers to find a new leader
)

// SuspectAfter is how long a machine may be silent before it is thought to be
// in trouble: two reports and what a lost connection costs, or, where reports
// come seldom, one report and what one costs that gets no answer (the worker
// waits 4 s and turns to the next node a second later).
func (d *Detector) SuspectAfter() units.Micros {
	report := d.Settings.Fleet.Workers.Report()
	return min(report.Share(5, 2)+reconnectTime, report.Share(5, 4)+unansweredHeartbeatTime)
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

// AllReconciled reports whether it is known what every machine holds.
func (d *Detector) AllReconciled() bool { return d.allReconciled }
