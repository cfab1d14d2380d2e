package fake

import "time"

// Fault is a set of network faults between a machine and the controllers. The zero value is no
// fault.
type Fault struct {
	ResponsesLost  bool // heartbeats arrive; their responses and pushed commands are lost
	HeartbeatsLost bool // heartbeats are lost; pushed commands arrive
	Partitioned    bool // heartbeats and pushed commands are lost
	// DuplicatedShare is the fraction of heartbeats of which a duplicate arrives later.
	DuplicatedShare float64
	// DelayedShare is the fraction of heartbeats that arrive late and get no response.
	DelayedShare float64
	// CommandDelay delays the execution of each push of commands.
	CommandDelay time.Duration
}

// InjectFault replaces the machine's fault; the zero Fault removes it.
func (m *Machine) InjectFault(fault Fault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = fault
}

// Hang suspends the machine for d, from now: tasks do not advance, and no heartbeat or command is
// processed. The lease is not extended by the suspension.
func (m *Machine) Hang(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hungUntil = time.Now().Add(d)
}

// LeaseLeft returns the time until the lease expiry if no further heartbeat is acknowledged. It
// is negative after the lease expiry.
func (m *Machine) LeaseLeft() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Timing.LeaseDuration - time.Since(m.leaseStart)
}

// hung reports whether the machine exists and is suspended.
func (m *Machine) hung() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.killed && m.hungLocked()
}

func (m *Machine) hungLocked() bool { return time.Now().Before(m.hungUntil) }
