package coordination

import (
	"strings"
	"testing"
	"time"

	"dunestand/internal/cluster"
	"dunestand/internal/config"
	"dunestand/internal/kv"
	"dunestand/internal/standin"
	"dunestand/internal/units"
)

// pacedTerm is a restored term whose share of the writes is small and used up.
func pacedTerm(t *testing.T) *Term {
	t.Helper()
	term := storedTerm(t, 1, standin.NewState())
	if !term.restore(t.Context()) {
		t.Fatal("not restored")
	}
	term.ledger.SetInstanceTypes(modelCatalog.Types)
	limits := config.State{RPS: 1e4, WriteRPS: 20, ValueKB: 8, TxnOps: 12}
	term.Settings.Fleet.State = limits
	term.Store = pacedStore(term, limits)
	term.Store.ReserveWrites(term.Store.WritesAvailable())
	return term
}

func pacedStore(term *Term, limits config.State) *kv.Client {
	return kv.NewClient(nil, "127.0.0.1:1", limits, 0, term.Clock)
}

// Saves that had been built waited for the rate of writes, three in a row, and users whose
// jobs came meanwhile waited behind them: for 1.3 s, and the controller that had passed the
// job on accepted it a second time. What waits for the rate is not built yet.
func TestSavesAreBuiltOnceTheRateHasRoom(t *testing.T) {
	term := pacedTerm(t)
	machine := term.ledger.EnsureMachine("i-000001", "m", "a", true, 0)
	for i := range 30 {
		spec := modelSpec("j-0000" + string(rune('0'+i/10)) + string(rune('0'+i%10)))
		job := term.ledger.NewJob(*spec, 0, 0)
		save := term.ledger.BuildWriteBatch("accept", term.bucketVersions, cluster.BatchLimits{}, 0)
		term.ledger.BatchCommitted(save, uint64(i+1))
		term.ledger.Assign(job, machine, uint64(i+1), units.Second)
	}
	awaitWrites(t, term, mostAwaited)
	term.enter(modelSpec("j-900001"))
	save := term.startSave()
	if save == nil {
		t.Fatal("nothing is saved though there is room")
	}
	if jobs := save.JobIDs(); jobs[0] != "j-900001" || len(jobs) > 2*mostAwaited {
		t.Errorf("saved %s, want few jobs and the one whose user waits first", strings.Join(jobs, " "))
	}
	if left := term.Store.WritesAvailable(); left >= mostAwaited {
		t.Errorf("%d writes are still available: the save was not counted", left)
	}
}

// awaitWrites waits until the share has room for some writes.
func awaitWrites(t *testing.T, term *Term, writes int) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for term.Store.WritesAvailable() < writes {
		if time.Now().After(deadline) {
			t.Fatalf("no room for %d writes", writes)
		}
		time.Sleep(5 * time.Millisecond)
	}
}
