package node

import (
	"dunestand/internal/standin"
)

// calm ends all troubles.
func (d *day) calm() {
	d.set(func() {
		d.stateDown, d.cloudDown, d.stateSlow, d.listSlow, d.late = false, false, 0, 0, 0
		for _, n := range d.nodes {
			n.refused = false
		}
	})
	for i := range d.nodes {
		d.cutPeers(i, false)
		d.cutWorkers(i, false, func(*standin.Machine) bool { return true })
	}
	for _, m := range d.all() {
		m.Set(standin.Trouble{})
		m.Hang(0)
	}
}

// refuse has the state service refuse one controller, or serve it again.
func (d *day) refuse(node int, refused bool) { d.set(func() { d.nodes[node].refused = refused }) }

// outage has the state service refuse everybody, or serve them again.
func (d *day) outage(down bool) { d.set(func() { d.stateDown = down }) }

// cutPeers separates a controller from the others, or joins it again.
func (d *day) cutPeers(node int, cut bool) {
	for k := range d.nodes {
		if k != node {
			d.net.Cut(d.nodes[node].name, d.nodes[k].name+portMesh, cut)
			d.net.Cut(d.nodes[k].name, d.nodes[node].name+portMesh, cut)
		}
	}
}

// cutWorkers separates a controller from some machines, or joins them again.
func (d *day) cutWorkers(node int, cut bool, which func(m *standin.Machine) bool) {
	for _, m := range d.all() {
		if which(m) {
			d.net.Cut(m.ID, d.nodes[node].name+standin.UsersPort, cut)
			d.net.Cut(d.nodes[node].name, m.Endpoint(), cut)
		}
	}
}

// trouble puts machines into a trouble.
func trouble(machines []*standin.Machine, t standin.Trouble) {
	for _, m := range machines {
		m.Set(t)
	}
}
