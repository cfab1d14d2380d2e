package standin2

import (
	"time"

	"dunestand/internal/protocol"
)

// twoMachines is a deployment that keeps two machines, one in each zone.
func twoMachines() deployment {
	d := sanciangco()
	d.teams = []team{{"planning", 4, 64}, {"dyehouse", 4, 64}}
	return d
}

// hungCancel: one of two machines hangs and does not go on, and the job on it is cancelled. Its
// tasks must be gone within cancel_s, which takes a release of the machine.
func hungCancel(w *world, trouble bool) error {
	for _, yard := range []string{"taytay", "baliuag"} {
		w.cloud.addMachine("shuttle", yard)
	}
	w.cloud.capacity = 6
	if err := w.startAll(); err != nil {
		return err
	}
	const job = "j-000001"
	w.upload(job, 2, 4, 300*time.Second)
	s := w.submission(job, "planning")
	s[protocol.FieldZone] = "taytay"
	if err := w.submit(s); err != nil {
		return err
	}
	w.upload("j-000002", 2, 4, 300*time.Second)
	other := w.submission("j-000002", "dyehouse")
	other[protocol.FieldZone] = "baliuag"
	if err := w.submit(other); err != nil {
		return err
	}
	if err := w.await("both jobs run", 30*time.Second, func() bool { return len(w.runningOn()) == 2 && w.runningTasks() == 4 }); err != nil {
		return err
	}
	if trouble {
		for _, m := range w.cloud.all() {
			if m.yard == "taytay" {
				m.hang(10 * time.Minute)
			}
		}
	}
	stage, err := w.cancelJob(job)
	if err != nil {
		return err
	}
	told := time.Now()
	w.rec.log("the user was told %q; the tasks must be gone in %v", stage, w.cancel)
	time.Sleep(w.cancel + 2*time.Second)
	for m, names := range w.runningOn() {
		if m.yard == "baliuag" {
			continue // of the job that goes on
		}
		w.rec.violation("ran_cancelled: %v on %s %.1f s after its user was told that the job is cancelled", names, m.id, time.Since(told).Seconds())
	}
	return nil
}

// runningOn returns the names of the tasks that have started and not ended, by machine.
func (w *world) runningOn() map[*worker][]string {
	w.mu.Lock()
	defer w.mu.Unlock()
	on := map[*worker][]string{}
	for name, m := range w.running {
		on[m] = append(on[m], name)
	}
	return on
}

// runningTasks returns the number of tasks that have started and not ended.
func (w *world) runningTasks() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running)
}
