package autoscaler

import (
	"io"
	"log/slog"
	"testing"

	"dunestand/internal/cluster"
	"dunestand/internal/config"
	"dunestand/internal/failuredetector"
	"dunestand/internal/fake"
	"dunestand/internal/protocol"
	"dunestand/internal/scheduler"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// newTestAutoscaler returns an autoscaler of a leader with one stored, waiting job of the given
// number of tasks.
func newTestAutoscaler(tasks int) (*Autoscaler, *fake.Clock) {
	clock := &fake.Clock{Now: 100 * units.Second}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	settings := fake.Settings()
	state := cluster.NewState(settings.Fleet.Teams, settings.Fleet.KVLimits)
	state.SetInstanceTypes(fake.Catalog().Types)
	policy := config.DefaultPolicy()
	detector := failuredetector.New(failuredetector.Deps{
		State: state, Settings: settings, Clock: clock, Log: log, ElectedAt: clock.Now,
		UnreachablePeers: func() int { return 0 },
	})
	as := New(Deps{
		State:      state,
		Leadership: &fake.Leadership{FencingToken: 7},
		Detector:   detector,
		Scheduler: scheduler.New(scheduler.Deps{
			State: state, Detector: detector, Settings: settings, Policy: policy, Clock: clock, Log: log, Token: 7,
		}),
		Settings:  settings,
		Policy:    policy,
		Clock:     clock,
		Log:       log,
		Token:     7,
		ElectedAt: clock.Now,
	})
	spec := *fake.JobSpec("j-000001")
	spec.Tasks = tasks
	state.NewJob(spec, clock.Now, clock.Now)
	batch := state.BuildWriteBatch("7-1", make([]uint64, storage.Buckets), cluster.BatchLimits{}, clock.Now)
	state.BatchCommitted(batch, 1)
	return as, clock
}

// An offering of which the cloud had too few machines is not ordered during its backoff. The
// loss of a machine of the offering ends the backoff, since the cloud may have capacity for a
// replacement at once.
func TestLostMachineIsReplacedAtOnce(t *testing.T) {
	as, clock := newTestAutoscaler(40)
	as.provisioning.listReadAt = clock.Now
	m := as.State.EnsureMachine("i-000001", "m", "a", true, clock.Now)
	for _, spot := range []bool{false, true} {
		as.provisioning.unavailable[Offering{"m", "a", spot}] = capacityBackoff{
			until: clock.Now + maxCapacityBackoff,
			delay: maxCapacityBackoff,
		}
	}
	if requests := as.planRequests(clock.Now); len(requests) != 0 {
		t.Fatalf("ordered offerings during their backoff: %v", requests)
	}
	as.removeMachine(m, clock.Now)
	if requests := as.planRequests(clock.Now); len(requests) != 1 || !requests[0].Spot {
		t.Errorf("requests after the loss of a spot instance: %v, want one for a spot instance", requests)
	}
}

// largestFleet is the maximum number of machines that the system is designed for.
const largestFleet = 4000

// Reading the machine list takes at most a third of the cloud's request rate limit, however
// long the list is.
func TestMachineListLeavesRequestRateForScaling(t *testing.T) {
	cloud := config.CloudLimits{RPS: 6, ListLagS: 4}
	for _, machines := range []int{0, 400, 1700, largestFleet, 3 * largestFleet} {
		pages := float64(1 + machines/protocol.MaxListPage)
		interval := listInterval(cloud, machines)
		if rate := pages / interval.Seconds(); rate > cloud.RPS/3 {
			t.Errorf("%d machines: the list takes %.2f of %.0f requests per second", machines, rate, cloud.RPS)
		}
		if machines <= 1499 && interval != minListInterval {
			t.Errorf("%d machines are listed every %v", machines, interval.Duration())
		}
	}
}
