package controller

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"dunestand/internal/config"
	"dunestand/internal/fake"
	"dunestand/internal/persister"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
)

// A leader that finds records in a format unknown to its version neither skips nor misreads them. It
// gives up the lease and abstains from campaigns, so that a controller of a newer version can lead.
func TestLeaderAbstainsOnUnknownFormats(t *testing.T) {
	for name, put := range map[string]func(store *fake.KVServer){
		"the fleet's format": func(store *fake.KVServer) {
			store.Put(storage.KeyFleetFormat, protocol.Encode(storage.FormatRecord{Format: storage.NewestFormat + 1}))
		},
		"a job's record": func(store *fake.KVServer) {
			store.Put(storage.KeyJob(testJob), protocol.Encode(map[string]any{
				"v":     storage.NewestFormat + 1,
				"id":    testJob,
				"tasks": 1,
			}))
		},
		"a part record of a job": func(store *fake.KVServer) {
			store.Put(storage.KeyJob(testJob)+"/z0", protocol.Encode(map[string]any{"v": 1}))
		},
		"a part record without a job record or a terminal record": func(store *fake.KVServer) {
			store.Put(storage.KeyJob(testJob)+"/d0", protocol.Encode(map[string]any{"v": 2}))
		},
	} {
		store := fake.NewKVServer()
		put(store)
		leader := newLeaderWithStore(t, 1, store)
		if leader.persister.Restore(t.Context()) || leader.Ready() {
			t.Errorf("%s: the controller leads", name)
		}
		if leader.leadership.Valid() || leader.fakeLeadership().AbstainedFor != persister.UnreadableAbstention {
			t.Errorf("%s: the controller keeps the lease or does not abstain", name)
		}
		if newer := leader.Format.TooNew(); newer != (name == "the fleet's format") {
			t.Errorf("%s: the fleet's format is too new: %v", name, newer)
		}
	}
}

// No service is accepted before all controllers are upgraded: a leader of the legacy version would
// consider it done when its replicas end. The user is asked to retry. A service that can never run
// is rejected permanently, before and after the upgrade.
func TestServicesAreNotAcceptedBeforeTheUpgrade(t *testing.T) {
	leader := newTestLeader(1, &fake.Clock{})
	leader.state.SetInstanceTypes(modelCatalog.Types)
	service := *fake.JobSpec(testJob)
	service.Kind, service.Tasks = protocol.Service, modelQuotaCPUs
	for _, c := range []struct {
		format storage.Format
		tasks  int
		want   *rejectionError
		status int // 0: accepted
	}{
		{storage.FormatV1, modelQuotaCPUs, errNotUpgraded, http.StatusServiceUnavailable},
		{storage.FormatV1, modelQuotaCPUs + 1, errJobOverQuota, http.StatusUnprocessableEntity},
		{storage.FormatV2, modelQuotaCPUs, nil, 0},
		{storage.FormatV2, modelQuotaCPUs + 1, errJobOverQuota, http.StatusUnprocessableEntity},
	} {
		leader.setFormat(c.format)
		service.Tasks = c.tasks
		if got := leader.checkAdmissible(&service); got != c.want || got != nil && got.status != c.status {
			t.Errorf("format %d, %d tasks: %v, want %v with status %d", c.format, c.tasks, got, c.want, c.status)
		}
	}
}

// A gang that needs more than its team's limit can never start, and is rejected for good. Only the tasks
// of an array run one after the other.
func TestGangOverQuotaIsRejected(t *testing.T) {
	leader := newTestLeader(1, &fake.Clock{})
	leader.state.SetInstanceTypes(modelCatalog.Types)
	spec := *fake.JobSpec(testJob)
	spec.Tasks = modelQuotaCPUs + 1
	for kind, want := range map[protocol.JobKind]*rejectionError{protocol.Array: nil, protocol.Gang: errJobOverQuota} {
		spec.Kind = kind
		if got := leader.checkAdmissible(&spec); got != want {
			t.Errorf("kind %v: %v, want %v", kind, got, want)
		}
	}
}

// The key-value store lowers its limits during a run, and the record format is upgraded later. Every
// job is accepted, a large job that was stored before is split into several records, and no write
// batch is retried unchanged forever.
func TestJobsAreStoredAfterLimitsAreLowered(t *testing.T) {
	store := fake.NewKVServer()
	store.SetLimits(16<<10, 12, 1000)
	leader := newLeaderWithStore(t, 1, store, func(d *Deps) {
		d.Format = fake.NewRecordFormat(storage.FormatV1)
		d.Settings.Fleet.KVLimits = config.KVLimits{
			RPS:      1e4,
			WriteRPS: 1e4,
			ValueKB:  16,
			TxnOps:   12,
			Next:     &config.KVLimits{ValueKB: 2, TxnOps: 4, WriteRPS: 600},
		}
	})
	if !leader.persister.Restore(t.Context()) {
		t.Fatal("records not restored")
	}
	leader.state.SetInstanceTypes(modelCatalog.Types)
	startLoop(t, leader.persister.Run)
	durable := func(machines int) func() bool {
		return func() bool { return leader.state.Jobs[testJob].MachineNameIsDurable(machineID(machines - 1)) }
	}
	submitUntilAccepted(t, leader, testJob, protocol.MaxTasks)
	assignMachines(leader, 0, 300)
	expectWritten(t, leader, durable(300))
	store.SetLimits(2<<10, 4, 600)
	assignMachines(leader, 300, 310) // the record of testJob is too large now; other jobs are still written
	for i := range 10 {
		submitUntilAccepted(t, leader, fmt.Sprintf("j-%06d", i+10), 3)
	}
	time.Sleep(2 * persister.RejectedRetryDelay.Duration())
	if n := store.RejectedTxns(); n == 0 || n > 3 {
		t.Errorf("%d write batches were rejected", n)
	}
	leader.setFormat(storage.FormatV2)
	expectWritten(t, leader, durable(310))
	assignMachines(leader, 310, 900)
	expectWritten(t, leader, durable(900))
	completeAllTasks(leader)
	expectWritten(t, leader, func() bool { return leader.state.Jobs[testJob] == nil })
	if !eventually(recordWriteTimeout, func() bool { return len(store.Keys(storage.KeyJob(testJob))) == 0 }) {
		t.Fatalf("records left of a job in a terminal state: %v", store.Keys(storage.KeyJob(testJob)))
	}
	if record, found, err := persister.ReadTerminal(t.Context(), leader.KV, testJob); err != nil || !found || record.Stage != protocol.StageDone || record.Done != protocol.MaxTasks {
		t.Errorf("terminal record %+v, found %v, error %v", record, found, err)
	}
}

// submitUntilAccepted submits a job and retries up to 20 times until it is accepted.
func submitUntilAccepted(t *testing.T, leader *Leader, id string, tasks int) {
	t.Helper()
	spec := *fake.JobSpec(id)
	spec.Tasks = tasks
	for try := 0; ; try++ {
		if a := leader.Submit(t.Context(), &spec); a.Status == http.StatusCreated || a.Status == http.StatusOK {
			return
		} else if try == 20 {
			t.Fatalf("%s: %d %s", id, a.Status, a.Body)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// recordWriteTimeout is how long tests wait for the persister to write records.
const recordWriteTimeout = 20 * time.Second

// expectWritten waits until condition holds, for recordWriteTimeout at most. It calls condition with
// the state lock held.
func expectWritten(t *testing.T, leader *Leader, condition func() bool) {
	t.Helper()
	if !eventually(recordWriteTimeout, func() bool {
		leader.state.Lock()
		defer leader.state.Unlock()
		return condition()
	}) {
		t.Fatal("records not written in time")
	}
}

// assignMachines assigns one task of testJob to each machine from index from up to, but not
// including, index to.
func assignMachines(leader *Leader, from, to int) {
	leader.state.Lock()
	defer leader.state.Unlock()
	for i := from; i < to; i++ {
		leader.state.Assign(leader.state.Jobs[testJob], leader.state.EnsureMachine(machineID(i), "m", "a", true, 0), uint64(i+1), 0)
	}
	leader.writeSignal.Raise()
}

// completeAllTasks marks all tasks of testJob as done.
func completeAllTasks(leader *Leader) {
	leader.state.Lock()
	defer leader.state.Unlock()
	for i := range protocol.MaxTasks {
		leader.state.TaskDone(leader.state.Jobs[testJob], i, 0)
	}
	leader.writeSignal.Raise()
}
