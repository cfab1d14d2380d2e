package federation

import (
	"slices"

	"pgregory.net/rapid"

	"dunestand/internal/protocol"
)

// send adds messages to the network and requires that they are well-formed.
func (m *model) send(from *modelCell, to string, messages []Message) {
	for _, message := range messages {
		if err := message.Check(); err != nil {
			m.t.Fatalf("cell %s sends invalid message %+v: %v", from.name, message, err)
		}
		i := slices.IndexFunc(m.cells, func(c *modelCell) bool { return c.name == to })
		m.network = append(m.network, envelope{from, m.cells[i], message})
	}
}

// applyOrigin executes a decision of the origin: it writes the record, then sends the messages.
// The leader may crash before the write and between both steps.
func (m *model) applyOrigin(c *modelCell, decision Decision[OriginRecord]) {
	if m.maybeCrash(c) {
		return
	}
	job := decision.Record.Transfer.Job
	if decision.Write {
		c.outgoing[job] = roundTripOrigin(m.t, decision.Record)
		if c.leader.grantors[job] == nil {
			grantor := NewLeaseGrantor(m.clock(c))
			c.leader.grantors[job] = &grantor
		}
		if m.maybeCrash(c) {
			return
		}
	}
	m.send(c, decision.Record.Target, decision.Send)
}

// applyTarget executes a decision of the target like applyOrigin, and updates the reservations.
func (m *model) applyTarget(c *modelCell, decision Decision[TargetRecord]) {
	if m.maybeCrash(c) {
		return
	}
	id := decision.Record.Transfer
	switch {
	case decision.Remove:
		delete(c.incoming, id)
	case decision.Write:
		c.incoming[id] = roundTripTarget(m.t, decision.Record)
		if c.leader.holders[id] == nil {
			holder := NewLeaseHolder(c.fencingToken)
			c.leader.holders[id] = &holder
		}
		switch decision.Record.Phase {
		case TargetAccepted:
			c.leader.reservations.Commit(id)
		case TargetFinished, TargetRefused:
			c.leader.reservations.Release(id)
		}
		if m.maybeCrash(c) {
			return
		}
	}
	m.send(c, id.Origin, decision.Send)
}

// deliver delivers a message, unless the receiver has no leader or a partition affects the link.
func (m *model) deliver(sent envelope) {
	c, message := sent.to, &sent.message
	if m.now < c.leaderStartsAt || m.partitions[[2]string{sent.from.name, c.name}] {
		return // the message is lost
	}
	if message.Kind.toTarget() {
		r, known := c.incoming[message.Transfer]
		if known {
			m.applyTarget(c, r.Receive(message, c.leader.holders[message.Transfer], modelTiming.Lease, m.clock(c)))
			return
		}
		hasCapacity := message.Kind == MessageReserve && c.leader.reservations.Reserve(message.Transfer, message.Work, m.clock(c))
		m.applyTarget(c, ReceiveNew(message, hasCapacity))
		return
	}
	r, known := c.outgoing[message.Transfer.Job]
	if !known {
		m.send(c, sent.from.name, ReplyToUnknown(message))
		return
	}
	decision := r.Receive(message, c.leader.grantors[r.Transfer.Job], m.clock(c))
	if message.Transfer != r.Transfer {
		m.send(c, sent.from.name, decision.Send)
		return
	}
	m.applyOrigin(c, decision)
}

// deliverAny delivers a random message of the network, regardless of its age. The message may
// stay in the network and be delivered again.
func (m *model) deliverAny() {
	i := rapid.IntRange(0, len(m.network)-1).Draw(m.t, "message")
	sent := m.network[i]
	if len(m.network) > 60 || rapid.IntRange(0, 4).Draw(m.t, "copy stays") != 0 {
		m.network = slices.Delete(m.network, i, i+1)
	}
	m.deliver(sent)
	m.checkInvariants()
}

// roundTripOrigin encodes and decodes an origin's record.
func roundTripOrigin(t *rapid.T, record OriginRecord) OriginRecord {
	read, err := DecodeOriginRecord(protocol.Item{Key: record.Key(), Value: record.Encode("1-1")})
	if err != nil {
		t.Fatal(err)
	}
	return read
}

// roundTripTarget encodes and decodes a target's record.
func roundTripTarget(t *rapid.T, record TargetRecord) TargetRecord {
	read, err := DecodeTargetRecord(protocol.Item{Key: record.Key(), Value: record.Encode("1-1")})
	if err != nil {
		t.Fatal(err)
	}
	return read
}
