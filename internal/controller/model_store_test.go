package controller

import (
	"maps"
	"slices"
	"strings"

	"pgregory.net/rapid"

	"dunestand/internal/cluster"
	"dunestand/internal/config"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
)

// modelStore is an in-memory key-value store with limits on transactions.
type modelStore struct {
	items    map[string]protocol.Item
	revision uint64
	limits   config.KVLimits
}

// withinLimits reports whether a transaction is within the store's limits.
func (s *modelStore) withinLimits(txn protocol.Txn) bool {
	for _, change := range txn.Then {
		if len(change.Value)*5/4 > s.limits.ValueBytes() { // the JSON encoding is somewhat larger than the value
			return false
		}
	}
	return len(txn.Then) <= s.limits.TxnOps && len(txn.If) <= 4*s.limits.TxnOps
}

// commit executes a transaction and returns its revision, or the keys whose versions conflict
// with its conditions.
func (s *modelStore) commit(t *rapid.T, txn protocol.Txn) (revision uint64, conflicts []string) {
	for _, condition := range txn.If {
		if s.items[condition.Key].Version != condition.Version {
			conflicts = append(conflicts, condition.Key)
		}
	}
	if len(conflicts) > 0 {
		return 0, conflicts
	}
	if !s.withinLimits(txn) {
		t.Fatalf("transaction exceeds the limits: %d changes, %d conditions", len(txn.Then), len(txn.If))
	}
	s.revision++
	for _, change := range txn.Then {
		if change.Delete != "" {
			delete(s.items, change.Delete)
		} else {
			s.items[change.Set] = protocol.Item{Key: change.Set, Value: change.Value, Version: s.revision}
		}
	}
	return s.revision, nil
}

// put writes a value under a key, unconditionally.
func (s *modelStore) put(key string, value any) {
	s.revision++
	s.items[key] = protocol.Item{Key: key, Value: protocol.Encode(value), Version: s.revision}
}

// submitToOtherController has a follower accept a job without a leader, a new one or a
// duplicate. The transaction takes effect at once or is delayed.
func (m *model) submitToOtherController() {
	var spec protocol.JobSpec
	switch {
	case len(m.specs) > 0 && rapid.Bool().Draw(m.t, "a duplicate"):
		spec = rapid.SampledFrom(m.specs).Draw(m.t, "duplicate of")
	case len(m.jobs) < modelMaxJobs:
		spec = m.drawSpec()
	default:
		return
	}
	m.pendingInFlight = append(m.pendingInFlight, cluster.PendingSubmissionTxn(cluster.PendingSubmission{
		Spec:      spec,
		Submitted: m.clock.Now,
	}))
	if rapid.Bool().Draw(m.t, "accepted at once") {
		m.commitPendingSubmissions()
	}
}

// commitPendingSubmissions commits the pending submissions in flight.
func (m *model) commitPendingSubmissions() {
	for _, txn := range m.pendingInFlight {
		m.store.commit(m.t, txn)
	}
	m.pendingInFlight = nil
}

// pendingItems returns the pending submissions that no leader has ingested.
func (m *model) pendingItems() []protocol.Item {
	var items []protocol.Item
	for _, key := range slices.Sorted(maps.Keys(m.store.items)) {
		if strings.HasPrefix(key, storage.PrefixPending) {
			items = append(items, m.store.items[key])
		}
	}
	return items
}

// ingestPending has the leader ingest the pending-submission queue.
func (m *model) ingestPending() {
	for _, item := range m.pendingItems() {
		pending, err := cluster.ParsePendingSubmission(item)
		if err != nil {
			m.t.Fatal(err)
		}
		if _, terminal := m.leader.terminals.Cached(pending.Spec.ID); terminal {
			delete(m.store.items, item.Key)
			continue
		}
		m.leader.state.AddPendingSubmission(pending, m.clock.Now)
	}
}

// resendTransaction executes a committed transaction a second time, as a delayed retry after
// newer transactions does. The retry must have no effect.
func (m *model) resendTransaction() {
	if len(m.committedTxns) == 0 {
		return
	}
	txn := rapid.SampledFrom(m.committedTxns).Draw(m.t, "resent transaction")
	if !m.store.withinLimits(txn) {
		return
	}
	if _, failed := m.store.commit(m.t, txn); len(failed) == 0 {
		m.t.Fatal("transaction took effect twice")
	}
}
