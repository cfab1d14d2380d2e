package persister

import (
	"strings"
	"testing"
	"time"

	"dunestand/internal/cluster"
	"dunestand/internal/config"
	"dunestand/internal/fake"
	"dunestand/internal/kv"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// newPacedPersister returns a restored persister whose write budget is small and used up.
func newPacedPersister(t *testing.T) *Persister {
	t.Helper()
	limits := config.KVLimits{RPS: 1e4, WriteRPS: 20, ValueKB: 8, TxnOps: 12}
	clock := &fake.Clock{Now: units.Second}
	p := newTestPersister(kv.NewClient(nil, "127.0.0.1:1", limits, 0, clock), clock, 1, limits)
	p.InstallRecords(nil, protocol.Catalog{})
	if !p.State.Restored {
		t.Fatal("not restored")
	}
	p.KV.ReserveWrites(p.KV.WritesAvailable())
	return p
}

// Batches that had been built waited for the write budget, three in a row, and users whose jobs
// came meanwhile waited behind them: for 1.3 s, and the controller that had forwarded the job
// accepted it a second time. What waits for the budget is not built yet.
func TestBatchIsBuiltOnceWriteBudgetAllows(t *testing.T) {
	p := newPacedPersister(t)
	machine := p.State.EnsureMachine("i-000001", "m", "a", true, 0)
	for i := range 30 {
		spec := *fake.JobSpec("j-0000" + string(rune('0'+i/10)) + string(rune('0'+i%10)))
		job := p.State.NewJob(spec, 0, 0)
		batch := p.State.BuildWriteBatch("accept", p.BucketVersions(), cluster.BatchLimits{}, 0)
		p.State.BatchCommitted(batch, uint64(i+1))
		p.State.Assign(job, machine, uint64(i+1), units.Second)
	}
	awaitWrites(t, p, minChangesPerBatch)
	p.State.NewJob(*fake.JobSpec("j-900001"), p.Clock.Wall(), p.Clock.Steady())
	batch := p.nextBatch()
	if batch == nil {
		t.Fatal("nothing is written though there is room")
	}
	if jobs := batch.JobIDs(); jobs[0] != "j-900001" || len(jobs) > 2*minChangesPerBatch {
		t.Errorf("wrote %s, want few jobs and the one whose user waits first", strings.Join(jobs, " "))
	}
	if left := p.KV.WritesAvailable(); left >= minChangesPerBatch {
		t.Errorf("%d writes are still available: the batch was not counted", left)
	}
}

// awaitWrites waits until the budget has room for some writes.
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
