package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"dunestand/internal/fake"
	"dunestand/internal/protocol"
)

// startRandomFault starts a fault that ends after a random time. Most faults of controllers hit
// the leader.
func (s *soakRun) startRandomFault() {
	s.faults++
	faults := []func(){
		s.restartController, s.restartController, s.restartController, s.preemptAndRestartLeader, s.preemptAndRestartLeader,
		s.freezeController, s.freezeController,
		s.isolateController, s.rejectControllerKV, s.hangMachines, s.loseResponses, s.loseHeartbeats,
		s.partitionSomeMachines, s.delayCommands, s.restartSomeMachines, s.restartMachinesAndLeader, s.deliverPushCopies,
	}
	faults[s.random.IntN(len(faults))]()
}

// logFault logs a fault with the time, so that a later violation can be traced to it.
func (s *soakRun) logFault(format string, args ...any) {
	s.t.Logf("%s "+format, append([]any{time.Now().Format("04:05.000")}, args...)...)
}

// randomDuration returns a random duration in [minimum, maximum).
func (s *soakRun) randomDuration(minimum, maximum time.Duration) time.Duration {
	return minimum + time.Duration(s.random.Int64N(int64(maximum-minimum)))
}

// controllerToFail returns a controller without a fault, the leader in three cases of four, and
// excludes it from other faults for length. ok is false if the selected controller has a fault or
// none leads.
func (s *soakRun) controllerToFail(length time.Duration) (controller int, ok bool) {
	controller = s.random.IntN(len(s.controllers))
	if s.random.IntN(4) > 0 {
		if controller, ok = s.currentLeader(); !ok {
			return 0, false
		}
	}
	if !s.isHealthy(controller) {
		return 0, false
	}
	s.excludeFromFaults(controller, length)
	return controller, true
}

// isHealthy reports whether a controller has no fault and had none shortly before.
func (s *soakRun) isHealthy(controller int) bool {
	return !time.Now().Before(s.faultyUntil[controller])
}

// excludeFromFaults keeps other faults away from a controller for length plus minGap.
func (s *soakRun) excludeFromFaults(controller int, length time.Duration) {
	const minGap = 3 * time.Second // from the end of a fault to the next
	s.faultyUntil[controller] = time.Now().Add(length + minGap)
}

// scheduleFaultEnd calls end after length, unless the run has ended by then.
func (s *soakRun) scheduleFaultEnd(length time.Duration, end func()) {
	s.background.Go(func() {
		s.sleep(length)
		if s.ctx.Err() == nil {
			end()
		}
	})
}

// restartController stops a controller and starts it again within seconds.
func (s *soakRun) restartController() {
	downtime := s.randomDuration(100*time.Millisecond, 5*time.Second)
	if controller, ok := s.controllerToFail(downtime); ok {
		s.stopAndRestart(controller, downtime)
	}
}

// stopAndRestart stops a controller, which can take seconds, and starts it again after a downtime.
func (s *soakRun) stopAndRestart(controller int, downtime time.Duration) {
	s.logFault("%s stops for %v", s.controllers[controller].name, downtime)
	s.stop(controller)
	s.excludeFromFaults(controller, downtime)
	s.scheduleFaultEnd(downtime, func() { s.start(controller) })
}

// preemptAndRestartLeader has urgent jobs preempt many tasks, which then move to other machines,
// and restarts the leader. The next leader first receives old heartbeats of some machines. From
// other machines it receives, for a while, only their responses to the broadcast of its fencing
// token.
func (s *soakRun) preemptAndRestartLeader() {
	const (
		minUrgentTasks = largestJobTasks / 2
		rescheduleTime = 9 * time.Second // until preempted tasks run elsewhere
		silentShare    = 0.4
		silentDuration = 8 * time.Second
	)
	var captured []capturedHeartbeat
	for _, m := range s.allMachines() {
		captured = append(captured, capturedHeartbeat{m.ID, time.Now(), m.CaptureHeartbeat()})
	}
	urgentTasks := s.scaledTaskCount(minUrgentTasks)
	for range s.quotaLimitCPUs / (2 * urgentTasks) {
		s.submitJob(urgentTasks, 3*time.Second, protocol.Production)
	}
	s.sleep(rescheduleTime)
	controller, previousTerm, ok := s.currentLeaderTerm()
	if !ok || !s.isHealthy(controller) {
		return
	}
	silent := s.sampleMachines(silentShare)
	s.logFault("the heartbeats of %d machines are lost for %v", len(silent), silentDuration)
	injectFault(silent, fake.Fault{HeartbeatsLost: true, DuplicatedShare: soakDuplicatedShare})
	s.scheduleFaultEnd(silentDuration, func() { s.duplicateHeartbeatsOnly(silent) })
	s.stopAndRestart(controller, s.randomDuration(100*time.Millisecond, 3*time.Second))
	for range 100 {
		if next, term, ok := s.currentLeaderTerm(); ok && term != previousTerm {
			s.logFault("%s leads with fencing token %s and receives old heartbeats", s.controllers[next].name, term)
			s.deliverCaptured(captured, s.controllers[next].name, s.random)
			return
		}
		s.sleep(100 * time.Millisecond)
	}
}

// freezeController delays all responses that a controller sends or is to receive until the freeze
// ends. Requests arrive at once.
func (s *soakRun) freezeController() {
	length := s.randomDuration(2*time.Second, 14*time.Second)
	if controller, ok := s.controllerToFail(length); ok {
		s.logFault("%s freezes for %v", s.controllers[controller].name, length)
		s.update(func() {
			if s.frozenUntil == nil {
				s.frozenUntil = map[string]time.Time{}
			}
			s.frozenUntil[s.controllers[controller].name] = time.Now().Add(length)
		})
	}
}

// freezeDelay delays the responses on a connection from or to a frozen controller until the freeze
// ends; see fake.Network.SetDelay.
func (s *soakRun) freezeDelay(from, to string) <-chan time.Time {
	host, _, _ := strings.Cut(to, ":")
	s.mu.Lock()
	until := s.frozenUntil[host]
	if other := s.frozenUntil[from]; other.After(until) {
		until = other
	}
	s.mu.Unlock()
	if remaining := time.Until(until); remaining > 0 {
		return time.After(remaining)
	}
	return nil
}

// isolateController partitions a controller from the key-value store and the other controllers;
// workers and users still reach it.
func (s *soakRun) isolateController() {
	length := s.randomDuration(3*time.Second, 15*time.Second)
	if controller, ok := s.controllerToFail(length); ok {
		s.logFault("%s is isolated from the key-value store and the other controllers for %v", s.controllers[controller].name, length)
		s.setKVRejection(controller, true)
		s.partitionPeers(controller, true)
		s.scheduleFaultEnd(length, func() {
			s.setKVRejection(controller, false)
			s.partitionPeers(controller, false)
		})
	}
}

// rejectControllerKV has the key-value store reject the requests of one controller.
func (s *soakRun) rejectControllerKV() {
	length := s.randomDuration(time.Second, 10*time.Second)
	if controller, ok := s.controllerToFail(length); ok {
		s.logFault("the key-value store rejects %s for %v", s.controllers[controller].name, length)
		s.setKVRejection(controller, true)
		s.scheduleFaultEnd(length, func() { s.setKVRejection(controller, false) })
	}
}

// someMachines returns a random selection of the machines, 5% on average.
func (s *soakRun) someMachines() []*fake.Machine {
	return s.sampleMachines(0.1 * s.random.Float64())
}

// sampleMachines returns a random selection of the machines, each with the given probability.
func (s *soakRun) sampleMachines(probability float64) []*fake.Machine {
	var some []*fake.Machine
	for _, m := range s.allMachines() {
		if s.random.Float64() < probability {
			some = append(some, m)
		}
	}
	return some
}

// injectFaultIntoSomeMachines injects a fault into some machines and ends it after a random time.
func (s *soakRun) injectFaultIntoSomeMachines(fault fake.Fault) {
	fault.DuplicatedShare = soakDuplicatedShare
	machines := s.someMachines()
	length := s.randomDuration(2*time.Second, workerLease+5*time.Second)
	s.logFault("%d machines have, for %v, the fault %+v", len(machines), length, fault)
	injectFault(machines, fault)
	s.scheduleFaultEnd(length, func() { s.duplicateHeartbeatsOnly(machines) })
}

// capturedHeartbeat is a heartbeat that has been withheld from the controllers.
type capturedHeartbeat struct {
	machine    string
	capturedAt time.Time
	deliver    func(ctx context.Context, controller string)
}

// deliverOldHeartbeatsToNewLeaders captures heartbeats, and delivers to each new leader, as soon
// as it leads, one heartbeat of the last minute from some machines. It is often the first that
// this leader receives from the machine.
func (s *soakRun) deliverOldHeartbeatsToNewLeaders() {
	const (
		interval        = 500 * time.Millisecond
		maxHeartbeatAge = time.Minute
		captureShare    = 0.15
	)
	random := s.newRandom(3)
	var captured []capturedHeartbeat
	lastTerm := ""
	for ; !s.faultsEnded.Load() && s.ctx.Err() == nil; s.sleep(interval) {
		if controller, term, ok := s.currentLeaderTerm(); ok && term != lastTerm {
			lastTerm = term
			s.deliverCaptured(captured, s.controllers[controller].name, random)
		}
		captured = slices.DeleteFunc(captured, func(c capturedHeartbeat) bool { return time.Since(c.capturedAt) > maxHeartbeatAge })
		for _, m := range s.allMachines() {
			if random.Float64() < captureShare {
				captured = append(captured, capturedHeartbeat{m.ID, time.Now(), m.CaptureHeartbeat()})
			}
		}
	}
}

// deliverCaptured delivers to a controller one captured heartbeat each of some machines. The other
// machines learn the controller's fencing token from its broadcast, which leaves out the machines
// from which the controller has received a heartbeat.
func (s *soakRun) deliverCaptured(captured []capturedHeartbeat, controller string, random *rand.Rand) {
	const machineShare = 0.4
	chosen := map[string]bool{}
	for _, i := range random.Perm(len(captured)) {
		c := captured[i]
		if _, drawn := chosen[c.machine]; drawn {
			continue
		}
		if chosen[c.machine] = random.Float64() < machineShare; chosen[c.machine] {
			s.background.Go(func() { c.deliver(s.ctx, controller) })
		}
	}
}

func (s *soakRun) loseResponses()  { s.injectFaultIntoSomeMachines(fake.Fault{ResponsesLost: true}) }
func (s *soakRun) loseHeartbeats() { s.injectFaultIntoSomeMachines(fake.Fault{HeartbeatsLost: true}) }
func (s *soakRun) partitionSomeMachines() {
	s.injectFaultIntoSomeMachines(fake.Fault{Partitioned: true})
}
func (s *soakRun) delayCommands() {
	s.injectFaultIntoSomeMachines(fake.Fault{CommandDelay: 2 * time.Second, DelayedShare: 0.3})
}

// restartSomeMachines restarts some machines within a second.
func (s *soakRun) restartSomeMachines() {
	machines := s.someMachines()
	s.logFault("%d machines restart", len(machines))
	for _, m := range machines {
		m.Restart(s.randomDuration(100*time.Millisecond, time.Second))
	}
}

// restartMachinesAndLeader restarts some machines and the leader within a second. Duplicates of heartbeats
// from before and copies of pushed commands arrive later.
func (s *soakRun) restartMachinesAndLeader() {
	s.restartSomeMachines()
	downtime := s.randomDuration(100*time.Millisecond, time.Second)
	if controller, ok := s.currentLeader(); ok && s.isHealthy(controller) {
		s.excludeFromFaults(controller, downtime)
		s.stopAndRestart(controller, downtime)
	}
	s.deliverPushCopies()
}

// deliverPushCopies delivers copies of the commands that were pushed to some machines.
func (s *soakRun) deliverPushCopies() {
	executed := 0
	for _, m := range s.sampleMachines(0.5) {
		executed += m.DeliverPushCopies()
	}
	s.logFault("copies of pushed commands: %d executed", executed)
}

// hangMachines hangs some machines, which all resume within their lease. A machine that hangs for
// longer does not resume its tasks (docs/questions.md, 16), but the invariant checker counts them
// until the machine resumes. TestCancelledTasksOnHungMachinesEndInTime covers such machines.
func (s *soakRun) hangMachines() {
	const margin = 200 * time.Millisecond
	for _, m := range s.someMachines() {
		length := min(s.randomDuration(time.Second, workerLease), m.LeaseLeft()-margin)
		if length > 0 {
			s.logFault("%s hangs for %v", m.ID, length)
			m.Hang(length)
		}
	}
}
