package failuredetector

import (
	"fmt"
	"io"
	"log/slog"
	"maps"
	"slices"
	"testing"

	"dunestand/internal/cluster"
	"dunestand/internal/config"
	"dunestand/internal/fake"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

const testNow = 1000 * units.Second

// newTestDetector returns a detector of a leader that was elected 500 s ago and has just received
// heartbeats from 10 machines of zone a and 4 of zone b.
func newTestDetector(t testing.TB) *Detector {
	t.Helper()
	settings := &config.Settings{Fleet: config.Fleet{
		Workers:  config.Workers{HeartbeatS: 1, LeaseS: 10, CancelS: 11},
		KVLimits: config.KVLimits{RPS: 100, WriteRPS: 50, ValueKB: 8, TxnOps: 12},
		Cloud:    config.CloudLimits{RPS: 5, ListLagS: 4},
	}}
	state := cluster.NewState(nil, settings.Fleet.KVLimits)
	for i := range 14 {
		zone := "a"
		if i >= 10 {
			zone = "b"
		}
		m := state.EnsureMachine(machineID(i), "m", zone, false, testNow)
		m.Registered, m.LastHeartbeat = true, testNow
	}
	return New(Deps{
		State:            state,
		Leadership:       &fake.Leadership{FencingToken: 7},
		Settings:         settings,
		Log:              slog.New(slog.NewTextHandler(io.Discard, nil)),
		ElectedAt:        testNow - 500*units.Second,
		UnreachablePeers: func() int { return 0 },
	})
}

func machineID(i int) string { return fmt.Sprintf("i-%06d", i) }

// A silent machine is lost if most other machines of the fleet and of its zone are healthy. If they
// are silent, too, the network is the likelier cause.
func TestSilentMachineIsLostUnlessMostOthersAreSilent(t *testing.T) {
	for _, c := range []struct {
		name    string
		silent  []int
		silence units.Micros
		want    []int
	}{
		{"none silent", nil, 0, nil},
		{"late heartbeat", []int{3}, 2 * units.Second, nil},
		{"one silent", []int{3}, 20 * units.Second, []int{3}},
		{"whole zone silent", []int{10, 11, 12, 13}, 20 * units.Second, nil},
		{"whole zone silent for very long", []int{10, 11, 12, 13}, 200 * units.Second, []int{10, 11, 12, 13}},
		{"half the fleet silent", []int{0, 1, 2, 3, 4, 5, 6}, 20 * units.Second, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newTestDetector(t)
			for _, i := range c.silent {
				d.State.Machines[machineID(i)].LastHeartbeat = testNow - c.silence
			}
			var want []string
			for _, i := range c.want {
				want = append(want, machineID(i))
			}
			if got := slices.Sorted(maps.Keys(d.LostMachines(testNow))); !slices.Equal(got, want) {
				t.Errorf("lost: %v, want %v", got, want)
			}
		})
	}
}

// A machine that sends heartbeats and does not carry out commands is lost.
func TestMachineThatIgnoresCommandsIsLost(t *testing.T) {
	d := newTestDetector(t)
	d.State.Machines[machineID(5)].UndeliveredCommands = cluster.MaxUndeliveredCommands
	if got := d.LostMachines(testNow); len(got) != 1 || !got[machineID(5)] {
		t.Errorf("lost: %v, want only the machine that ignores commands", got)
	}
}

// After a delay of this controller no machine is lost until each could send another heartbeat.
func TestDelayedControllerReportsNoLostMachine(t *testing.T) {
	d := newTestDetector(t)
	d.State.Machines[machineID(3)].LastHeartbeat = testNow - 20*units.Second
	d.RecordDelay(testNow)
	if got := d.LostMachines(testNow); len(got) != 0 {
		t.Errorf("lost: %v, want none during the delay", got)
	}
	later := testNow + d.SuspectAfter()
	for id, m := range d.State.Machines {
		if id != machineID(3) {
			m.LastHeartbeat = later
		}
	}
	if got := d.LostMachines(later); len(got) != 1 || !got[machineID(3)] {
		t.Errorf("lost after the delay: %v, want only the silent machine", got)
	}
}

// A leader that receives no heartbeat from any of several machines steps down, unless the silence is
// so long that it is no evidence of an isolated leader.
func TestLossOfAllHeartbeatsStepsDown(t *testing.T) {
	for _, c := range []struct {
		name     string
		silence  units.Micros
		restored bool
		want     bool
	}{
		{"heartbeats arrive", units.Second, true, false},
		{"none arrives", 4 * units.Second, true, true},
		{"none arrives, records not read yet", 4 * units.Second, false, false},
		{"none has arrived for long", 60 * units.Second, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newTestDetector(t)
			leadership := &fake.Leadership{FencingToken: 7}
			d.Leadership, d.State.Restored = leadership, c.restored
			d.CheckHeartbeatLoss(testNow + c.silence)
			if leadership.Lost != c.want {
				t.Errorf("stepped down: %v, want %v", leadership.Lost, c.want)
			}
		})
	}
}

// The attempts of a machine are dropped once its lease has expired by this controller's clock.
func TestExpiredLeaseDropsAttempts(t *testing.T) {
	lease := newTestDetector(t).WorkerLease()
	for _, c := range []struct {
		name     string
		after    units.Micros
		attempts int
	}{
		{"within the lease", lease - 1, 1},
		{"beyond the lease", lease, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newTestDetector(t)
			m := d.State.Machines[machineID(0)]
			job := d.State.NewJob(protocol.JobSpec{ID: "j-000001", Tasks: 1, Request: fake.CPUs(1)}, testNow, testNow)
			d.State.Assign(job, m, 1, testNow)
			d.ExpireWorkerLeases(testNow + c.after)
			if len(m.Attempts) != c.attempts {
				t.Errorf("%d attempts, want %d", len(m.Attempts), c.attempts)
			}
		})
	}
}
