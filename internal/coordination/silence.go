package coordination

import (
	"dunestand/internal/cluster"
	"dunestand/internal/units"
)

// health counts the machines of a zone, or of the fleet, by how they report.
type health struct{ reporting, late, silent int }

// reportTo tells whether, for each machine that does not report, so many do
// that the silent ones are to blame themselves: when many fall silent together
// it is the network, and they may well be back. Those that are merely late
// count as well, since machines cut off at one moment do not reach the limit at
// one moment.
func (h health) reportTo(n int) bool { return h.reporting >= n*(h.silent+h.late) }

// silentMachines gives the machines that should report and do not, or that
// carry nothing out, those of which only a record tells among them, as far as
// they are to be released: only while most others report, in the fleet and in
// their zone. A zone that is cut off from everything must not be given away.
func (t *Term) silentMachines(now units.Micros) map[string]bool {
	silent := map[string]bool{}
	if now < t.silenceCountsFrom {
		return silent
	}
	var fleet health
	zones := map[string]*health{}
	report := t.Settings.Fleet.Workers.Report()
	limit := t.silentAfter() + units.Second
	for _, m := range t.ledger.SortedMachines() {
		zone := zones[m.Zone]
		if zone == nil {
			zone = new(health)
			zones[m.Zone] = zone
		}
		switch {
		case m.Registered && (now-m.LastHeartbeat > limit || m.UndeliveredCommands >= maxUndelivered):
			silent[m.ID] = true
			fleet.silent++
			zone.silent++
		case m.Registered && now-m.LastHeartbeat > report.Share(5, 4)+units.Second:
			fleet.late++
			zone.late++
		case m.Registered:
			fleet.reporting++
			zone.reporting++
		}
	}
	t.unreached = max(t.unreached, t.Unreached())
	if now-t.claimedAt > searchStart+report.Share(5, 4)+searchNode*units.Micros(t.unreached) {
		for _, id := range t.ledger.UnreconciledMachines() {
			m := t.ledger.Machines[id]
			if m != nil && m.Registered {
				continue
			}
			silent[id] = true
			fleet.silent++
			if m != nil && zones[m.Zone] != nil {
				zones[m.Zone].silent++
			}
		}
	}
	for id := range silent {
		m := t.ledger.Machines[id]
		if t.ledger.HoldsCancelled(id) && (m == nil || zones[m.Zone] == nil || zones[m.Zone].reporting > 0) {
			// A machine that hangs does not end its tasks with its lease, so these
			// would be there beyond cancel_s. A cut does not hit a part of a zone.
			continue
		}
		if !fleet.reportTo(2) || m != nil && !t.mayGoAlone(m, zones[m.Zone], now) {
			delete(silent, id)
		}
	}
	return silent
}

// mayGoAlone tells whether a silent machine of a zone may be released. Where
// most of a zone is silent, a machine is kept until its tasks are given up
// anyway and some time more, as long as there are several.
func (t *Term) mayGoAlone(m *cluster.Machine, zone *health, now units.Micros) bool {
	return zone == nil || zone.reportTo(1) || zone.silent+zone.late < zoneCutLeast ||
		now-max(m.LastHeartbeat, t.claimedAt) > withDrift(t.Settings.Fleet.Workers.Lease(), zoneCutMost)
}

// checkContact gives the lease up when none of several machines has been
// heard for so long that it must be this node that is cut off. Another node
// may still reach them before their leases run out. This must not wait for
// anything that the same cut may hold up, such as a call to the cloud.
func (t *Term) checkContact(now units.Micros) {
	quiet := t.Settings.Fleet.Workers.Report().Share(3, 2) + contactMargin
	// Before the first report the workers have to find this node. Whom to
	// expect, the records say.
	last, known := t.claimedAt+workerReturn, 0
	for _, m := range t.ledger.Machines {
		if m.Registered && !m.Releasing {
			known++
			last = max(last, m.LastHeartbeat)
		}
	}
	if known == 0 {
		known = t.ledger.UnreconciledCount()
	}
	if t.ready && known >= 2 && now-last > quiet && now-last < 3*quiet {
		t.Log.Info("no machine reports; the lease is given up", "machines", known, "silent_ms", (now-last)/units.Millisecond)
		t.Lease.Resign()
	}
}

// expire gives up what silent machines held once their leases have run out.
func (t *Term) expire(now units.Micros) {
	lease := t.workerLease()
	for _, m := range t.ledger.Machines {
		if len(m.Attempts) > 0 && now-max(m.LastHeartbeat, t.claimedAt) >= lease {
			t.Log.Info("machine's lease ran out", "machine", m.ID, "lost", len(m.Attempts))
			m.MayHoldCancelled = m.MayHoldCancelled || t.ledger.HoldsCancelled(m.ID)
			t.ledger.MachineEmptied(m, now)
		}
	}
	if !t.allConfirmed && t.ready && now-t.claimedAt >= lease {
		// What a former leader started is over everywhere, but on machines that
		// accepted an answer of this one since: and these have told what they hold,
		// as an answer is accepted only to the newest report. A machine that hears
		// no answer would otherwise stay unconfirmed for as long as it reports.
		for _, id := range t.ledger.UnreconciledMachines() {
			t.ledger.MarkReconciled(id)
		}
	}
	if !t.allConfirmed && t.ready && t.ledger.UnreconciledCount() == 0 {
		t.allConfirmed = true
		t.Log.Info("all machines confirmed", "after_ms", (now-t.claimedAt)/units.Millisecond)
	}
	for _, j := range t.ledger.Jobs {
		if j.Cancelled && len(j.LiveAttempts) == 0 && len(j.UnreconciledMachines) == 0 && j.CancelDurable && !j.WritePending() {
			j.MarkChanged(now, true)
			signal(t.saveSignal)
		}
	}
}

// workerLease is how long a machine may go on after its last answered report came
// in, by this node's clock.
func (t *Term) workerLease() units.Micros { return leaseBound(t.Settings.Fleet.Workers) }

// What the silence of machines is measured by. Reports come a quarter of their interval
// early or late.
const (
	reconnectTime  = 1500 * units.Millisecond // what a lost connection costs a worker
	unansweredTime = 5 * units.Second         // what a report without an answer does
	contactMargin  = 1200 * units.Millisecond // beyond one and a half reports
	workerReturn   = 4 * units.Second         // for workers to find a new leader
)

// silentAfter is how long a machine may be silent before it is thought to be
// in trouble: two reports and what a lost connection costs, or, where reports
// come seldom, one report and what one costs that gets no answer (the worker
// waits 4 s and turns to the next node a second later).
func (t *Term) silentAfter() units.Micros {
	report := t.Settings.Fleet.Workers.Report()
	return min(report.Share(5, 2)+reconnectTime, report.Share(5, 4)+unansweredTime)
}
