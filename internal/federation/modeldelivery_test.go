package federation

import (
	"slices"

	"pgregory.net/rapid"

	"dunestand/internal/protocol"
)

func (m *model) send(from *modelCell, to string, messages []Message) {
	for _, msg := range messages {
		if err := msg.Check(); err != nil {
			m.t.Fatalf("a cell sends %+v: %v", msg, err)
		}
		i := slices.IndexFunc(m.cells, func(c *modelCell) bool { return c.name == to })
		m.network = append(m.network, envelope{from, m.cells[i], msg})
	}
}

// originDecides carries a decision out: stored first, then sent.
func (m *model) applyOrigin(c *modelCell, d Decision[OriginRecord]) {
	if m.maybeCrash(c) {
		return
	}
	job := d.Record.Transfer.Job
	if d.Write {
		c.outgoing[job] = roundTripOrigin(m.t, d.Record)
		if c.leader.grantors[job] == nil {
			grantor := NewLeaseGrantor(m.clock(c))
			c.leader.grantors[job] = &grantor
		}
		if m.maybeCrash(c) {
			return
		}
	}
	m.send(c, d.Record.Target, d.Send)
}

func (m *model) applyTarget(c *modelCell, d Decision[TargetRecord]) {
	if m.maybeCrash(c) {
		return
	}
	id := d.Record.Transfer
	switch {
	case d.Remove:
		delete(c.incoming, id)
	case d.Write:
		c.incoming[id] = roundTripTarget(m.t, d.Record)
		if c.leader.holders[id] == nil {
			holder := NewLeaseHolder(c.fencingToken)
			c.leader.holders[id] = &holder
		}
		switch d.Record.Phase {
		case TargetAccepted:
			c.leader.reservations.Commit(id)
		case TargetFinished, TargetRefused:
			c.leader.reservations.Release(id)
		}
		if m.maybeCrash(c) {
			return
		}
	}
	m.send(c, id.Origin, d.Send)
}

func (m *model) deliver(e envelope) {
	c, msg := e.to, &e.message
	if m.now < c.leaderFrom || m.partitions[[2]string{e.from.name, c.name}] {
		return // lost
	}
	if msg.Kind.toTarget() {
		r, known := c.incoming[msg.Transfer]
		if known {
			m.applyTarget(c, r.Receive(msg, c.leader.holders[msg.Transfer], modelTiming.Lease, m.clock(c)))
			return
		}
		room := msg.Kind == MessageReserve && c.leader.reservations.Reserve(msg.Transfer, msg.Work, m.clock(c))
		m.applyTarget(c, ReceiveNew(msg, room))
		return
	}
	r, known := c.outgoing[msg.Transfer.Job]
	if !known {
		m.send(c, e.from.name, ReplyToUnknown(msg))
		return
	}
	d := r.Receive(msg, c.leader.grantors[r.Transfer.Job], m.clock(c))
	if msg.Transfer != r.Transfer {
		m.send(c, e.from.name, d.Send)
		return
	}
	m.applyOrigin(c, d)
}

// deliverAny delivers any message that is on its way, however old. A copy may stay.
func (m *model) deliverAny() {
	i := rapid.IntRange(0, len(m.network)-1).Draw(m.t, "message")
	e := m.network[i]
	if len(m.network) > 60 || rapid.IntRange(0, 4).Draw(m.t, "copy stays") != 0 {
		m.network = slices.Delete(m.network, i, i+1)
	}
	m.deliver(e)
	m.checkInvariants()
}

func roundTripOrigin(t *rapid.T, r OriginRecord) OriginRecord {
	back, err := ParseOrigin(protocol.Item{Key: r.Key(), Value: r.Encode("1-1")})
	if err != nil {
		t.Fatal(err)
	}
	return back
}

func roundTripTarget(t *rapid.T, r TargetRecord) TargetRecord {
	back, err := DecodeTargetRecord(protocol.Item{Key: r.Key(), Value: r.Encode("1-1")})
	if err != nil {
		t.Fatal(err)
	}
	return back
}
