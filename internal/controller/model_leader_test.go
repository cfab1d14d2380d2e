package controller

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"pgregory.net/rapid"

	"dunestand/internal/cluster"
	"dunestand/internal/fake"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// elect makes any controller the leader and has it restore the records.
func (m *model) elect() {
	m.elections++
	m.leader = newTestLeader(m.elections, m.clock)
	m.leaderUpgraded = rapid.SampledFrom(m.controllers).Draw(m.t, "leader").upgraded
	// The election changes the head of every bucket, so write batches of earlier leaders fail
	// from now on.
	for bucket := range storage.Buckets {
		m.store.revision++
		key := storage.KeyBucketHead(bucket)
		m.store.items[key] = protocol.Item{Key: key, Version: m.store.revision}
		m.leader.persister.BucketVersions()[bucket] = m.store.revision
	}
	var records []protocol.Item
	for _, key := range slices.Sorted(maps.Keys(m.store.items)) {
		if len(key) > len(storage.PrefixJobs) && strings.HasPrefix(key, storage.PrefixJobs) {
			records = append(records, m.store.items[key])
		}
	}
	if !m.leaderUpgraded {
		if _, err := fake.ParseLegacyJobs(records); err != nil {
			m.t.Fatalf("a leader of the legacy version cannot restore the records: %v", err)
		}
	}
	jobs, stale, err := cluster.ParseJobs(records)
	if err != nil {
		m.t.Fatalf("restore records: %v", err)
	}
	for id, keys := range stale {
		if m.store.items[storage.KeyTerminal(id)].Version == 0 {
			m.t.Fatalf("%s has stale records, but no terminal record", id)
		}
		m.leader.state.AddStaleRecords(id, keys)
	}
	if m.leaderUpgraded {
		// A leader reads the fleet's record format before the records.
		m.leader.setFormat(max(m.formats()[storage.KeyFleetFormat].Format, storage.FormatV1))
	}
	m.leader.persister.InstallRecords(jobs, modelCatalog)
}

// failOver ends the leader and elects the next one. A write batch in flight either takes effect
// before the election or must fail after it.
func (m *model) failOver() {
	if m.batch != nil {
		if m.store.withinLimits(m.batch.Txn) && rapid.Bool().Draw(m.t, "batch takes effect") {
			if _, failed := m.store.commit(m.t, m.batch.Txn); len(failed) == 0 {
				m.checkTerminalRecords(m.batch.Txn)
			}
		} else {
			m.staleBatches = append(m.staleBatches, m.batch)
		}
		m.batch = nil
	}
	m.elect()
	for _, batch := range m.staleBatches {
		if !m.store.withinLimits(batch.Txn) {
			continue
		}
		if _, failed := m.store.commit(m.t, batch.Txn); len(failed) == 0 {
			m.t.Fatalf("write batch of a former leader took effect after the election")
		}
	}
}

// checkTerminalRecords checks the terminal states that a transaction has stored.
func (m *model) checkTerminalRecords(txn protocol.Txn) {
	for _, change := range txn.Then {
		if id, terminal := storage.JobOfTerminalKey(change.Set); terminal {
			var record storage.TerminalRecord
			if protocol.Decode(change.Value, &record) == nil {
				m.checkTerminalState(id, record)
			}
		}
	}
}

// advanceWrite builds the leader's next write batch, or completes the one in flight.
func (m *model) advanceWrite() {
	state := m.leader.state
	if m.batch == nil {
		m.batchInFormatV2 = m.leader.Format.Current() >= storage.FormatV2
		state.UpgradeFormat(m.leader.Format.Current(), m.clock.Now)
		m.batch = state.BuildWriteBatch(m.leader.persister.NextWriteID(), m.leader.persister.BucketVersions(), cluster.BatchLimits{
			CoalesceFor: units.Second,
			Background:  true,
		}, m.clock.Now)
		return
	}
	batch := m.batch
	m.batch = nil
	if !m.store.withinLimits(batch.Txn) {
		// Only a batch in FormatV1 may exceed the limits: it was built before the leader
		// learned that all controllers are upgraded.
		state.ApplyNextLimits()
		if m.batchInFormatV2 {
			m.t.Fatalf("write batch in FormatV2 or later exceeds the limits: %d changes", len(batch.Txn.Then))
		}
		state.BatchRejected(batch, m.clock.Now)
		return
	}
	revision, failed := m.store.commit(m.t, batch.Txn)
	if len(failed) > 0 {
		m.rejectConflictingBatch(batch, failed)
		return
	}
	if batch.ProbeKey() != "" {
		m.committedTxns = append(m.committedTxns, batch.Txn)
	}
	for id, record := range state.BatchCommitted(batch, revision) {
		m.checkTerminalState(id, record)
	}
}

// rejectConflictingBatch reports to the leader that a write batch met version conflicts. Only
// conflicts with terminal records are allowed: the job was then still in the pending-submission
// queue.
func (m *model) rejectConflictingBatch(batch *cluster.WriteBatch, conflicts []string) {
	m.leader.state.BatchConflicted(batch, m.clock.Now)
	for _, key := range conflicts {
		id, terminal := storage.JobOfTerminalKey(key)
		if !terminal || m.terminalStages[id] == "" {
			m.t.Fatalf("write batch of the current leader met version conflicts: %v", conflicts)
		}
		m.leader.terminals.Remember(id, storage.StoredTerminalRecord{TerminalRecord: storage.TerminalRecord{Stage: m.terminalStages[id]}})
		m.leader.state.DropUnaccepted(id)
	}
}

// checkTerminalState records that a job's terminal state is durable, and checks it against the
// tasks that workers have completed and the cancellations that may have been confirmed to users.
func (m *model) checkTerminalState(id string, record storage.TerminalRecord) {
	m.terminalStages[id] = record.Stage
	if m.cancelledAt[id] != 0 && record.Stage != protocol.StageCancelled {
		m.t.Fatalf("%s was confirmed as cancelled, but its terminal state is %s", id, record.Stage)
	}
	if m.services[id] && record.Stage != protocol.StageCancelled {
		m.t.Fatalf("service %s has the terminal state %s", id, record.Stage)
	}
	if record.Stage != protocol.StageDone {
		return
	}
	for index := range m.jobs[id] {
		if !m.completed[taskKey{id, index}] {
			m.t.Fatalf("%s is done, but its task %d is not completed", id, index)
		}
	}
}

// advanceClock lets some time pass in which the only events are expiries of leases.
func (m *model) advanceClock() {
	m.clock.Now += units.Micros(rapid.IntRange(100, 6000).Draw(m.t, "ms")) * units.Millisecond
	m.expireLeases()
	m.leader.detector.ExpireWorkerLeases(m.clock.Now)
}

// submit has a user submit a new job to the leader.
func (m *model) submit() {
	if len(m.jobs) >= modelMaxJobs {
		return
	}
	m.leader.state.NewJob(m.drawSpec(), m.clock.Now, m.clock.Now)
}

// cancel has a user cancel any job.
func (m *model) cancel() {
	ids := slices.Sorted(maps.Keys(m.leader.state.Jobs))
	if len(ids) == 0 {
		return
	}
	if job := m.leader.state.Jobs[rapid.SampledFrom(ids).Draw(m.t, "job")]; job.Accepted() {
		m.leader.cancelJob(job)
	}
}

// drawSpec draws the specification of a new job.
func (m *model) drawSpec() protocol.JobSpec {
	id := fmt.Sprintf("j-%06d", len(m.jobs))
	spec := protocol.JobSpec{
		ID:        id,
		Class:     "c",
		Team:      "team",
		Tasks:     rapid.IntRange(1, 6).Draw(m.t, "tasks"),
		Request:   fake.CPUs(rapid.IntRange(1, 3).Draw(m.t, "cpus")),
		Priority:  protocol.Priority(rapid.IntRange(0, 3).Draw(m.t, "priority")),
		AllowSpot: true,
		Image:     "i",
		Estimate:  10 * units.Second,
	}
	// One service at most: two could occupy so many machines that a larger task fits on none.
	if len(m.services) == 0 && m.leader.Format.Current() >= storage.FormatV2 && rapid.IntRange(0, 2).Draw(m.t, "a service") == 0 {
		spec.Kind, spec.Tasks, spec.Request, spec.Priority, spec.Estimate = protocol.Service, min(spec.Tasks, 2), fake.CPUs(1), protocol.Production, 0
		m.services[id] = true
	}
	m.jobs[id] = spec.Tasks
	m.specs = append(m.specs, spec)
	return spec
}
