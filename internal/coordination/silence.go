package coordination

import (
	"dunestand/internal/cluster"
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

// lostMachines gives the machines that should report and do not, or that
// carry nothing out, those of which only a record tells among them, as far as
// they are to be released: only while most others report, in the fleet and in
// their zone. A zone that is cut off from everything must not be given away.
func (t *Leader) lostMachines(now units.Micros) map[string]bool {
	silent := map[string]bool{}
	if now < t.judgeSilenceFrom {
		return silent
	}
	var fleet heartbeatHealth
	zones := map[string]*heartbeatHealth{}
	report := t.Settings.Fleet.Workers.Report()
	limit := t.suspectAfter() + units.Second
	for _, m := range t.state.SortedMachines() {
		zone := zones[m.Zone]
		if zone == nil {
			zone = new(heartbeatHealth)
			zones[m.Zone] = zone
		}
		switch {
		case m.Registered && (now-m.LastHeartbeat > limit || m.UndeliveredCommands >= maxUndeliveredCommands):
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
	t.maxUnreachablePeers = max(t.maxUnreachablePeers, t.UnreachablePeers())
	if now-t.electedAt > leaderSearchStart+report.Share(5, 4)+leaderSearchPerNode*units.Micros(t.maxUnreachablePeers) {
		for _, id := range t.state.UnreconciledMachines() {
			m := t.state.Machines[id]
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
		m := t.state.Machines[id]
		if t.state.HoldsCancelled(id) && (m == nil || zones[m.Zone] == nil || zones[m.Zone].healthy > 0) {
			// A machine that hangs does not end its tasks with its lease, so these
			// would be there beyond cancel_s. A cut does not hit a part of a zone.
			continue
		}
		if !fleet.healthyPerMissing(2) || m != nil && !t.mayReleaseInZone(m, zones[m.Zone], now) {
			delete(silent, id)
		}
	}
	return silent
}

// mayReleaseInZone tells whether a silent machine of a zone may be released. Where
// maxEntries of a zone is silent, a machine is kept until its tasks are given up
// anyway and some time more, as long as there are several.
func (t *Leader) mayReleaseInZone(m *cluster.Machine, zone *heartbeatHealth, now units.Micros) bool {
	return zone == nil || zone.healthyPerMissing(1) || zone.lost+zone.suspected < minZoneCutMachines ||
		now-max(m.LastHeartbeat, t.electedAt) > withDrift(t.Settings.Fleet.Workers.Lease(), zoneCutGrace)
}

// checkHeartbeatLoss gives the lease up when none of several machines has been
// lastAnswerAt for so long that it must be this node that is cut off. Another node
// may still reach them before their leases run out. This must not wait for
// anything that the same cut may hold up, such as a call to the cloud.
func (t *Leader) checkHeartbeatLoss(now units.Micros) {
	quiet := t.Settings.Fleet.Workers.Report().Share(3, 2) + heartbeatLossMargin
	// Before the first report the workers have to find this node. Whom to
	// expect, the records say.
	last, known := t.electedAt+workerReturnTime, 0
	for _, m := range t.state.Machines {
		if m.Registered && !m.Releasing {
			known++
			last = max(last, m.LastHeartbeat)
		}
	}
	if known == 0 {
		known = t.state.UnreconciledCount()
	}
	if t.ready && known >= 2 && now-last > quiet && now-last < 3*quiet {
		t.Log.Info("no machine reports; the lease is given up", "machines", known, "silent_ms", (now-last)/units.Millisecond)
		t.Elector.StepDown()
	}
}

// expireLeases gives up what silent machines held once their leases have run out.
func (t *Leader) expireLeases(now units.Micros) {
	lease := t.workerLease()
	for _, m := range t.state.Machines {
		if len(m.Attempts) > 0 && now-max(m.LastHeartbeat, t.electedAt) >= lease {
			t.Log.Info("machine's lease ran out", "machine", m.ID, "lost", len(m.Attempts))
			m.MayHoldCancelled = m.MayHoldCancelled || t.state.HoldsCancelled(m.ID)
			t.state.MachineEmptied(m, now)
		}
	}
	if !t.allReconciled && t.ready && now-t.electedAt >= lease {
		// What a former leader started is over everywhere, but on machines that
		// accepted an answer of this one since: and these have told what they hold,
		// as an answer is accepted only to the newest report. A machine that hears
		// no answer would otherwise stay unconfirmed for as long as it reports.
		for _, id := range t.state.UnreconciledMachines() {
			t.state.MarkReconciled(id)
		}
	}
	if !t.allReconciled && t.ready && t.state.UnreconciledCount() == 0 {
		t.allReconciled = true
		t.Log.Info("all machines confirmed", "after_ms", (now-t.electedAt)/units.Millisecond)
	}
	for _, j := range t.state.Jobs {
		if j.Cancelled && len(j.LiveAttempts) == 0 && len(j.UnreconciledMachines) == 0 && j.CancelDurable && !j.WritePending() {
			j.MarkChanged(now, true)
			raise(t.writeSignal)
		}
	}
}

// workerLease is how long a machine may go on after its last answered report came
// in, by this node's clock.
func (t *Leader) workerLease() units.Micros { return workerLeaseBound(t.Settings.Fleet.Workers) }

// What the silence of machines is measured by. Reports come a quarter of their interval
// early or late.
const (
	reconnectTime           = 1500 * units.Millisecond // what a lost connection costs a worker
	unansweredHeartbeatTime = 5 * units.Second         // what a report without an answer does
	heartbeatLossMargin     = 1200 * units.Millisecond // beyond one and a half reports
	workerReturnTime        = 4 * units.Second         // for workers to find a new leader
)

// suspectAfter is how long a machine may be silent before it is thought to be
// in trouble: two reports and what a lost connection costs, or, where reports
// come seldom, one report and what one costs that gets no answer (the worker
// waits 4 s and turns to the next node a second later).
func (t *Leader) suspectAfter() units.Micros {
	report := t.Settings.Fleet.Workers.Report()
	return min(report.Share(5, 2)+reconnectTime, report.Share(5, 4)+unansweredHeartbeatTime)
}
