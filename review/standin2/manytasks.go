package standin2

import (
	"net/http"
	"time"

	"dunestand/internal/protocol"
)

// sufra is a small deployment with the times of the site sufra-recipes.
func sufra() deployment {
	return deployment{
		nodes: 3, zones: []string{"maadi", "smartvillage"},
		teams: []team{{"kitchen0", 16, 64}, {"kitchen1", 16, 64}},
		catalog: []protocol.InstanceType{{Name: "tannour", CPUs: 32, MemoryGB: 64, CacheGB: 50, FetchRate: 1, Price: 1.65,
			SpotPrice: 0.68, BootSeconds: 40, Zones: []string{"maadi", "smartvillage"}}},
		report: 800 * time.Millisecond, lease: 10 * time.Second, cancel: 40 * time.Second, listLag: 6 * time.Second,
		boot: 40 * time.Second, capacity: 6,
	}
}

// manyTasks: a job of 4 tasks runs when an array of many small tasks is submitted. The machines are
// given more tasks than fit into a report of 64 KiB, so that no controller accepts their reports any
// more. Both jobs must get done all the same.
func manyTasks(w *world, trouble bool) error {
	const (
		first, small = "j-000001", "j-000002"
		patience     = 90 * time.Second // for a job whose tasks run 30 s
	)
	for _, yard := range w.zones {
		w.cloud.addMachine("tannour", yard)
	}
	if err := w.startAll(); err != nil {
		return err
	}
	w.upload(first, 4, 4, 30*time.Second)
	if err := w.submit(w.submission(first, "kitchen0")); err != nil {
		return err
	}
	accepted := time.Now()
	if err := w.await("the first job runs", 30*time.Second, func() bool { return w.runningTasks() == 4 }); err != nil {
		return err
	}
	if trouble {
		w.upload(small, 4000, 0.01, 20*time.Second)
		s := w.submission(small, "kitchen1")
		s[protocol.FieldMemoryGB] = 0.01
		if err := w.submit(s); err != nil {
			return err
		}
	}
	for n := 0; time.Since(accepted) < patience; n++ {
		if i := w.healthyNode(n); i >= 0 {
			if _, state := w.poll(i, first); state.Stage == protocol.StageDone {
				return nil
			}
			if status, state := w.poll(i, small); trouble && status == http.StatusOK {
				w.rec.log("of the small tasks %d are done", state.Done)
			}
		}
		time.Sleep(5 * time.Second)
	}
	sessions := uint64(0)
	for _, m := range w.cloud.all() {
		m.mu.Lock()
		sessions += m.shift - 1
		m.mu.Unlock()
	}
	w.rec.violation("%s, whose 4 tasks run 30 s, is not done %v after it was accepted; its tasks were started %d times, and %d sessions of sound machines ended",
		first, patience, w.startsOf(first), sessions)
	return nil
}

// startsOf returns how often a task of a job was started.
func (w *world) startsOf(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts[id]
}
