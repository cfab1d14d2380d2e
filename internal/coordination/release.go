package coordination

import (
	"context"
	"sort"

	"dunestand/internal/cluster"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// remove drops a machine that is gone. The cloud may have room for another of
// its kind now, whatever it said before: after a wave of losses, waiting for the
// refusal to pass once left a quarter of the fleet away for half a minute.
func (t *Term) remove(m *cluster.Machine, now units.Micros) {
	t.ledger.RemoveMachine(m, now)
	delete(t.provisioning.refused, Kind{m.InstanceType, m.Zone, m.Spot})
}

// releaseUnwanted returns machines that are faulty, lost, never came up, or
// are idle beyond what is to be kept.
func (t *Term) releaseUnwanted(ctx context.Context) {
	t.mu.Lock()
	names := t.unwanted(t.Clock.Steady())
	t.mu.Unlock()
	for len(names) > 0 {
		n := min(len(names), protocol.MaxScaleIn)
		if err := t.Cloud.ScaleIn(ctx, names[:n]); err != nil {
			t.Log.Debug("machines not released", "machines", names[:n], "error", err)
			return
		}
		t.mu.Lock()
		now := t.Clock.Steady()
		for _, id := range names[:n] {
			t.released.add(id, now)
			if m := t.ledger.Machines[id]; m != nil {
				t.remove(m, now)
			} else {
				t.ledger.MarkReconciled(id)
			}
		}
		t.Log.Info("machines released", "machines", names[:n])
		t.mu.Unlock()
		signal(t.roundSignal)
		names = names[n:]
	}
}

// unwanted chooses the machines to be released. A machine once chosen gets no
// work and stays chosen, since a release that got no answer may be carried
// out at any time.
func (t *Term) unwanted(now units.Micros) []string {
	chosen := map[string]bool{}
	mark := func(m *cluster.Machine, why string) {
		if !m.Releasing {
			t.Log.Info("machine is to be released", "machine", m.ID, "why", why, "tasks", len(m.Attempts))
			m.Releasing = true
		}
	}
	silent := t.silentMachines(now)
	for _, id := range sortedKeys(t.ledger.Machines) {
		m := t.ledger.Machines[id]
		boot := units.Seconds(t.ledger.InstanceTypes[m.InstanceType].BootS)
		switch {
		case m.Registered && m.Quarantined && len(m.Attempts) == 0:
			mark(m, "faulty")
		case !m.Registered && m.Stage != protocol.MachineRunning && now-m.RentedAt > bootLimit*boot+30*units.Second && now-t.claimedAt > 30*units.Second:
			mark(m, "never came up")
		case !m.Registered && now-max(t.claimedAt, m.RentedAt) > withDrift(t.Settings.Fleet.Workers.Lease(), zoneCutMost):
			// It runs, the cloud says, but has not been heard in this term: its
			// zone may be cut off, for a while.
			mark(m, "silent")
		case silent[id]:
			// Waiting for its lease would take longer, and what is known to
			// be gone can start elsewhere.
			mark(m, "silent")
		}
		if m.Releasing {
			chosen[id] = true
		}
	}
	for id := range silent {
		if t.ledger.Machines[id] == nil {
			chosen[id] = true
		}
	}
	for _, m := range t.idle(now) {
		mark(m, "idle")
		chosen[m.ID] = true
	}
	return sortedKeys(chosen)
}

// idle chooses machines that nothing has needed for a while, the dearest
// first, as long as what is left covers the need and the reserve.
func (t *Term) idle(now units.Micros) []*cluster.Machine {
	in := t.fleetInput()
	wait := t.Policy.IdleReturn(in)
	keep := max(units.AmountOf(in.DemandCPUs), t.Policy.ReserveCPUs(in))
	have := units.AmountOf(in.FleetCPUs)
	var out []*cluster.Machine
	for _, m := range t.ledger.Machines {
		if m.Registered && !m.Releasing && m.FencingToken == t.number && len(m.Attempts) == 0 && now-m.IdleSince > wait && now-t.claimedAt > wait {
			out = append(out, m)
		}
	}
	sort.Slice(out, func(i, k int) bool {
		a, b := out[i], out[k]
		if pa, pb := t.price(a), t.price(b); pa != pb {
			return pa > pb
		}
		return a.ID < b.ID
	})
	// What is left must be of the right kinds: services may not be allowed on
	// those that are cheapest.
	view := t.fleetView(in)
	view.Reserve, view.Refused = 0, func(Kind) bool { return false }
	lacking := func() int {
		count := 0
		for _, o := range WantRented(&view) {
			count += o.Count
		}
		return count
	}
	n, lacks := 0, lacking()
	for _, m := range out[:min(len(out), idleAtATime)] {
		if have-m.Capacity.CPU < keep {
			continue
		}
		kind := Kind{m.InstanceType, m.Zone, m.Spot}
		if view.Have[kind]--; lacking() > lacks {
			view.Have[kind]++
			continue
		}
		have -= m.Capacity.CPU
		out[n] = m
		n++
	}
	return out[:n]
}

// idleAtATime bounds the machines that are looked at in one go.
const idleAtATime = 50

func (t *Term) price(m *cluster.Machine) float64 {
	typ := t.ledger.InstanceTypes[m.InstanceType]
	if m.Spot {
		return typ.SpotPrice
	}
	return typ.Price
}
