package node

import (
	"dunestand/internal/standin"
)

// calm ends all troubles.
func (d *deployment) clearFaults() {
	d.update(func() {
		d.kvDown, d.cloudDown, d.kvDelay, d.kvListDelay, d.lateCommitShare = false, false, 0, 0, 0
		for _, n := range d.nodes {
			n.kvRejects = false
		}
	})
	for i := range d.nodes {
		d.partitionPeers(i, false)
		d.partitionMachines(i, false, func(*standin.Machine) bool { return true })
	}
	for _, m := range d.allMachines() {
		m.InjectFault(standin.Fault{})
		m.Hang(0)
	}
}

// refuse has the state service refuse one controller, or serve it again.
func (d *deployment) rejectKV(node int, rejected bool) {
	d.update(func() { d.nodes[node].kvRejects = rejected })
}

// outage has the state service refuse everybody, or serve them again.
func (d *deployment) setKVOutage(down bool) { d.update(func() { d.kvDown = down }) }

// cutPeers separates a controller from the others, or joins it again.
func (d *deployment) partitionPeers(node int, partitioned bool) {
	for k := range d.nodes {
		if k != node {
			d.network.Partition(d.nodes[node].name, d.nodes[k].name+meshPort, partitioned)
			d.network.Partition(d.nodes[k].name, d.nodes[node].name+meshPort, partitioned)
		}
	}
}

// cutWorkers separates a controller from some machines, or joins them again.
func (d *deployment) partitionMachines(node int, partitioned bool, which func(m *standin.Machine) bool) {
	for _, m := range d.allMachines() {
		if which(m) {
			d.network.Partition(m.ID, d.nodes[node].name+standin.UsersPort, partitioned)
			d.network.Partition(d.nodes[node].name, m.Endpoint(), partitioned)
		}
	}
}

// trouble puts machines into a trouble.
func injectFault(machines []*standin.Machine, fault standin.Fault) {
	for _, m := range machines {
		m.InjectFault(fault)
	}
}
