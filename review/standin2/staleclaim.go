package standin2

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"dunestand/internal/protocol"
	"dunestand/internal/storage"
)

// watchClaims reports a claim of a bucket by a controller whose token is lower than that of the
// controller that has claimed it before.
func (w *world) watchClaims() {
	claimed := map[string]uint64{}
	w.kv.BeforeApply = func(txn protocol.Txn, _ func(string) (protocol.Item, bool)) {
		for _, change := range txn.Then {
			if !strings.HasPrefix(change.Set, storage.PrefixBucketHeads) {
				continue
			}
			var head storage.LeaseRecord
			_ = protocol.Decode(change.Value, &head)
			text, _, _ := strings.Cut(head.WriteID, "-")
			token, _ := strconv.ParseUint(text, 10, 64)
			w.rec.log("state service: %s is claimed by %s with token %d", change.Set, head.Holder, token)
			if token < claimed[change.Set] {
				w.rec.violation("%s takes %s with token %d from the leader with token %d", head.Holder, change.Set, token, claimed[change.Set])
			}
			claimed[change.Set] = max(claimed[change.Set], token)
		}
	}
}

// staleClaim: a controller that has just been elected stands still while it begins to claim the
// buckets, and the state service answers slowly. Another one leads meanwhile. Once the first one goes
// on, it must not take the buckets from the new leader.
func staleClaim(w *world, trouble bool) error {
	const (
		standstill = 25 * time.Second
		stateSlow  = 300 * time.Millisecond
	)
	for _, yard := range w.zones {
		w.cloud.addMachine(w.catalog[0].Name, yard)
	}
	w.watchClaims()
	stoodStill := make(chan int, 1)
	var once sync.Once
	for i, n := range w.nodes {
		n.onState = func(r *http.Request) {
			if trouble && r.URL.Query().Get("prefix") == storage.PrefixBucketHeads {
				once.Do(func() {
					w.stop(i)
					stoodStill <- i
				})
			}
			if trouble {
				time.Sleep(stateSlow)
			}
		}
	}
	for i := range w.nodes {
		if err := w.start(i); err != nil {
			return err
		}
	}
	first := -1
	if trouble {
		select {
		case first = <-stoodStill:
		case <-time.After(20 * time.Second):
		}
	}
	began := time.Now()
	if err := w.awaitLeader(); err != nil {
		return err
	}
	w.upload("j-000001", 2, 2, 60*time.Second)
	if err := w.submit(w.submission("j-000001", w.teams[0].name)); err != nil {
		return err
	}
	if err := w.await("the job runs", 20*time.Second, func() bool { return w.runningTasks() == 2 }); err != nil {
		return err
	}
	time.Sleep(standstill - time.Since(began))
	if first >= 0 {
		w.resume(first)
	}
	time.Sleep(8 * time.Second)
	return nil
}
