package node

import (
	"dunestand/internal/fake"
)

// clearFaults ends all faults.
func (d *deployment) clearFaults() {
	d.update(func() {
		d.kvDown, d.kvDelay, d.kvListDelay, d.lateCommitShare = false, 0, 0, 0
		for _, n := range d.controllers {
			n.kvRejects = false
		}
	})
	d.cloud.SetDown(false)
	d.cloud.SetReleasesOnly(false)
	for i := range d.controllers {
		d.partitionPeers(i, false)
		d.partitionMachines(i, false, anyMachine)
	}
	for _, m := range d.allMachines() {
		m.InjectFault(fake.Fault{})
		m.Hang(0)
	}
}

// setKVRejection sets whether the key-value store rejects the requests of one controller.
func (d *deployment) setKVRejection(controller int, rejected bool) {
	d.update(func() { d.controllers[controller].kvRejects = rejected })
}

// setKVOutage sets whether the key-value store rejects all requests.
func (d *deployment) setKVOutage(down bool) { d.update(func() { d.kvDown = down }) }

// partitionPeers starts or ends the partition between a controller and the others.
func (d *deployment) partitionPeers(controller int, partitioned bool) {
	d.partitionPeersOneWay(controller, partitioned)
	for k := range d.controllers {
		if k != controller {
			d.network.Partition(d.controllers[k].name, d.controllers[controller].name+meshPort, partitioned)
		}
	}
}

// partitionPeersOneWay starts or ends the partition of a controller from the others one way: it
// cannot open connections to them and loses those that it has opened. The connections that the
// others open to it still work, in both directions.
func (d *deployment) partitionPeersOneWay(controller int, partitioned bool) {
	for k := range d.controllers {
		if k != controller {
			d.network.Partition(d.controllers[controller].name, d.controllers[k].name+meshPort, partitioned)
		}
	}
}

func anyMachine(*fake.Machine) bool { return true }

// partitionMachines starts or ends the partition between a controller and the selected machines.
func (d *deployment) partitionMachines(controller int, partitioned bool, selected func(m *fake.Machine) bool) {
	for _, m := range d.allMachines() {
		if selected(m) {
			d.network.Partition(m.ID, d.controllers[controller].name+fake.ClientPort, partitioned)
			d.network.Partition(d.controllers[controller].name, m.Endpoint(), partitioned)
		}
	}
}

// injectFault replaces the fault of each machine.
func injectFault(machines []*fake.Machine, fault fake.Fault) {
	for _, m := range machines {
		m.InjectFault(fault)
	}
}
