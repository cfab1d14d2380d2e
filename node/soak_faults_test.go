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

// startRandomFault begins a fault that ends by itself. What goes wrong with a controller mostly
// goes wrong with the leader.
func (s *soakRun) startRandomFault() {
	s.faults++
	faults := []func(){
		s.restartController, s.restartController, s.restartController, s.preemptAndRestartLeader, s.preemptAndRestartLeader,
		s.freezeController, s.freezeController,
		s.isolateController, s.rejectControllerKV, s.hangMachines, s.loseResponses, s.loseHeartbeats,
		s.partitionSomeMachines, s.delayCommands,
	}
	faults[s.random.IntN(len(faults))]()
}

// logFault logs a fault, for a violation that follows it to be traced.
func (s *soakRun) logFault(format string, args ...any) {
	s.t.Logf("%s "+format, append([]any{time.Now().Format("04:05.000")}, args...)...)
}

// randomDuration draws a time.
func (s *soakRun) randomDuration(minimum, maximum time.Duration) time.Duration {
	return minimum + time.Duration(s.random.Int64N(int64(maximum-minimum)))
}

// controllerToFail returns a controller without a fault, the leader three times in four, and
// reserves it for a time; false if it has a fault, or if none leads.
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

// isHealthy reports whether a controller has no fault, and had none shortly before.
func (s *soakRun) isHealthy(controller int) bool { return !time.Now().Before(s.faultyUntil[controller]) }

// excludeFromFaults keeps a controller from other faults for a time and some more.
func (s *soakRun) excludeFromFaults(controller int, length time.Duration) {
	const minGap = 3 * time.Second // from the end of a fault to the next
	s.faultyUntil[controller] = time.Now().Add(length + minGap)
}

// scheduleFaultEnd calls a function at the end of a fault, unless the day has ended.
func (s *soakRun) scheduleFaultEnd(length time.Duration, end func()) {
	s.background.Go(func() {
		s.sleep(length)
		if s.ctx.Err() == nil {
			end()
		}
	})
}

// restartController ends a controller and starts it again, at once or after seconds.
func (s *soakRun) restartController() {
	downtime := s.randomDuration(100*time.Millisecond, 5*time.Second)
	if controller, ok := s.controllerToFail(downtime); ok {
		s.stopAndRestart(controller, downtime)
	}
}

// stopAndRestart ends a controller, which may take seconds, and starts it again after a downtime.
func (s *soakRun) stopAndRestart(controller int, downtime time.Duration) {
	s.logFault("%s ends for %v", s.controllers[controller].name, downtime)
	s.stop(controller)
	s.excludeFromFaults(controller, downtime)
	s.scheduleFaultEnd(downtime, func() { s.start(controller) })
}

// preemptAndRestartLeader has urgent work push much of the rest to other machines, and the leader
// end then. The next one hears old heartbeats of some machines first, and of others for a while
// only what they answer to the broadcast of its token.
func (s *soakRun) preemptAndRestartLeader() {
	const (
		minUrgentTasks = largestJobTasks / 2
		rescheduleTime       = 9 * time.Second // what was preempted runs elsewhere
		silentShare        = 0.4
		silentDuration          = 8 * time.Second
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
	s.logFault("%d machines reach no controller for %v", len(silent), silentDuration)
	injectFault(silent, fake.Fault{HeartbeatsLost: true, DuplicatedShare: soakDuplicatedShare})
	s.scheduleFaultEnd(silentDuration, func() { s.duplicateHeartbeatsOnly(silent) })
	s.stopAndRestart(controller, s.randomDuration(100*time.Millisecond, 3*time.Second))
	for range 100 {
		if next, term, ok := s.currentLeaderTerm(); ok && term != previousTerm {
			s.logFault("%s leads with token %s and hears old heartbeats", s.controllers[next].name, term)
			s.deliverCaptured(captured, s.controllers[next].name, s.random)
			return
		}
		s.sleep(100 * time.Millisecond)
	}
}

// freezeController has nothing that is sent to a controller arrive for a while, neither
// requests' answers nor its own, and all of it then.
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

// freezeDelay delays what passes between a frozen controller and others until its end.
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

// isolateController cuts a controller off from the store and the other controllers; workers
// and users still reach it.
func (s *soakRun) isolateController() {
	length := s.randomDuration(3*time.Second, 15*time.Second)
	if controller, ok := s.controllerToFail(length); ok {
		s.logFault("%s is cut off from the store and its peers for %v", s.controllers[controller].name, length)
		s.setKVRejection(controller, true)
		s.partitionPeers(controller, true)
		s.scheduleFaultEnd(length, func() {
			s.setKVRejection(controller, false)
			s.partitionPeers(controller, false)
		})
	}
}

// rejectControllerKV has the store refuse one controller.
func (s *soakRun) rejectControllerKV() {
	length := s.randomDuration(time.Second, 10*time.Second)
	if controller, ok := s.controllerToFail(length); ok {
		s.logFault("the store refuses %s for %v", s.controllers[controller].name, length)
		s.setKVRejection(controller, true)
		s.scheduleFaultEnd(length, func() { s.setKVRejection(controller, false) })
	}
}

// someMachines returns a part of the machines, a twentieth on average.
func (s *soakRun) someMachines() []*fake.Machine {
	return s.sampleMachines(0.1 * s.random.Float64())
}

// sampleMachines returns each machine with a probability.
func (s *soakRun) sampleMachines(probability float64) []*fake.Machine {
	var some []*fake.Machine
	for _, m := range s.allMachines() {
		if s.random.Float64() < probability {
			some = append(some, m)
		}
	}
	return some
}

// injectFaultIntoSomeMachines gives some machines a fault for a while.
func (s *soakRun) injectFaultIntoSomeMachines(fault fake.Fault) {
	fault.DuplicatedShare = soakDuplicatedShare
	machines := s.someMachines()
	length := s.randomDuration(2*time.Second, workerLease+5*time.Second)
	s.logFault("%d machines have for %v the fault %+v", len(machines), length, fault)
	injectFault(machines, fault)
	s.scheduleFaultEnd(length, func() { s.duplicateHeartbeatsOnly(machines) })
}

// capturedHeartbeat is a heartbeat that was held back.
type capturedHeartbeat struct {
	machine string
	capturedAt      time.Time
	deliver func(ctx context.Context, controller string)
}

// deliverOldHeartbeatsToNewLeaders holds heartbeats back, and brings each new leader one of the last minute of
// some machines as soon as it leads: often it is the first that this leader hears of them.
func (s *soakRun) deliverOldHeartbeatsToNewLeaders() {
	const (
		interval     = 500 * time.Millisecond
		maxHeartbeatAge = time.Minute
		captureShare = 0.15
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

// deliverCaptured brings a controller one captured heartbeat of some machines each. The others
// learn its token by the broadcast, which a machine that it has heard of is left out of.
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
func (s *soakRun) partitionSomeMachines()    { s.injectFaultIntoSomeMachines(fake.Fault{Partitioned: true}) }
func (s *soakRun) delayCommands() {
	s.injectFaultIntoSomeMachines(fake.Fault{CommandDelay: 2 * time.Second, DelayedShare: 0.3})
}

// hangMachines stops everything on some machines. All of them go on within their lease: a
// machine that hangs beyond it does not resume its tasks (docs/questions.md, 16), but the
// checker counts these until it goes on. TestCancelledTasksOnHungMachinesEndInTime has such.
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
