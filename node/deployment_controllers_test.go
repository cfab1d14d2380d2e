package node

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"dunestand/internal/config"
	"dunestand/internal/fake"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// simulatedController is one controller of a deployment.
type simulatedController struct {
	name      string
	stop      context.CancelFunc
	stopped   chan struct{}
	kvRejects bool // the key-value store responds 503 to this controller; guarded by deployment.mu
}

// start starts a controller, for the first time or after stop.
func (d *deployment) start(i int) {
	controller := d.controllers[i]
	settings := d.settings(i)
	var policy *config.Policy
	if d.policy != nil {
		policy = d.policy(i)
	}
	daemon := New(settings, Deps{
		Log:    controllerLog(controller.name),
		Policy: policy,
		Random: d.newRandom(1),
		Dial:   d.network.Dialer(controller.name),
		Listen: func(_ context.Context, addr string) (net.Listener, error) { return d.network.Listen(addr), nil },
	})
	ctx, stop := context.WithCancel(d.ctx)
	stopped := make(chan struct{})
	controller.stop, controller.stopped = stop, stopped
	go func() { // stop waits until it returns
		defer close(stopped)
		if err := daemon.Run(ctx); err != nil {
			d.t.Errorf("%s: %v", controller.name, err)
		}
	}()
}

// settings returns a controller's settings.
func (d *deployment) settings(i int) *config.Settings {
	endpoint := func(k int, port string) string { return d.controllers[k].name + port }
	settings := &config.Settings{
		Name:         d.controllers[i].name,
		Zone:         zones[i%len(zones)],
		ClientListen: endpoint(i, fake.ClientPort),
		MeshListen:   endpoint(i, meshPort),
		Services:     config.Services{Cloud: cloudAddress, KVStore: endpoint(i, kvPort)},
		Fleet:        d.fleet,
	}
	for k := range d.controllers {
		if k != i {
			settings.Peers = append(settings.Peers, config.Peer{
				Name:     d.controllers[k].name,
				Zone:     zones[k%len(zones)],
				Endpoint: endpoint(k, meshPort),
			})
		}
	}
	return settings
}

// newRandom returns a generator seeded from the random source of the deployment.
func (d *deployment) newRandom(stream uint64) *rand.Rand {
	d.mu.Lock()
	defer d.mu.Unlock()
	return rand.New(rand.NewPCG(d.random.Uint64(), stream))
}

// stop stops a controller and waits until it has ended.
func (d *deployment) stop(i int) {
	d.controllers[i].stop()
	<-d.controllers[i].stopped
}

// restart stops a controller and starts it again after a downtime.
func (d *deployment) restart(i int, downtime time.Duration) {
	d.stop(i)
	d.sleep(downtime)
	d.start(i)
}

// leader waits until the metrics of a controller show that it leads, and returns its index.
func (d *deployment) leader() int {
	d.t.Helper()
	for range 200 {
		if i, ok := d.currentLeader(); ok {
			return i
		}
		d.sleep(100 * time.Millisecond)
	}
	d.t.Fatal("no controller leads")
	return 0
}

// currentLeader returns the index of the controller that leads according to its metrics, and
// whether there is one.
func (d *deployment) currentLeader() (controller int, ok bool) {
	controller, _, ok = d.currentLeaderTerm()
	return controller, ok
}

// currentLeaderTerm is like currentLeader and also returns the fencing token that the metrics of
// the leader show.
func (d *deployment) currentLeaderTerm() (controller int, token string, ok bool) {
	for i := range d.controllers {
		r := d.request(i, http.MethodGet, metricsPath, nil)
		if r.status != http.StatusOK {
			continue
		}
		if _, rest, leads := strings.Cut(string(r.body), "dunestand_term "); leads {
			token, _, _ = strings.Cut(rest, "\n")
			return i, token, true
		}
	}
	return 0, "", false
}

// leaderOr returns the leader, or the controller other while the key-value store is down, because
// there may be no leader then.
func (d *deployment) leaderOr(other int) int {
	var down bool
	d.update(func() { down = d.kvDown })
	if down {
		return other % defaultControllers
	}
	return d.leader()
}

// startMachine starts the worker of a provisioned machine.
func (d *deployment) startMachine(m protocol.ListedMachine) {
	random := d.newRandom(2)
	d.mu.Lock()
	defer d.mu.Unlock()
	var names []string
	for _, n := range d.controllers {
		names = append(names, n.name)
	}
	machine := fake.NewMachine(fake.MachineSpec{
		MachineInfo:  fake.MachineInfo{ID: m.ID, Zone: m.Zone},
		InstanceType: m.InstanceType,
		Spot:         m.Spot,
		CPUs:         machineCPUs,
		Timing: fake.WorkerTiming{
			HeartbeatInterval: units.Seconds(d.fleet.Workers.HeartbeatS).Duration(),
			LeaseDuration:     workerLease,
		},
		Controllers: names,
	}, d.network, d.invariants, random)
	d.machines = append(d.machines, machine)
	d.background.Go(func() { machine.Run(d.ctx) })
}

// stopMachine kills a released machine.
func (d *deployment) stopMachine(id string) {
	for _, m := range d.allMachines() {
		if m.ID == id {
			m.Kill()
			d.update(func() {
				d.machines = slices.DeleteFunc(d.machines, func(o *fake.Machine) bool { return o == m })
			})
		}
	}
}

// allMachines returns the machines that have not been released.
func (d *deployment) allMachines() []*fake.Machine {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.machines)
}

// busyMachines returns the machines that run tasks.
func (d *deployment) busyMachines() []*fake.Machine {
	return slices.DeleteFunc(d.allMachines(), func(m *fake.Machine) bool { return m.RunningTasks() == 0 })
}
