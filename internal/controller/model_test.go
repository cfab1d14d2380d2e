package controller

import (
	"testing"

	"pgregory.net/rapid"

	"dunestand/internal/answer"
	"dunestand/internal/cluster"
	"dunestand/internal/config"
	"dunestand/internal/fake"
	_ "dunestand/internal/fake/fixedseed"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// The files model_*_test.go play random days against a whole leader: workers as the
// protocol describes them, a key-value store, leaders that die at any point, answers that
// are lost or late. Controllers of the version before are upgraded one by one meanwhile,
// and the store lowers its limits once all are. After every step the invariants are checked
// on the workers themselves, not on the leader's state.

const (
	modelLease       = 10 * units.Second
	modelCancelGrace = 11 * units.Second // from the confirmation of a cancellation until no task runs
	workerTimeout    = 4 * units.Second  // a worker gives up on the answer to a heartbeat
	modelQuotaCPUs   = 9                 // the team's quota limit
	modelMachineCPUs = 4                 // capacity of a machine
	modelMaxJobs     = 6
	modelControllers = 3
)

// model is the state of a random day.
type model struct {
	t           *rapid.T
	clock       *fake.Clock
	faultsEnded bool

	store           *modelStore
	pendingInFlight []protocol.Txn // pending submissions that are not stored yet
	committedTxns   []protocol.Txn // the leader's transactions that took effect

	controllers      []modelController
	leader           *Leader
	leaderUpgraded   bool                  // the leader is of the new version
	elections        uint64                // how many were won so far
	batch            *cluster.WriteBatch   // the leader's, in flight
	batchInNewFormat bool                  // that one was built in the new format
	staleBatches     []*cluster.WriteBatch // in flight when their leader died

	workers           []*modelWorker
	delayedHeartbeats []*protocol.Heartbeat // held back by the network; their workers have given up
	sentHeartbeats    []sentHeartbeat       // of the last minute, of which copies may come
	broadcastAnswers  []broadcastAnswer

	specs          []protocol.JobSpec // of each job submitted
	jobs           map[string]int     // number of tasks of each job submitted
	services       map[string]bool    // those jobs that are services
	completed      map[taskKey]bool   // tasks that a worker has completed
	terminalStages map[string]protocol.JobStage
	cancelledAt    map[string]units.Micros // since when a user may have been told that a job is cancelled
}

// newModel returns the state in which a random day begins.
func newModel(t *rapid.T) *model {
	m := &model{
		t:     t,
		clock: &fake.Clock{Now: units.Second},
		store: &modelStore{
			items:  map[string]protocol.Item{},
			limits: config.KVLimits{ValueKB: 8, TxnOps: 12, Next: &config.KVLimits{ValueKB: 1, TxnOps: 3}},
		},
		controllers:    make([]modelController, modelControllers),
		services:       map[string]bool{},
		jobs:           map[string]int{},
		completed:      map[taskKey]bool{},
		terminalStages: map[string]protocol.JobStage{},
		cancelledAt:    map[string]units.Micros{},
	}
	// Some days begin with far more machines than the team can use.
	for range rapid.SampledFrom([]int{2, 2, 2, 2, 16}).Draw(t, "machines") {
		m.workers = append(m.workers, m.newWorker())
	}
	if rapid.Bool().Draw(t, "upgraded before") {
		m.upgradeAll()
	}
	m.elect()
	return m
}

// actions lists what may happen, each action as often as its weight. The fixed seed draws
// places of this list: another order means other days.
func (m *model) actions() []func() {
	return []func(){
		m.submit, m.submit, m.heartbeat, m.heartbeat, m.heartbeat, m.deliver, m.deliver, m.deliver,
		m.work, m.work, m.advanceWrite, m.advanceWrite, m.advanceWrite, m.passTime, m.passTime,
		m.heartbeat, m.heartbeat, m.heartbeat, m.deliver, m.deliver, m.deliver, m.work, m.work,
		m.advanceWrite, m.advanceWrite, m.advanceWrite, m.heartbeat, m.deliver, m.heartbeat, m.deliver,
		m.heartbeat, m.deliver, m.failOver, m.failOver, m.cancel, m.releaseAnyWorker,
		m.deliverDelayedHeartbeat, m.deliverDelayedHeartbeat, m.loseAnswers, m.broadcastToken,
		m.broadcastToken, m.deliverBroadcastAnswers, m.submitElsewhere, m.landPending, m.ingestPending,
		m.ingestPending, m.upgrade, m.upgrade, m.upgrade, m.upgrade, m.upgrade, m.upgrade, m.raiseFormat,
		m.raiseFormat, m.raiseFormat, m.lowerLimits, m.loseHeartbeats, m.loseHeartbeats, m.hangWorker,
		m.hangWorker, m.cancelAtEnd, m.cancelAtEnd, m.resendTransaction, m.isolateWorker,
		m.isolateWorker, m.isolateWorker, m.isolateWorker, m.delayAnswerPastFailover,
		m.delayAnswerPastFailover, m.delayAnswerPastFailover, m.preempt, m.preempt,
		m.failOverAmongCopies, m.deliverCopy,
		m.moveTasksPastFailover, m.moveTasksPastFailover, m.moveTasksPastFailover,
	}
}

func TestRandomDaysKeepTheInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		actions := m.actions()
		for range rapid.IntRange(50, 250).Draw(t, "steps") {
			rapid.SampledFrom(actions).Draw(t, "action")()
			m.checkInvariants()
		}
		m.endFaults()
	})
}

// checkInvariants checks what must hold at any time: no task runs long after its user was
// told that it is cancelled, no machine is over its capacity and no team over its quota
// limit.
func (m *model) checkInvariants() {
	for id, job := range m.leader.state.Jobs {
		if m.cancelledAt[id] == 0 && answer.CancellationConfirmed(job, m.leader.Settings.Fleet.Workers) {
			m.cancelledAt[id] = m.clock.Now
		}
	}
	used := 0
	for _, worker := range m.workers {
		if !worker.alive {
			continue
		}
		onMachine := 0
		for key, task := range worker.tasks {
			if task.stage == protocol.TaskExited {
				continue
			}
			if at := m.cancelledAt[key.job]; at != 0 && m.clock.Now-at > modelCancelGrace && !m.isHanging(worker) {
				m.t.Fatalf("%s/%d is on %s %v after its user was told", key.job, key.index, worker.id, (m.clock.Now - at).Duration())
			}
			onMachine += m.requestedCPUs(key.job)
		}
		used += onMachine
		if onMachine > modelMachineCPUs {
			m.t.Fatalf("%s runs %d processors", worker.id, onMachine)
		}
	}
	if used > modelQuotaCPUs {
		m.t.Fatalf("the team uses %d of %d processors", used, modelQuotaCPUs)
	}
}

// requestedCPUs returns how many processors a task of a job requests; 0 if the leader does not
// know the job.
func (m *model) requestedCPUs(jobID string) int {
	if job := m.leader.state.Jobs[jobID]; job != nil {
		return int(job.Spec.Request.CPU / 1_000_000)
	}
	return 0
}

// runningTasks returns how many tasks of a job run on workers.
func (m *model) runningTasks(jobID string) int {
	running := 0
	for _, worker := range m.workers {
		for key, task := range worker.tasks {
			if key.job == jobID && worker.alive && task.stage == protocol.TaskRunning {
				running++
			}
		}
	}
	return running
}
