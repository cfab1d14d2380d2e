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

// The files model_*_test.go run random sequences of events against a whole leader: workers that
// follow the protocol, a key-value store, leaders that fail at any point, responses that are
// lost or delayed. Meanwhile controllers are upgraded one by one from the legacy version, and
// the key-value store lowers its limits after all are upgraded. After every step the invariants
// are checked on the workers, not on the leader's state.

const (
	modelLease       = 10 * units.Second
	modelCancelGrace = 11 * units.Second // limit from the confirmation of a cancellation until no task of the job runs
	workerTimeout    = 4 * units.Second  // for the response to a heartbeat
	modelQuotaCPUs   = 9                 // the team's quota limit
	modelMachineCPUs = 4                 // capacity of a machine
	modelMaxJobs     = 6
	modelControllers = 3
)

// model is the state of one random run.
type model struct {
	t           *rapid.T
	clock       *fake.Clock
	faultsEnded bool

	store           *modelStore
	pendingInFlight []protocol.Txn // pending submissions that are not stored yet
	committedTxns   []protocol.Txn // the leader's transactions that took effect

	controllers     []modelController
	leader          *Leader
	leaderUpgraded  bool                  // the leader is of the new version
	elections       uint64                // number of elections won so far
	batch           *cluster.WriteBatch   // write batch of the leader that is in flight
	batchInFormatV2 bool                  // batch was built in FormatV2 or later
	staleBatches    []*cluster.WriteBatch // write batches that were in flight when their leader failed

	workers            []*modelWorker
	delayedHeartbeats  []*protocol.Heartbeat // delayed by the network until after the worker timed out
	sentHeartbeats     []sentHeartbeat       // of the last minute; duplicates of them may be delivered
	broadcastResponses []broadcastResponse
	sentPushes         []sentPush          // of the last minute; copies of them may be delivered
	startedAttempts    map[modelStart]bool // attempts that some worker has started

	specs          []protocol.JobSpec // of each job submitted
	jobs           map[string]int     // number of tasks of each job submitted
	services       map[string]bool    // submitted jobs that are services
	completed      map[taskKey]bool   // tasks that some worker has completed
	terminalStages map[string]protocol.JobStage
	cancelledAt    map[string]units.Micros // when the cancellation of a job could first be confirmed to its user
}

// newModel returns the initial state of a random run.
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

		startedAttempts: map[modelStart]bool{},
	}
	// Some runs begin with far more machines than the team can use.
	for range rapid.SampledFrom([]int{2, 2, 2, 2, 16}).Draw(t, "machines") {
		m.workers = append(m.workers, m.newWorker())
	}
	if rapid.Bool().Draw(t, "upgraded before") {
		m.upgradeAll()
	}
	m.elect()
	return m
}

// actions returns the possible events, each as often as its weight. The fixed seed draws
// indexes into this list, so a different order gives different runs.
func (m *model) actions() []func() {
	return []func(){
		m.submit, m.submit, m.sendAnyHeartbeat, m.sendAnyHeartbeat, m.sendAnyHeartbeat, m.deliverAnyResponse, m.deliverAnyResponse, m.deliverAnyResponse,
		m.endAnyTask, m.endAnyTask, m.advanceWrite, m.advanceWrite, m.advanceWrite, m.advanceClock, m.advanceClock,
		m.sendAnyHeartbeat, m.sendAnyHeartbeat, m.sendAnyHeartbeat, m.deliverAnyResponse, m.deliverAnyResponse, m.deliverAnyResponse, m.endAnyTask, m.endAnyTask,
		m.advanceWrite, m.advanceWrite, m.advanceWrite, m.sendAnyHeartbeat, m.deliverAnyResponse, m.sendAnyHeartbeat, m.deliverAnyResponse,
		m.sendAnyHeartbeat, m.deliverAnyResponse, m.failOver, m.failOver, m.cancel, m.releaseAnyWorker,
		m.deliverDelayedHeartbeat, m.deliverDelayedHeartbeat, m.toggleResponseLoss, m.broadcastToken,
		m.broadcastToken, m.deliverBroadcastResponses, m.submitToOtherController, m.commitPendingSubmissions, m.ingestPending,
		m.ingestPending, m.upgrade, m.upgrade, m.upgrade, m.upgrade, m.upgrade, m.upgrade, m.raiseFormat,
		m.raiseFormat, m.raiseFormat, m.lowerLimits, m.toggleHeartbeatLoss, m.toggleHeartbeatLoss, m.hangWorker,
		m.hangWorker, m.cancelAsTaskEnds, m.cancelAsTaskEnds, m.resendTransaction, m.isolateWorker,
		m.isolateWorker, m.isolateWorker, m.isolateWorker, m.delayResponseUntilAfterFailover,
		m.delayResponseUntilAfterFailover, m.delayResponseUntilAfterFailover, m.preempt, m.preempt,
		m.failOverWithDuplicates, m.deliverDuplicate,
		m.preemptThenFailOver, m.preemptThenFailOver, m.preemptThenFailOver,
		m.restartWorker, m.restartWorkersAndFailOver, m.restartWorkersAndFailOver, m.restartWorkersAndFailOver,
		m.pushCommands, m.pushCommands, m.pushCommands, m.deliverPushCopy, m.deliverPushCopy,
	}
}

func TestRandomFaultsKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		actions := m.actions()
		for range rapid.IntRange(50, 250).Draw(t, "steps") {
			rapid.SampledFrom(actions).Draw(t, "action")()
			m.checkInvariants()
		}
		m.drainWithoutFaults()
	})
}

// checkInvariants checks what must hold at any time: no task runs longer than the grace period
// after the cancellation of its job was confirmed, no machine exceeds its capacity, and no team
// exceeds its quota limit.
func (m *model) checkInvariants() {
	for id, job := range m.leader.state.Jobs {
		if m.cancelledAt[id] == 0 && answer.MayConfirmCancellation(job, m.leader.Settings.Fleet.Workers) {
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
				m.t.Fatalf("%s/%d is on %s %v after the cancellation was confirmed", key.job, key.index, worker.id, (m.clock.Now - at).Duration())
			}
			onMachine += m.requestedCPUs(key.job)
		}
		used += onMachine
		if onMachine > modelMachineCPUs {
			m.t.Fatalf("tasks on %s request %d CPUs", worker.id, onMachine)
		}
	}
	if used > modelQuotaCPUs {
		m.t.Fatalf("team uses %d CPUs, quota limit is %d", used, modelQuotaCPUs)
	}
}

// requestedCPUs returns how many CPUs a task of a job requests; 0 if the leader does not know
// the job.
func (m *model) requestedCPUs(jobID string) int {
	if job := m.leader.state.Jobs[jobID]; job != nil {
		return int(job.Spec.Request.CPU / 1_000_000)
	}
	return 0
}

// runningTasks returns the number of running tasks of a job.
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
