package controller

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"dunestand/internal/answer"
	"dunestand/internal/cluster"
	"dunestand/internal/config"
	"dunestand/internal/protocol"
	"dunestand/internal/standin"
	_ "dunestand/internal/standin/fixedseed"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

type model struct {
	t                 *rapid.T
	clock             *standin.Clock
	store             *modelStore
	leader            *Leader
	elections         uint64
	workers           []*modelWorker
	batch             *cluster.WriteBatch // the leader's, on its way
	staleBatches      []*cluster.WriteBatch
	delayedHeartbeats []*protocol.Heartbeat // held back by the network; their workers have given up
	jobs              map[string]int        // tasks of each job submitted
	completed         map[taskKey]bool
	terminalStages    map[string]protocol.JobStage
	broadcastAnswers  []broadcastAnswer
	leaderUpgraded    bool // the leader is of the new version
	batchInNewFormat  bool // the save on its way was built in the new form
	specs             []protocol.JobSpec
	pendingInFlight   []protocol.Txn // jobs on their way to the inbox
	controllers       []modelController
	services          map[string]bool
	faultsEnded       bool                    // all troubles are over
	committedTxns     []protocol.Txn          // transactions that were carried out
	cancelledAt       map[string]units.Micros // when a user could be told that a job is cancelled
}

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

func (m *model) checkInvariants() {
	for id, j := range m.leader.state.Jobs {
		if m.cancelledAt[id] == 0 && answer.CancellationConfirmed(j, m.leader.Settings.Fleet.Workers) {
			m.cancelledAt[id] = m.clock.Now
		}
	}
	used := 0
	for _, w := range m.workers {
		if !w.alive {
			continue
		}
		onMachine := 0
		for k, task := range w.tasks {
			if task.stage == protocol.TaskExited {
				continue
			}
			if at := m.cancelledAt[k.job]; at != 0 && m.clock.Now-at > modelCancelGrace && !m.isHanging(w) {
				m.t.Fatalf("%s/%d is on %s %v after its user was told", k.job, k.index, w.id, (m.clock.Now - at).Duration())
			}
			need := m.requestedCPUs(k.job)
			used += need
			onMachine += need
		}
		if onMachine > modelMachineCPUs {
			m.t.Fatalf("%s runs %d processors", w.id, onMachine)
		}
	}
	if used > modelQuotaCPUs {
		m.t.Fatalf("the team uses %d of %d processors", used, modelQuotaCPUs)
	}
}

// endFaults ends all troubles and plays on until every accepted job that was not
// cancelled is done. Nothing may be forgotten, and nothing may wait for ever.
func (m *model) endFaults() {
	m.faultsEnded = true
	for _, w := range m.workers {
		w.answersLost, w.heartbeatsLost, w.hungUntil = false, false, 0
	}
	m.finishUpgrade()
	m.landPending()
	accepted := map[string]bool{}
	for _, item := range m.pendingItems() {
		a, _ := cluster.ParsePendingSubmission(item)
		accepted[a.Spec.ID] = m.terminalStages[a.Spec.ID] == "" && m.leader.state.Jobs[a.Spec.ID] == nil
	}
	for id, j := range m.leader.state.Jobs {
		accepted[id] = (j.Accepted() || accepted[id]) && !j.Cancelled
	}
	for range 600 {
		m.clock.Now += 500 * units.Millisecond
		m.ingestPending()
		for range 4 {
			m.advanceWrite()
		}
		m.leader.detector.ExpireLeases(m.clock.Now)
		for i := range m.workers {
			w := m.workers[i]
			m.expireLeaseOf(w)
			if machine := m.leader.state.Machines[w.id]; machine != nil && (machine.Quarantined || machine.UndeliveredCommands >= cluster.MaxUndeliveredCommands) {
				m.releaseWorker(i)
				continue
			}
			if w.answerAwaited && m.clock.Now-w.sentAt > workerTimeout {
				w.answerAwaited, w.answer = false, nil
			}
			if !w.answerAwaited {
				m.heartbeatOf(w)
			}
			m.deliverTo(w)
			m.workOn(w)
			m.checkInvariants()
		}
	}
	if left := m.pendingItems(); len(left) > 0 {
		m.t.Fatalf("%d jobs are in the inbox long after all troubles", len(left))
	}
	for id, open := range accepted {
		if open && m.services[id] {
			if up := m.runningTasks(id); up != m.jobs[id] {
				m.t.Fatalf("%d of %d replicas of %s run long after all troubles", up, m.jobs[id], id)
			}
			continue
		}
		if open && m.terminalStages[id] != protocol.StageDone {
			j := m.leader.state.Jobs[id]
			m.t.Fatalf("%s is not done long after all troubles: final %q, known %v", id, m.terminalStages[id], j != nil)
		}
	}
}

// runningTasks counts the tasks of a job that run on workers.
func (m *model) runningTasks(job string) int {
	n := 0
	for _, w := range m.workers {
		for k, task := range w.tasks {
			if k.job == job && w.alive && task.stage == protocol.TaskRunning {
				n++
			}
		}
	}
	return n
}

func (m *model) requestedCPUs(job string) int {
	if j := m.leader.state.Jobs[job]; j != nil {
		return int(j.Spec.Request.CPU / 1_000_000)
	}
	return 0
}

func TestRandomDaysKeepTheInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			t:           t,
			clock:       &standin.Clock{Now: units.Second},
			controllers: make([]modelController, 3),
			services:    map[string]bool{},
			store: &modelStore{
				items:  map[string]protocol.Item{},
				limits: config.State{ValueKB: 8, TxnOps: 12, Next: &config.State{ValueKB: 1, TxnOps: 3}},
			},
			cancelledAt:    map[string]units.Micros{},
			jobs:           map[string]int{},
			completed:      map[taskKey]bool{},
			terminalStages: map[string]protocol.JobStage{},
		}
		// Some days begin with far more machines than the team can use.
		for range rapid.SampledFrom([]int{2, 2, 2, 2, 16}).Draw(t, "machines") {
			m.workers = append(m.workers, m.newWorker())
		}
		if rapid.Bool().Draw(t, "upgraded before") {
			for i := range m.controllers {
				m.controllers[i] = modelController{true, true}
				m.put(storage.KeyFormat(controllerName(i)), storage.FormatRecord{Format: storage.NewestFormat})
			}
		}
		m.elect()
		actions := []func(){m.submit, m.heartbeat, m.heartbeat, m.heartbeat, m.deliver, m.deliver, m.deliver, m.work, m.work,
			m.advanceWrite, m.advanceWrite, m.advanceWrite, m.passTime, m.failOver, m.cancel, m.releaseAnyWorker, m.deliverDelayedHeartbeat, m.loseAnswers, m.broadcastToken, m.deliverBroadcastAnswers, m.submitElsewhere, m.landPending, m.ingestPending, m.upgrade, m.raiseFormat, m.lowerLimits, m.loseHeartbeats, m.hangWorker, m.cancelAtEnd, m.resendTransaction, m.isolateWorker, m.delayAnswerPastFailover}
		weights := []int{0, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 12, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 1, 4, 2, 5, 3, 6, 13, 13, 14, 15, 16, 16, 17, 18, 18, 19, 20, 21, 22, 22, 23, 23, 23, 23, 23, 23, 24, 24, 24, 25, 26, 26, 27, 27, 28, 28, 29, 30, 30, 30, 30, 31, 31, 31}
		for range rapid.IntRange(50, 250).Draw(t, "steps") {
			actions[rapid.SampledFrom(weights).Draw(t, "action")]()
			m.checkInvariants()
		}
		m.endFaults()
	})
}
