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

// newPacedPersister returns a restored persister with a small write budget, which is exhausted.
func newPacedPersister(t *testing.T) *Persister {
	t.Helper()
	limits := config.KVLimits{RPS: 1e4, WriteRPS: 20, ValueKB: 8, TxnOps: 12}
	clock := &fake.Clock{Now: units.Second}
	p := newTestPersister(kv.NewClient(nil, "127.0.0.1:1", limits, 0, clock), clock, 1, limits)
	p.InstallRecords(nil, protocol.Catalog{})
	if !p.State.Restored {
		t.Fatal("State.Restored is not set after InstallRecords")
	}
	p.KV.ReserveWrites(p.KV.WritesAvailable())
	return p
}

// A batch is built only once the write budget allows it. When batches were built earlier, three of
// them waited for the budget and new submissions waited 1.3 s behind them, so that the forwarding
// controller accepted such a job a second time.
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
		t.Fatal("no batch was built though the write budget allows one")
	}
	if jobs := batch.JobIDs(); jobs[0] != "j-900001" || len(jobs) > 2*minChangesPerBatch {
		t.Errorf("batch of %s, want a small batch that begins with the job of the waiting user", strings.Join(jobs, " "))
	}
	if left := p.KV.WritesAvailable(); left >= minChangesPerBatch {
		t.Errorf("%d writes still available: the writes of the batch were not reserved", left)
	}
}

// awaitWrites waits until the write budget allows the given number of writes.
func awaitWrites(t *testing.T, p *Persister, writes int) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for p.KV.WritesAvailable() < writes {
		if time.Now().After(deadline) {
			t.Fatalf("timeout: the write budget does not allow %d writes", writes)
		}
		time.Sleep(5 * time.Millisecond)
	}
}
