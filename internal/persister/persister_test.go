package persister

import (
	"strings"
	"testing"
	"time"

	"dunestand/internal/cluster"
	"dunestand/internal/config"
	"dunestand/internal/kv"
	"dunestand/internal/protocol"
	"dunestand/internal/standin"
	"dunestand/internal/units"
)

// pacedPersister is a restored persister whose share of the writes is small and used up.
func pacedPersister(t *testing.T) *Persister {
	t.Helper()
	limits := config.State{RPS: 1e4, WriteRPS: 20, ValueKB: 8, TxnOps: 12}
	clock := &standin.Clock{Now: units.Second}
	p := newTestPersister(kv.NewClient(nil, "127.0.0.1:1", limits, 0, clock), clock, 1, limits)
	p.InstallRecords(nil, protocol.Catalog{})
	if !p.State.Restored {
		t.Fatal("not restored")
	}
	p.KV.ReserveWrites(p.KV.WritesAvailable())
	return p
}

// Saves that had been built waited for the rate of writes, three in a row, and users whose
// jobs came meanwhile waited behind them: for 1.3 s, and the controller that had passed the
// job on accepted it a second time. What waits for the rate is not built yet.
func TestBatchesAreBuiltOnceTheWriteRateHasRoom(t *testing.T) {
	p := pacedPersister(t)
	machine := p.State.EnsureMachine("i-000001", "m", "a", true, 0)
	for i := range 30 {
		spec := testSpec("j-0000" + string(rune('0'+i/10)) + string(rune('0'+i%10)))
		job := p.State.NewJob(spec, 0, 0)
		save := p.State.BuildWriteBatch("accept", p.BucketVersions(), cluster.BatchLimits{}, 0)
		p.State.BatchCommitted(save, uint64(i+1))
		p.State.Assign(job, machine, uint64(i+1), units.Second)
	}
	awaitWrites(t, p, maxBatchWait)
	p.State.NewJob(testSpec("j-900001"), p.Clock.Wall(), p.Clock.Steady())
	save := p.nextBatch()
	if save == nil {
		t.Fatal("nothing is saved though there is room")
	}
	if jobs := save.JobIDs(); jobs[0] != "j-900001" || len(jobs) > 2*maxBatchWait {
		t.Errorf("saved %s, want few jobs and the one whose user waits first", strings.Join(jobs, " "))
	}
	if left := p.KV.WritesAvailable(); left >= maxBatchWait {
		t.Errorf("%d writes are still available: the save was not counted", left)
	}
}

// awaitWrites waits until the share has room for some writes.
func awaitWrites(t *testing.T, p *Persister, writes int) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for p.KV.WritesAvailable() < writes {
		if time.Now().After(deadline) {
			t.Fatalf("no room for %d writes", writes)
		}
		time.Sleep(5 * time.Millisecond)
	}
}
