package admission

import (
	"encoding/binary"
	"iter"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
)

// A plan is built by these functions and by nothing else, before anybody else sees it. The
// trees that it holds are persistent: a plan that begins with those of the one before
// shares with it all that has not changed, and readers need no lock.

// Like tells whether a plan restricts the same cells in the same places as another one.
// Their quotas may differ: these change with every task that ends.
func (p *Plan) Like(other *Plan) bool {
	if other == nil || p.cells.Len() != other.cells.Len() || p.queueHeads.Len() != other.queueHeads.Len() {
		return false
	}
	for cell, gate := range p.allCells() {
		known, _, found := other.Gate(cell)
		if !found || known.Start != gate.Start || known.Width != gate.Width {
			return false
		}
	}
	for id := range p.allQueueHeads() {
		if !other.AtQueueHead(id) {
			return false
		}
	}
	return true
}

// setTeam sets a team's gate.
func (p *Plan) setTeam(key teamKey, gate TeamGate) {
	raw := key.bytes(nil)
	if known, ok := p.teams.Get(raw); !ok || known != gate {
		p.teams, _, _ = p.teams.Insert(raw, gate)
	}
}

// setCells makes the cells' gates the given ones.
func (p *Plan) setCells(gates map[Cell]CellGate) {
	txn := p.cells.Txn()
	for cell := range p.allCells() {
		if _, kept := gates[cell]; !kept {
			txn.Delete(cell.bytes(nil))
		}
	}
	for cell, gate := range gates {
		raw := cell.bytes(nil)
		if known, ok := p.cells.Get(raw); !ok || known != gate {
			txn.Insert(raw, gate)
		}
	}
	p.cells = txn.Commit()
}

// setQueueHeads replaces the jobs at the head of the queue.
func (p *Plan) setQueueHeads(ids []string) {
	txn := iradix.New[struct{}]().Txn()
	for _, id := range ids {
		txn.Insert([]byte(id), struct{}{})
	}
	p.queueHeads = txn.Commit()
}

// allTeams goes over the teams' gates in the order of their keys.
func (p *Plan) allTeams() iter.Seq2[teamKey, TeamGate] {
	return func(yield func(teamKey, TeamGate) bool) {
		i := p.teams.Root().Iterator()
		for raw, gate, ok := i.Next(); ok; raw, gate, ok = i.Next() {
			team, rest := cutName(raw)
			if !yield(teamKey{Team: team, Pool: Pool(rest[0])}, gate) {
				return
			}
		}
	}
}

// allCells goes over the cells' gates in the order of their keys.
func (p *Plan) allCells() iter.Seq2[Cell, CellGate] {
	return func(yield func(Cell, CellGate) bool) {
		i := p.cells.Root().Iterator()
		for raw, gate, ok := i.Next(); ok; raw, gate, ok = i.Next() {
			team, rest := cutName(raw)
			class, _ := cutName(rest[2:])
			cell := Cell{Team: team, Class: class, Pool: Pool(rest[0]), Band: Band(rest[1])}
			if !yield(cell, gate) {
				return
			}
		}
	}
}

// allQueueHeads iterates over the IDs of the jobs at the head of the queue.
func (p *Plan) allQueueHeads() iter.Seq[string] {
	return func(yield func(string) bool) {
		i := p.queueHeads.Root().Iterator()
		for raw, _, ok := i.Next(); ok; raw, _, ok = i.Next() {
			if !yield(string(raw)) {
				return
			}
		}
	}
}

// cutName takes a name off a key that appendName made.
func cutName(key []byte) (name string, rest []byte) {
	length, n := binary.Uvarint(key)
	end := n + int(length)
	return string(key[n:end]), key[end:]
}
