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
	"dunestand/internal/units"
)

type modelStore struct {
	items    map[string]protocol.Item
	revision uint64
	limits   config.State
}

// withinLimits tells whether a transaction is within the limits.
func (s *modelStore) withinLimits(txn protocol.Txn) bool {
	for _, c := range txn.Then {
		if len(c.Value)*5/4 > s.limits.ValueBytes() { // as JSON it is a little larger
			return false
		}
	}
	return len(txn.Then) <= s.limits.TxnOps && len(txn.If) <= 4*s.limits.TxnOps
}

// commit gives the keys that were not as expected, none if it was carried out.
func (s *modelStore) commit(t *rapid.T, txn protocol.Txn) (uint64, []string) {
	var failed []string
	for _, c := range txn.If {
		if s.items[c.Key].Version != c.Version {
			failed = append(failed, c.Key)
		}
	}
	if len(failed) > 0 {
		return 0, failed
	}
	if !s.withinLimits(txn) {
		t.Fatalf("transaction of %d changes, %d conditions", len(txn.Then), len(txn.If))
	}
	s.revision++
	for _, c := range txn.Then {
		if c.Delete != "" {
			delete(s.items, c.Delete)
		} else {
			s.items[c.Set] = protocol.Item{Key: c.Set, Value: c.Value, Version: s.revision}
		}
	}
	return s.revision, nil
}

// submitElsewhere has another controller accept a job, a new one or one that the leader
// has too: at once, or with a transaction that is held back.
func (m *model) submitElsewhere() {
	var spec protocol.JobSpec
	switch {
	case len(m.specs) > 0 && rapid.Bool().Draw(m.t, "a repeat"):
		spec = rapid.SampledFrom(m.specs).Draw(m.t, "arrival")
	case len(m.jobs) < 6:
		spec = m.drawSpec()
	default:
		return
	}
	m.pendingInFlight = append(m.pendingInFlight, cluster.PendingSubmissionTxn(cluster.PendingSubmission{
		Spec:      spec,
		Submitted: m.clock.Now,
	}))
	if rapid.Bool().Draw(m.t, "accepted at once") {
		m.landPending()
	}
}

// landPending carries out the arrivals on their way.
func (m *model) landPending() {
	for _, txn := range m.pendingInFlight {
		m.store.commit(m.t, txn)
	}
	m.pendingInFlight = nil
}

// pendingItems lists what no leader has taken in.
func (m *model) pendingItems() []protocol.Item {
	var items []protocol.Item
	for _, key := range slices.Sorted(maps.Keys(m.store.items)) {
		if strings.HasPrefix(key, storage.PrefixPending) {
			items = append(items, m.store.items[key])
		}
	}
	return items
}

// ingestPending has the leader take the inbox in.
func (m *model) ingestPending() {
	for _, item := range m.pendingItems() {
		a, err := cluster.ParsePendingSubmission(item)
		if err != nil {
			m.t.Fatal(err)
		}
		if _, over := m.leader.terminals.Cached(a.Spec.ID); over {
			delete(m.store.items, item.Key)
			continue
		}
		m.leader.state.AddPending(a, m.clock.Now)
	}
}

// advanceWrite sends the leader's next save, or completes the one on its way.
func (m *model) advanceWrite() {
	l := m.leader.state
	if m.batch == nil {
		m.batchInNewFormat = m.leader.Format.Current() >= storage.FormatNew
		l.UpgradeFormat(m.leader.Format.Current(), m.clock.Now)
		m.batch = l.BuildWriteBatch(m.leader.persister.NextWriteID(), m.leader.persister.BucketVersions(), cluster.BatchLimits{
			CoalesceFor: units.Second,
			Background:  true,
		}, m.clock.Now)
		return
	}
	if !m.store.withinLimits(m.batch.Txn) {
		// Only what was built before the leader heard that all are upgraded.
		l.ApplyNextLimits()
		if m.batchInNewFormat {
			m.t.Fatalf("a save in the new form is over the limits: %d changes", len(m.batch.Txn.Then))
		}
		l.BatchRejected(m.batch, m.clock.Now)
		m.batch = nil
		return
	}
	rev, failed := m.store.commit(m.t, m.batch.Txn)
	if len(failed) > 0 {
		l.BatchRefused(m.batch, m.clock.Now)
		for _, key := range failed {
			id, final := storage.JobOfTerminalKey(key)
			if !final || m.terminalStages[id] == "" {
				m.t.Fatalf("a leader's own save met a conflict: %v", failed)
			}
			m.leader.terminals.Remember(id, storage.StoredTerminalRecord{TerminalRecord: storage.TerminalRecord{Stage: m.terminalStages[id]}})
			l.DropUnaccepted(id) // it was in the inbox still
		}
		m.batch = nil
		return
	}
	if m.batch.ProbeKey() != "" {
		m.committedTxns = append(m.committedTxns, m.batch.Txn)
	}
	for id, f := range l.BatchCommitted(m.batch, rev) {
		m.reachedTerminal(id, f)
	}
	m.batch = nil
}

// resendTransaction carries a transaction out late, once more: its first sending had no answer,
// and newer ones came between. It must have no effect.
func (m *model) resendTransaction() {
	if len(m.committedTxns) == 0 {
		return
	}
	txn := rapid.SampledFrom(m.committedTxns).Draw(m.t, "carried out late")
	if !m.store.withinLimits(txn) {
		return
	}
	if _, failed := m.store.commit(m.t, txn); len(failed) == 0 {
		m.t.Fatal("a transaction was carried out twice")
	}
}

func (m *model) reachedTerminal(id string, f storage.TerminalRecord) {
	m.terminalStages[id] = f.Stage
	if m.cancelledAt[id] != 0 && f.Stage != protocol.StageCancelled {
		m.t.Fatalf("%s was called cancelled, and is now %s", id, f.Stage)
	}
	if m.services[id] && f.Stage != protocol.StageCancelled {
		m.t.Fatalf("the service %s is called %s", id, f.Stage)
	}
	if f.Stage != protocol.StageDone {
		return
	}
	for i := range m.jobs[id] {
		if !m.completed[taskKey{id, i}] {
			m.t.Fatalf("%s is called done without task %d", id, i)
		}
	}
}
