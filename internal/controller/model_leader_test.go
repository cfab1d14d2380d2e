package controller

import (
	"fmt"
	"maps"
	"slices"

	"pgregory.net/rapid"

	"dunestand/internal/cluster"
	"dunestand/internal/protocol"
	"dunestand/internal/standin"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// elect makes any of the controllers the leader.
func (m *model) elect() {
	m.elections++
	m.leader = newTestLeader(m.elections, m.clock)
	m.leaderUpgraded = rapid.SampledFrom(m.controllers).Draw(m.t, "leader").upgraded
	// The claim changes every bucket's head, so older saves fail from now on.
	for b := range storage.Buckets {
		m.store.revision++
		key := storage.KeyBucketHead(b)
		m.store.items[key] = protocol.Item{Key: key, Version: m.store.revision}
		m.leader.persister.BucketVersions()[b] = m.store.revision
	}
	var rows []protocol.Item
	for _, key := range slices.Sorted(maps.Keys(m.store.items)) {
		if len(key) > 4 && key[:4] == storage.PrefixJobs {
			rows = append(rows, m.store.items[key])
		}
	}
	if !m.leaderUpgraded {
		if _, err := standin.ReadAsBefore(rows); err != nil {
			m.t.Fatalf("a leader of the version before cannot restore: %v", err)
		}
	}
	jobs, orphans, err := cluster.ParseJobs(rows)
	if err != nil {
		m.t.Fatalf("restore: %v", err)
	}
	for id, keys := range orphans {
		if m.store.items[storage.KeyTerminal(id)].Version == 0 {
			m.t.Fatalf("%s is not over, and has no record of its own", id)
		}
		m.leader.state.AddStaleRecords(id, keys)
	}
	if m.leaderUpgraded {
		// It reads the fleet's format before the records.
		m.leader.setFormat(max(m.formats()[storage.KeyFleetFormat].Format, storage.FormatOld))
	}
	m.leader.persister.InstallRecords(jobs, modelCatalog)
}

func (m *model) submit() {
	if len(m.jobs) >= 6 {
		return
	}
	m.leader.state.NewJob(m.drawSpec(), m.clock.Now, m.clock.Now)
}

// drawSpec makes a new job.
func (m *model) drawSpec() protocol.JobSpec {
	id := fmt.Sprintf("j-%06d", len(m.jobs))
	spec := protocol.JobSpec{
		ID:        id,
		Class:     "c",
		Team:      "team",
		Tasks:     rapid.IntRange(1, 6).Draw(m.t, "tasks"),
		Request:   standin.CPUs(rapid.IntRange(1, 3).Draw(m.t, "cpus")),
		Priority:  protocol.Priority(rapid.IntRange(0, 3).Draw(m.t, "priority")),
		AllowSpot: true,
		Image:     "i",
		Estimate:  10 * units.Second,
	}
	// One service at most: with two, a larger task might find no machine left.
	if len(m.services) == 0 && m.leader.Format.Current() >= storage.FormatNew && rapid.IntRange(0, 2).Draw(m.t, "a service") == 0 {
		spec.Kind, spec.Tasks, spec.Request, spec.Priority, spec.Estimate = protocol.Service, min(spec.Tasks, 2), standin.CPUs(1), protocol.Production, 0
		m.services[id] = true
	}
	m.jobs[id] = spec.Tasks
	m.specs = append(m.specs, spec)
	return spec
}

func (m *model) passTime() {
	m.clock.Now += units.Micros(rapid.IntRange(100, 6000).Draw(m.t, "ms")) * units.Millisecond
	for _, w := range m.workers {
		m.expireLeaseOf(w)
	}
	m.leader.detector.ExpireLeases(m.clock.Now)
}

// failOver ends the leader. What it had sent may be carried out before the next
// leader claims the buckets; later it must fail.
func (m *model) failOver() {
	if m.batch != nil {
		if m.store.withinLimits(m.batch.Txn) && rapid.Bool().Draw(m.t, "save carried out") {
			if _, failed := m.store.commit(m.t, m.batch.Txn); len(failed) == 0 {
				for _, c := range m.batch.Txn.Then {
					if id, final := storage.JobOfTerminalKey(c.Set); final {
						var f storage.TerminalRecord
						if protocol.Decode(c.Value, &f) == nil {
							m.reachedTerminal(id, f)
						}
					}
				}
			}
		} else {
			m.staleBatches = append(m.staleBatches, m.batch)
		}
		m.batch = nil
	}
	m.elect()
	for _, s := range m.staleBatches {
		if !m.store.withinLimits(s.Txn) {
			continue
		}
		if _, failed := m.store.commit(m.t, s.Txn); len(failed) == 0 {
			m.t.Fatalf("a former leader's save was carried out after the claim")
		}
	}
}

func (m *model) cancel() {
	ids := slices.Sorted(maps.Keys(m.leader.state.Jobs))
	if len(ids) == 0 {
		return
	}
	if j := m.leader.state.Jobs[rapid.SampledFrom(ids).Draw(m.t, "job")]; j.Accepted() {
		m.leader.cancelJob(j)
	}
}
