package controller

import (
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

const (
	modelLease       = 10 * units.Second
	modelCancelGrace = 11 * units.Second
	workerTimeout    = 4 * units.Second
	modelQuotaCPUs   = 9 // processors of the team
	modelMachineCPUs = 4 // processors of a machine
)
