package admission

import (
	"iter"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
)

// The setters below are called only while a plan is built, before it is shared. The trees of a
// plan are persistent (immutable with shared structure): a plan that starts from the trees of
// its predecessor shares the unchanged parts, and readers need no lock.

// SameRestrictions reports whether two plans restrict the same flows to the same windows and
// have the same jobs at the head of the queue. It ignores version quotas, which change whenever
// a task ends.
func (p *Plan) SameRestrictions(other *Plan) bool {
	if other == nil || p.restrictions.Len() != other.restrictions.Len() || p.queueHeads.Len() != other.queueHeads.Len() {
		return false
	}
	for flow, restriction := range p.allRestrictions() {
		otherRestriction, _, found := other.Restriction(flow)
		if !found || otherRestriction.Start != restriction.Start || otherRestriction.Width != restriction.Width {
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

// setTeam sets the entry of a team.
func (p *Plan) setTeam(key teamKey, entry TeamEntry) {
	raw := key.appendKey(nil)
	if known, ok := p.teams.Get(raw); !ok || known != entry {
		p.teams, _, _ = p.teams.Insert(raw, entry)
	}
}

// setRestrictions replaces all restrictions.
func (p *Plan) setRestrictions(restrictions map[Flow]FlowRestriction) {
	txn := p.restrictions.Txn()
	for flow := range p.allRestrictions() {
		if _, kept := restrictions[flow]; !kept {
			txn.Delete(flow.appendKey(nil))
		}
	}
	for flow, restriction := range restrictions {
		raw := flow.appendKey(nil)
		if known, ok := p.restrictions.Get(raw); !ok || known != restriction {
			txn.Insert(raw, restriction)
		}
	}
	p.restrictions = txn.Commit()
}

// setQueueHeads replaces the jobs at the head of the queue.
func (p *Plan) setQueueHeads(ids []string) {
	txn := iradix.New[struct{}]().Txn()
	for _, id := range ids {
		txn.Insert([]byte(id), struct{}{})
	}
	p.queueHeads = txn.Commit()
}

// allTeams iterates over the teams' entries in the order of their keys.
func (p *Plan) allTeams() iter.Seq2[teamKey, TeamEntry] {
	return func(yield func(teamKey, TeamEntry) bool) {
		i := p.teams.Root().Iterator()
		for raw, entry, ok := i.Next(); ok; raw, entry, ok = i.Next() {
			team, rest := cutName(raw)
			if !yield(teamKey{Team: team, Pool: Pool(rest[0])}, entry) {
				return
			}
		}
	}
}

// allRestrictions iterates over the restrictions in the order of their keys.
func (p *Plan) allRestrictions() iter.Seq2[Flow, FlowRestriction] {
	return func(yield func(Flow, FlowRestriction) bool) {
		i := p.restrictions.Root().Iterator()
		for raw, restriction, ok := i.Next(); ok; raw, restriction, ok = i.Next() {
			team, rest := cutName(raw)
			class, _ := cutName(rest[2:])
			flow := Flow{Team: team, Class: class, Pool: Pool(rest[0]), Band: Band(rest[1])}
			if !yield(flow, restriction) {
				return
			}
		}
	}
}

// allQueueHeads iterates over the IDs of the jobs at the head of the queue in ascending order.
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
