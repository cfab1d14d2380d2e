package autoscaler

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"dunestand/internal/cloud"
	"dunestand/internal/cluster"
	"dunestand/internal/config"
	"dunestand/internal/fake"
	"dunestand/internal/loop"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// A machine that is not idle is released if it is quarantined, lost, or did not boot or register
// in time, and otherwise kept.
func TestOnlyUnhealthyMachinesAreReleased(t *testing.T) {
	const never = releaseReason("")
	for _, c := range []struct {
		name   string
		change func(m *cluster.Machine)
		lost   bool
		after  units.Micros // since the launch of the machine and the election of the leader
		want   releaseReason
	}{
		{"healthy", func(m *cluster.Machine) { m.Registered = true }, false, 1000 * units.Second, never},
		{"quarantined", func(m *cluster.Machine) { m.Registered, m.Quarantined = true, true }, false, units.Second, releaseQuarantined},
		{"lost", func(m *cluster.Machine) { m.Registered = true }, true, units.Second, releaseLost},
		{"booting", func(m *cluster.Machine) { m.Stage = protocol.MachineBooting }, false, 60 * units.Second, never},
		{"booting for too long", func(m *cluster.Machine) { m.Stage = protocol.MachineBooting }, false, 61 * units.Second, releaseBootTimeout},
		{"running without a heartbeat", func(m *cluster.Machine) { m.Stage = protocol.MachineRunning }, false, 61 * units.Second, never},
		{"running without a heartbeat for too long", func(m *cluster.Machine) { m.Stage = protocol.MachineRunning }, false, 200 * units.Second, releaseLost},
	} {
		t.Run(c.name, func(t *testing.T) {
			as, clock := newTestAutoscaler(1)
			m := as.State.EnsureMachine("i-000001", "m", "a", false, clock.Now)
			c.change(m)
			got, release := as.releaseReason(m, map[string]bool{m.ID: c.lost}, clock.Now+c.after)
			if got != c.want || release != (c.want != never) {
				t.Errorf("reason %q, release %v, want %q", got, release, c.want)
			}
		})
	}
}

// A machine that must be released by a deadline is requested by the urgent loop alone, gets no more work,
// and is marked as being released.
func TestMachineWithDeadlineIsReleasedByUrgentLoopOnly(t *testing.T) {
	as, clock := newTestAutoscaler(1)
	as.Settings.Fleet.Workers.CancelS = 40
	m := as.State.EnsureMachine("i-000001", "m", "a", false, clock.Now)
	m.Registered, m.LastHeartbeat = true, clock.Now
	job := as.State.Jobs["j-000001"]
	as.State.Assign(job, m, 1, clock.Now).Stage = cluster.Running
	job.Cancel(clock.Now, clock.Now)
	if ids := as.UrgentMachinesToRelease(clock.Now); len(ids) != 0 {
		t.Errorf("released at once: %v", ids)
	}
	deadline := clock.Now + as.Settings.Fleet.Workers.CancelBound()
	if ids := as.UrgentMachinesToRelease(deadline - units.Second); len(ids) != 1 || ids[0] != m.ID || !m.Releasing {
		t.Errorf("released by the deadline: %v", ids)
	}
	if ids := as.MachinesToRelease(deadline - units.Second); len(ids) != 0 {
		t.Errorf("requested by both loops: %v", ids)
	}
}

// The leadership ends during the first of three release requests. The other two, for machines that may
// have got tasks of the next leader, are not sent.
func TestReleaseEndsWithLeadership(t *testing.T) {
	as, _ := newTestAutoscaler(1)
	requests := 0
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		requests++
		as.Leadership.(*fake.Leadership).Lost = true
	}))
	defer server.Close()
	as.Cloud = cloud.NewClient(nil, strings.TrimPrefix(server.URL, "http://"), config.CloudLimits{RPS: 100})
	as.CycleSignal = loop.NewSignal()
	ids := make([]string, 3*protocol.MaxScaleIn)
	for i := range ids {
		ids[i] = fmt.Sprintf("i-%06d", i)
	}
	as.releaseMachines(t.Context(), ids)
	if requests != 1 {
		t.Errorf("%d requests, want 1", requests)
	}
}
