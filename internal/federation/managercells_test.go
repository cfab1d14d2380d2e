package federation

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Every job gets exactly one final answer although cell mill is overloaded, cell dye is
// partitioned and later loses half of its machines, all leaders are replaced and the store of
// mill fails for a time.
func TestThreeFakeCellsGiveOneFinalAnswerPerJob(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testThreeFakeCells(t, seed) })
		})
	}
}

func testThreeFakeCells(t *testing.T, seed uint64) {
	f := newFakeFederation(t, seed)
	for _, class := range []string{"loomplan", "rushorder", "yarnrecount"} {
		f.submit("mill", 12, class)
	}
	f.advance(8 * time.Second)
	f.setPartitioned("dye", true)
	f.cancelSome()
	f.restartLeader("mill", 2*time.Second)
	f.advance(40 * time.Second)
	f.restartLeader("dye", time.Second)
	f.advance(60 * time.Second)
	f.setPartitioned("dye", false)
	f.cells["dye"].slots /= 2
	f.restartLeader("recipes", 20*time.Second)
	f.advance(10 * time.Second)
	f.failStore("mill", 15*time.Second)
	f.advance(10 * time.Minute)
	answers := map[string]int{}
	for _, j := range f.cells["mill"].jobs {
		answers[f.answers[j.id]]++
	}
	if answers["done"]+answers["cancelled"] != 36 || answers["done"] < 30 {
		t.Errorf("final answers are %v, want 36 in total and at least 30 done", answers)
	}
	moved, messages, writes := 0, int64(0), int64(0)
	for name, c := range f.cells {
		messages += c.manager.Stats.Sent.Load()
		writes += c.manager.Stats.Writes.Load()
		if len(c.store.records) != 0 {
			t.Errorf("cell %s still has %d transfer records", name, len(c.store.records))
		}
		moved += len(c.incomingDone)
	}
	if moved == 0 {
		t.Error("no job was transferred")
	}
	t.Logf("answers: %v; transfers that began to run: %d; sent by the last leaders: %d messages, %d writes", answers, moved, messages, writes)
	for _, c := range f.cells {
		c.stopLeader()
	}
	time.Sleep(2 * time.Minute) // until delayed messages have been delivered
}
