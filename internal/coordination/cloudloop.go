package coordination

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sort"
	"sync"

	"dunestand/internal/bookkeeping"
	"dunestand/internal/config"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// renting is what the cloud loop remembers.
type renting struct {
	catalog       protocol.Catalog
	catalogStored map[string]uint64 // versions, by key
	catalogFormat int               // in which it was stored last
	catalogAt     units.Micros
	listAt        units.Micros
	refused       map[Kind]refusal
	open          []protocol.Rent // sent, and not answered yet
}

type refusal struct {
	until units.Micros
	wait  units.Micros
}

func newRenting() renting {
	return renting{refused: map[Kind]refusal{}, catalogStored: map[string]uint64{}}
}

const (
	cloudTick    = 500 * units.Millisecond
	catalogEvery = 60 * units.Second
	rentPasses   = 8
	rentsAtOnce  = 3
	refusedFirst = 8 * units.Second
	refusedMost  = 40 * units.Second
	bootPatience = 3 // boot times until a machine is not reckoned with
	bootLimit    = 6 // boot times until it is given up
	// A worker that looks for a new leader tries the next node after 1 s, and
	// waits 4 s on each that does not answer.
	searchStart = 2500 * units.Millisecond
	searchNode  = 5 * units.Second
	maxTombs    = 8192 // names of released machines kept: their reports may still come
)

// cloudLoop keeps the rented machines as wanted.
func (t *Term) cloudLoop(ctx context.Context) {
	for wait := units.Micros(0); pause(ctx, wait); wait = cloudTick {
		if !t.Lease.Valid(t.number) {
			continue
		}
		now := t.Clock.Steady()
		if t.rent.catalogAt == 0 || now-t.rent.catalogAt >= catalogEvery {
			t.readCatalog(ctx)
		}
		if every := max(2*units.Second, units.Seconds(t.Settings.Fleet.Cloud.ListLagS)/2); t.rent.listAt == 0 || now-t.rent.listAt >= every {
			t.readList(ctx)
		}
		t.releaseUnwanted(ctx)
		t.rentWanted(ctx)
	}
}

func (t *Term) readCatalog(ctx context.Context) {
	c, err := t.Cloud.Catalog(ctx)
	if err != nil || len(c.Types) == 0 {
		t.Log.Info("catalog not read", "error", err)
		return
	}
	t.mu.Lock()
	t.ledger.SetTypes(c.Types)
	changed := !sameTypes(c, t.rent.catalog)
	t.rent.catalog, t.rent.catalogAt = c, t.Clock.Steady()
	t.mu.Unlock()
	kick(t.kickRound)
	if format := t.Format.Level(); changed || format != t.rent.catalogFormat {
		t.storeCatalog(ctx, c, format)
	}
}

// storeCatalog keeps the catalog for a leader that begins during an outage of
// the cloud. Whether it succeeds matters to nobody now.
func (t *Term) storeCatalog(ctx context.Context, c protocol.Catalog, format int) {
	state := t.Settings.Fleet.State.Both()
	versions := t.rent.catalogStored
	for changes := range slices.Chunk(bookkeeping.CatalogChanges(c.Types, format, state.ValueBytes(), versions), state.TxnOps) {
		txn := protocol.Txn{Then: changes}
		for _, ch := range changes {
			key := ch.Set + ch.Delete // one of them
			txn.If = append(txn.If, protocol.Condition{Key: key, Version: versions[key]})
		}
		version, err := t.Store.Commit(ctx, txn, false, stateCall)
		if err != nil {
			t.Log.Info("catalog not stored", "error", err)
			return
		}
		for _, ch := range changes {
			if ch.Set != "" {
				versions[ch.Set] = version
			} else {
				delete(versions, ch.Delete)
			}
		}
	}
	t.rent.catalogFormat = format
}

// sameTypes compares catalogs but for the spot prices, which move all the time.
func sameTypes(a, b protocol.Catalog) bool {
	return slices.EqualFunc(a.Types, b.Types, func(x, y protocol.MachineType) bool {
		x.SpotPrice, y.SpotPrice = 0, 0
		zones := slices.Equal(x.Zones, y.Zones)
		x.Zones, y.Zones = nil, nil
		return zones && fmt.Sprint(x) == fmt.Sprint(y)
	})
}

func (t *Term) readList(ctx context.Context) {
	listed, err := t.Cloud.List(ctx)
	if err != nil {
		t.Log.Debug("machines not listed", "error", err)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Steady()
	t.rent.listAt = now
	present := make(map[string]bool, len(listed))
	for _, l := range listed {
		present[l.ID] = true
		if _, gone := t.tombs[l.ID]; gone {
			continue
		}
		_, known := t.ledger.Machines[l.ID]
		m := t.ledger.Machine(l.ID, l.Type, l.Zone, l.Spot, now)
		if !known {
			m.Rented = now - units.Seconds(l.AgeS)
			t.Log.Debug("machine listed", "machine", l.ID, "type", l.Type, "zone", l.Zone, "stage", l.Stage)
		}
		if !m.Seen {
			m.Stage, m.Endpoint = l.Stage, l.Endpoint
		}
		if l.Stage == protocol.MachineFailed && !m.Releasing {
			// It has stopped on its own: nothing runs there any more. The
			// release only takes it off the list.
			t.Log.Info("machine failed", "machine", m.ID, "lost", len(m.Attempts))
			t.ledger.Emptied(m, now)
			t.ledger.Settle(m.ID)
			m.Releasing = true
			kick(t.kickRound)
		}
	}
	lag := units.Seconds(t.Settings.Fleet.Cloud.ListLagS)
	for _, m := range t.ledger.Machines {
		// Taken or deleted before it was up. That a machine is not listed proves
		// nothing about one that may hold tasks: its lease decides.
		if !m.Seen && !present[m.ID] && now-m.Rented > 4*lag+20*units.Second && !t.ledger.Doubtful(m.ID) {
			t.remove(m, now)
		}
	}
}

// remove drops a machine that is gone. The cloud may have room for another of
// its kind now, whatever it said before: after a wave of losses, waiting for the
// refusal to pass once left a quarter of the fleet away for half a minute.
func (t *Term) remove(m *bookkeeping.Machine, now units.Micros) {
	t.ledger.Remove(m, now)
	delete(t.rent.refused, Kind{m.Type, m.Zone, m.Spot})
}

// releaseUnwanted returns machines that are faulty, lost, never came up, or
// are idle beyond what is to be kept.
func (t *Term) releaseUnwanted(ctx context.Context) {
	t.mu.Lock()
	names := t.unwanted(t.Clock.Steady())
	t.mu.Unlock()
	for len(names) > 0 {
		n := min(len(names), protocol.MaxRelease)
		if err := t.Cloud.Release(ctx, names[:n]); err != nil {
			t.Log.Debug("machines not released", "machines", names[:n], "error", err)
			return
		}
		t.mu.Lock()
		now := t.Clock.Steady()
		for _, id := range names[:n] {
			t.bury(id, now)
			if m := t.ledger.Machines[id]; m != nil {
				t.remove(m, now)
			} else {
				t.ledger.Settle(id)
			}
		}
		t.Log.Info("machines released", "machines", names[:n])
		t.mu.Unlock()
		kick(t.kickRound)
		names = names[n:]
	}
}

// bury remembers a machine that is gone. It may still be listed for a while,
// and copies of its reports may come at any time in this term: they must not
// bring it back with room for work.
func (t *Term) bury(id string, now units.Micros) {
	if len(t.tombs) >= maxTombs {
		oldest := id
		for other, at := range t.tombs {
			if at < t.tombs[oldest] || oldest == id {
				oldest = other
			}
		}
		delete(t.tombs, oldest)
	}
	t.tombs[id] = now
}

// unwanted chooses the machines to be released. A machine once chosen gets no
// work and stays chosen, since a release that got no answer may be carried
// out at any time.
func (t *Term) unwanted(now units.Micros) []string {
	chosen := map[string]bool{}
	mark := func(m *bookkeeping.Machine, why string) {
		if !m.Releasing {
			t.Log.Info("machine is to be released", "machine", m.ID, "why", why, "tasks", len(m.Attempts))
			m.Releasing = true
		}
	}
	silent := t.silentMachines(now)
	for _, id := range sortedKeys(t.ledger.Machines) {
		m := t.ledger.Machines[id]
		boot := units.Seconds(t.ledger.Types[m.Type].BootS)
		switch {
		case m.Seen && m.SetAside && len(m.Attempts) == 0:
			mark(m, "faulty")
		case !m.Seen && m.Stage != protocol.MachineRunning && now-m.Rented > bootLimit*boot+30*units.Second && now-t.claimedAt > 30*units.Second:
			mark(m, "never came up")
		case !m.Seen && now-max(t.claimedAt, m.Rented) > withDrift(t.Settings.Fleet.Workers.Lease(), zoneCutMost):
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
	if now < t.judgeFrom {
		return silent
	}
	var fleet health
	zones := map[string]*health{}
	report := t.Settings.Fleet.Workers.Report()
	limit := t.silentAfter() + units.Second
	for _, m := range t.ledger.Ordered() {
		zone := zones[m.Zone]
		if zone == nil {
			zone = new(health)
			zones[m.Zone] = zone
		}
		switch {
		case m.Seen && (now-m.LastAnswered > limit || m.Unheard >= deafAfter):
			silent[m.ID] = true
			fleet.silent++
			zone.silent++
		case m.Seen && now-m.LastAnswered > report.Share(5, 4)+units.Second:
			fleet.late++
			zone.late++
		case m.Seen:
			fleet.reporting++
			zone.reporting++
		}
	}
	t.unreached = max(t.unreached, t.Unreached())
	if now-t.claimedAt > searchStart+report.Share(5, 4)+searchNode*units.Micros(t.unreached) {
		for _, id := range t.ledger.DoubtfulMachines() {
			m := t.ledger.Machines[id]
			if m != nil && m.Seen {
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
func (t *Term) mayGoAlone(m *bookkeeping.Machine, zone *health, now units.Micros) bool {
	return zone == nil || zone.reportTo(1) || zone.silent+zone.late < zoneCutLeast ||
		now-max(m.LastAnswered, t.claimedAt) > withDrift(t.Settings.Fleet.Workers.Lease(), zoneCutMost)
}

const (
	zoneCutLeast = 3                  // machines of a zone that fall silent together
	zoneCutMost  = 120 * units.Second // beyond the workers' lease, until they are given back
)

// idle chooses machines that nothing has needed for a while, the dearest
// first, as long as what is left covers the need and the reserve.
func (t *Term) idle(now units.Micros) []*bookkeeping.Machine {
	in := t.fleetInput()
	wait := t.Policy.IdleReturn(in)
	keep := max(units.AmountOf(in.DemandCPUs), t.Policy.ReserveCPUs(in))
	have := units.AmountOf(in.FleetCPUs)
	var out []*bookkeeping.Machine
	for _, m := range t.ledger.Machines {
		if m.Seen && !m.Releasing && m.Term == t.number && len(m.Attempts) == 0 && now-m.IdleSince > wait && now-t.claimedAt > wait {
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
		if have-m.Size.CPU < keep {
			continue
		}
		kind := Kind{m.Type, m.Zone, m.Spot}
		if view.Have[kind]--; lacking() > lacks {
			view.Have[kind]++
			continue
		}
		have -= m.Size.CPU
		out[n] = m
		n++
	}
	return out[:n]
}

// idleAtATime bounds the machines that are looked at in one go.
const idleAtATime = 50

func (t *Term) price(m *bookkeeping.Machine) float64 {
	typ := t.ledger.Types[m.Type]
	if m.Spot {
		return typ.SpotPrice
	}
	return typ.Price
}

func (t *Term) fleetInput() config.FleetInput {
	in := config.FleetInput{Hour: int(t.Clock.Wall() / units.Second / 3600 % 24)}
	for _, j := range t.ledger.Jobs {
		if !j.Service() {
			t.lastWork = t.Clock.Steady()
			break
		}
	}
	in.QuietS = (t.Clock.Steady() - t.lastWork).Seconds()
	for _, team := range t.ledger.Teams {
		in.GuaranteedCPUs += team.Guarantee.CPU.Float()
		in.LimitCPUs += team.Limit.CPU.Float()
	}
	for _, n := range t.needs() {
		in.DemandCPUs += n.Spec.Need.CPU.Float() * float64(n.Count)
	}
	for _, m := range t.ledger.Machines {
		if !m.Releasing {
			in.FleetCPUs += m.Size.CPU.Float()
		}
	}
	return in
}

// needs lists the tasks that are not done, as far as their teams' limits let
// them run, and the replicas that room is kept for.
func (t *Term) needs() []Need {
	left := map[string]units.Resources{}
	for name, team := range t.ledger.Teams {
		left[name] = team.Limit
	}
	var out []Need
	for _, j := range t.jobsInOrder() {
		if j.Cancelled || !j.Accepted() {
			continue
		}
		room := left[j.Spec.Team]
		if n := min(j.Unfinished(), room.Fits(j.Spec.Need)); n > 0 {
			left[j.Spec.Team] = room.Plus(j.Spec.Need, -n)
			out = append(out, Need{&j.Spec, n})
		}
	}
	if like := t.spareLike(); like != nil {
		out = append(out, Need{like, t.spareCount(like)})
	}
	return out
}

// rentWanted rents what is wanted. What one kind refuses is asked of the next
// at once: a boot takes long enough.
func (t *Term) rentWanted(ctx context.Context) {
	for range rentPasses {
		t.mu.Lock()
		if len(t.rent.open) == 0 {
			t.rent.open = t.orders(t.Clock.Steady())
		}
		orders := t.rent.open
		t.mu.Unlock()
		if len(orders) == 0 {
			return
		}
		var wg sync.WaitGroup
		slots := make(chan struct{}, rentsAtOnce)
		unanswered := make([]bool, len(orders))
		for i, r := range orders {
			slots <- struct{}{}
			wg.Add(1)
			go func() {
				defer wg.Done()
				unanswered[i] = !t.rentOne(ctx, r)
				<-slots
			}()
		}
		wg.Wait()
		var open []protocol.Rent // sent again under the same names
		for i, r := range orders {
			if unanswered[i] {
				open = append(open, r)
			}
		}
		t.mu.Lock()
		t.rent.open = open
		t.mu.Unlock()
		if len(open) > 0 {
			return
		}
	}
}

// rentOne sends one request and tells whether it was answered.
func (t *Term) rentOne(ctx context.Context, r protocol.Rent) bool {
	names, err := t.Cloud.Rent(ctx, r)
	if err != nil && !errors.Is(err, bookkeeping.ErrNoCapacity) {
		t.Log.Debug("rent not answered", "request", r.Request, "error", err)
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Steady()
	kind := Kind{r.Type, r.Zone, r.Spot}
	if len(names) < r.Count {
		was := t.rent.refused[kind]
		wait := min(max(2*was.wait, refusedFirst), refusedMost)
		t.rent.refused[kind] = refusal{now + wait, wait}
	} else {
		delete(t.rent.refused, kind)
	}
	for _, id := range names {
		if _, gone := t.tombs[id]; !gone {
			m := t.ledger.Machine(id, r.Type, r.Zone, r.Spot, now)
			if m.Stage == "" {
				m.Stage = protocol.MachineBooting
			}
		}
	}
	t.Log.Info("machines rented", "request", r.Request, "type", r.Type, "zone", r.Zone, "spot", r.Spot, "asked", r.Count, "got", names)
	return true
}

// fleetView is what the renting decision looks at.
func (t *Term) fleetView(in config.FleetInput) FleetView {
	v := FleetView{Types: t.ledger.Types, Have: map[Kind]int{}, Needs: t.needs(),
		Reserve: t.Policy.ReserveCPUs(in), SpotPreference: t.Policy.SpotPreference(in)}
	now := t.Clock.Steady()
	for _, m := range t.ledger.Machines {
		boot := units.Seconds(t.ledger.Types[m.Type].BootS)
		if m.Releasing || m.SetAside || m.NoticeEnds > 0 || !m.Seen && now-m.Rented > bootPatience*boot+10*units.Second {
			continue
		}
		v.Have[Kind{m.Type, m.Zone, m.Spot}]++
	}
	return v
}

// orders turns what is wanted into requests with names never used before: the
// term is in them, and no two terms are alike.
func (t *Term) orders(now units.Micros) []protocol.Rent {
	if len(t.ledger.Types) == 0 || t.rent.listAt == 0 {
		return nil // what there is, is not known yet
	}
	v := t.fleetView(t.fleetInput())
	v.Refused = func(k Kind) bool { return now < t.rent.refused[k].until }
	var out []protocol.Rent
	for _, o := range WantRented(&v) {
		t.hires++
		out = append(out, protocol.Rent{Request: fmt.Sprintf("r-%d-%d", t.number, t.hires),
			Type: o.Kind.Type, Zone: o.Kind.Zone, Spot: o.Kind.Spot, Count: o.Count})
	}
	return out
}
