package federation

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Three fake cells: one that is overloaded, and one that is partitioned and later loses half
// of its machines; all leaders are replaced. Every job gets exactly one final answer.
func TestThreeFakeCellsGiveOneFinalAnswerPerJob(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testThreeFakeCells(t, seed) })
		})
	}
}

func testThreeFakeCells(t *testing.T, seed uint64) {
	r := newFakeRegion(t, seed)
	for _, class := range []string{"loomplan", "rushorder", "yarnrecount"} {
		r.submit("mill", 12, class)
	}
	r.advance(8 * time.Second)
	r.setPartitioned("dye", true)
	r.cancelSome()
	r.restartLeader("mill", 2*time.Second)
	r.advance(40 * time.Second)
	r.restartLeader("dye", time.Second)
	r.advance(60 * time.Second)
	r.setPartitioned("dye", false)
	r.cells["dye"].slots /= 2
	r.restartLeader("recipes", 20*time.Second)
	r.advance(10 * time.Second)
	r.failStore("mill", 15*time.Second)
	r.advance(10 * time.Minute)
	answers := map[string]int{}
	for _, j := range r.cells["mill"].jobs {
		answers[r.answers[j.id]]++
	}
	if answers["done"]+answers["cancelled"] != 36 || answers["done"] < 30 {
		t.Errorf("36 jobs ended as %v", answers)
	}
	moved, messages, writes := 0, int64(0), int64(0)
	for name, c := range r.cells {
		messages += c.manager.Stats.Sent.Load()
		writes += c.manager.Stats.Writes.Load()
		if len(c.store.records) != 0 {
			t.Errorf("%s keeps %d records", name, len(c.store.records))
		}
		moved += len(c.guestDone)
	}
	if moved == 0 {
		t.Error("no job was handed over")
	}
	t.Logf("%v; %d transfers began to run; of the last leaders %d messages, %d writes", answers, moved, messages, writes)
	for _, c := range r.cells {
		c.stopLeader()
	}
	time.Sleep(2 * time.Minute) // until the late messages have been delivered
}
