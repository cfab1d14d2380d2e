package main

import (
	"sync"
	"time"

	"dunestand/internal/protocol"
)

// staleRelease: the leader stands still while it waits for the cloud's list. Another controller
// leads meanwhile and starts tasks. Once the first one goes on, it must not release the machines
// on which they run.
func staleRelease(w *world, trouble bool) error {
	const standstill = 30 * time.Second
	for _, yard := range []string{"taytay", "baliuag"} {
		w.cloud.addMachine("shuttle", yard)
	}
	w.cloud.capacity = 2
	first, err := w.startAll()
	if err != nil {
		return err
	}
	w.upload("j-000001", 1, 2, 2*time.Second)
	if err := w.submit(w.submission("j-000001", "planning")); err != nil {
		return err
	}
	if err := w.await("the first job is done", 30*time.Second, func() bool {
		_, state := w.poll(first, "j-000001")
		return state.Stage == protocol.StageDone
	}); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	w.cloud.onRelease = func(node int, m *worker) {
		tasks := m.liveTasks()
		m.mu.Lock()
		baton := m.baton
		m.mu.Unlock()
		if leader, term := w.leader(); leader >= 0 && leader != node && len(tasks) > 0 {
			w.rec.violation("node %d releases machine %s, which runs %v; its token is %d, and node %d has led with term %s since before",
				node, m.id, tasks, baton, leader, term)
		}
	}
	before := w.token()
	if trouble {
		stoodStill := make(chan struct{})
		var once sync.Once
		w.cloud.mu.Lock()
		w.cloud.onList = func(node int) {
			if node == first {
				once.Do(func() {
					w.stop(first)
					close(stoodStill)
				})
			}
		}
		w.cloud.mu.Unlock()
		select {
		case <-stoodStill:
		case <-time.After(10 * time.Second):
		}
	}
	began := time.Now()
	if trouble {
		if err := w.await("the machines know another leader", 25*time.Second, func() bool { return w.token() > before }); err != nil {
			return err
		}
	}
	w.upload("j-000002", 4, 2, 50*time.Second)
	if err := w.submit(w.submission("j-000002", "planning")); err != nil {
		return err
	}
	if err := w.await("the second job runs", 20*time.Second, func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return len(w.running) == 4
	}); err != nil {
		return err
	}
	if trouble {
		time.Sleep(standstill - time.Since(began))
		w.resume(first)
	}
	time.Sleep(10 * time.Second)
	return nil
}
