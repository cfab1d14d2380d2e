package coordination

import (
	"strings"
	"testing"
	"time"

	"dunestand/internal/cluster"
	"dunestand/internal/config"
	"dunestand/internal/kv"
	"dunestand/internal/units"
)

// pacedLeader is a restored term whose share of the writes is small and used up.
func pacedLeader(t *testing.T) *Leader {
	t.Helper()
	limits := config.State{RPS: 1e4, WriteRPS: 20, ValueKB: 8, TxnOps: 12}
	clock := &manualClock{now: units.Second}
	term := testLeader(1, clock, func(d *Deps) {
		d.Settings.Fleet.State = limits
		d.KV = kv.NewClient(nil, "127.0.0.1:1", limits, 0, clock)
	})
	term.persister.installRecords(nil, modelCatalog)
	if !term.Ready() {
		t.Fatal("not restored")
	}
	term.KV.ReserveWrites(term.KV.WritesAvailable())
	return term
}

// Saves that had been built waited for the rate of writes, three in a row, and users whose
// jobs came meanwhile waited behind them: for 1.3 s, and the controller that had passed the
// job on accepted it a second time. What waits for the rate is not built yet.
func TestBatchesAreBuiltOnceTheWriteRateHasRoom(t *testing.T) {
	term := pacedLeader(t)
	machine := term.state.EnsureMachine("i-000001", "m", "a", true, 0)
	for i := range 30 {
		spec := modelSpec("j-0000" + string(rune('0'+i/10)) + string(rune('0'+i%10)))
		job := term.state.NewJob(*spec, 0, 0)
		save := term.state.BuildWriteBatch("accept", term.persister.bucketVersions, cluster.BatchLimits{}, 0)
		term.state.BatchCommitted(save, uint64(i+1))
		term.state.Assign(job, machine, uint64(i+1), units.Second)
	}
	awaitWrites(t, term, maxBatchWait)
	term.addJob(modelSpec("j-900001"))
	save := term.persister.nextBatch()
	if save == nil {
		t.Fatal("nothing is saved though there is room")
	}
	if jobs := save.JobIDs(); jobs[0] != "j-900001" || len(jobs) > 2*maxBatchWait {
		t.Errorf("saved %s, want few jobs and the one whose user waits first", strings.Join(jobs, " "))
	}
	if left := term.KV.WritesAvailable(); left >= maxBatchWait {
		t.Errorf("%d writes are still available: the save was not counted", left)
	}
}

// awaitWrites waits until the share has room for some writes.
func awaitWrites(t *testing.T, term *Leader, writes int) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for term.KV.WritesAvailable() < writes {
		if time.Now().After(deadline) {
			t.Fatalf("no room for %d writes", writes)
		}
		time.Sleep(5 * time.Millisecond)
	}
}
