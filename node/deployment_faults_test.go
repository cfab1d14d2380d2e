package node

import (
	"dunestand/internal/fake"
)

// clearFaults ends all faults.
func (d *deployment) clearFaults() {
	d.update(func() {
		d.kvDown, d.kvDelay, d.kvListDelay, d.lateCommitShare = false, 0, 0, 0
		for _, n := range d.nodes {
			n.kvRejects = false
		}
	})
	for i := range d.nodes {
		d.partitionPeers(i, false)
		d.partitionMachines(i, false, anyMachine)
	}
	for _, m := range d.allMachines() {
		m.InjectFault(fake.Fault{})
		m.Hang(0)
	}
}

// rejectKV makes the key-value store reject one controller's requests, or serve them again.
func (d *deployment) rejectKV(node int, rejected bool) {
	d.update(func() { d.nodes[node].kvRejects = rejected })
}

// setKVOutage makes the key-value store reject all requests, or serve them again.
func (d *deployment) setKVOutage(down bool) { d.update(func() { d.kvDown = down }) }

// partitionPeers separates a controller from the others, or joins them again.
func (d *deployment) partitionPeers(node int, partitioned bool) {
	d.partitionPeersOneWay(node, partitioned)
	for k := range d.nodes {
		if k != node {
			d.network.Partition(d.nodes[k].name, d.nodes[node].name+meshPort, partitioned)
		}
	}
}

// partitionPeersOneWay cuts off what a controller sends to the others, or joins them again;
// what they send to it arrives.
func (d *deployment) partitionPeersOneWay(node int, partitioned bool) {
	for k := range d.nodes {
		if k != node {
			d.network.Partition(d.nodes[node].name, d.nodes[k].name+meshPort, partitioned)
		}
	}
}

func anyMachine(*fake.Machine) bool { return true }

// partitionMachines separates a controller from the selected machines, or joins them again.
func (d *deployment) partitionMachines(node int, partitioned bool, selected func(m *fake.Machine) bool) {
	for _, m := range d.allMachines() {
		if selected(m) {
			d.network.Partition(m.ID, d.nodes[node].name+fake.ClientPort, partitioned)
			d.network.Partition(d.nodes[node].name, m.Endpoint(), partitioned)
		}
	}
}

// injectFault replaces the fault of machines.
func injectFault(machines []*fake.Machine, fault fake.Fault) {
	for _, m := range machines {
		m.InjectFault(fault)
	}
}
