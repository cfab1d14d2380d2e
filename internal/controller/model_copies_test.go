package controller

import (
	"slices"

	"pgregory.net/rapid"

	"dunestand/internal/cluster"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// restartWorker has any worker end and come back within a second.
func (m *model) restartWorker() {
	m.restart(rapid.SampledFrom(m.workers).Draw(m.t, "restarted worker"))
}

// restart has a worker begin anew: in its first incarnation, without a fencing token and without tasks.
// The response that it awaited is lost with its connection.
func (m *model) restart(worker *modelWorker) {
	if !worker.alive || m.isHanging(worker) {
		return
	}
	worker.incarnation, worker.sequence, worker.token = 1, 0, 0
	worker.leaseStart = m.clock.Now
	worker.responseAwaited, worker.response = false, nil
	clear(worker.tasks)
}

// restartWorkersAndFailOver has some workers and the leader come back within a second. The next leader
// receives heartbeats of the workers, duplicates of heartbeats from before and after, and copies of
// commands that were pushed before, in any order.
func (m *model) restartWorkersAndFailOver() {
	for _, worker := range m.workers {
		if rapid.Bool().Draw(m.t, "restarted") {
			m.restart(worker)
		}
	}
	if rapid.Bool().Draw(m.t, "a new leader") {
		m.failOver()
	}
	m.runAllExcept(nil, units.Micros(rapid.IntRange(0, 6).Draw(m.t, "seconds"))*units.Second)
	m.deliverMixedMessages()
	m.runAllExcept(nil, units.Micros(rapid.IntRange(0, 6).Draw(m.t, "seconds"))*units.Second)
}

// sentPush is a push of commands that a leader has sent to a worker, whether or not it was delivered.
type sentPush struct {
	machine string
	push    protocol.DirectCommands
	at      units.Micros
}

// pushCommands has the leader push the urgent commands of any worker, with a wake command if a start
// waits. They are delivered at once or only later.
func (m *model) pushCommands() {
	worker := rapid.SampledFrom(m.workers).Draw(m.t, "worker")
	machine := m.leader.state.Machines[worker.id]
	if machine == nil {
		return
	}
	var jobToStart *cluster.Job
	for _, attempt := range machine.SortedAttempts() {
		if attempt.Stage == cluster.Assigned {
			jobToStart = attempt.Job
		}
	}
	_, body := m.leader.pusher.Commands(worker.id, jobToStart)
	if body == nil {
		return
	}
	sent := sentPush{machine: worker.id, at: m.clock.Now}
	if err := protocol.Decode(body, &sent.push); err != nil {
		m.t.Fatal(err)
	}
	m.sentPushes = slices.DeleteFunc(m.sentPushes, func(s sentPush) bool { return m.clock.Now-s.at > duplicateWindow })
	m.sentPushes = append(m.sentPushes, sent)
	if rapid.Bool().Draw(m.t, "delivered at once") {
		m.deliverPush(sent)
	}
}

// deliverPushCopy delivers any push of the last minute, which may have been carried out before.
func (m *model) deliverPushCopy() {
	if len(m.sentPushes) > 0 {
		m.deliverPush(rapid.SampledFrom(m.sentPushes).Draw(m.t, "push"))
	}
}

// deliverPush has a worker carry out pushed commands, unless the push is for another incarnation or has
// a lower fencing token than the highest seen.
func (m *model) deliverPush(sent sentPush) {
	for _, worker := range m.workers {
		if worker.id != sent.machine || !worker.alive || m.isHanging(worker) || worker.responsesLost {
			continue
		}
		if sent.push.Incarnation != worker.incarnation || sent.push.FencingToken < worker.token {
			continue
		}
		worker.token = sent.push.FencingToken
		for _, command := range sent.push.Commands {
			m.execute(worker, command)
		}
	}
}
