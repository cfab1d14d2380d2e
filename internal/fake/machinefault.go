package fake

import "time"

// Fault is what goes wrong on the way to and from a machine. The zero value is no fault.
type Fault struct {
	ResponsesLost  bool // heartbeats arrive; their responses and pushed commands are lost
	HeartbeatsLost bool // no heartbeat arrives; pushed commands do
	Partitioned    bool // neither arrives
	// DuplicatedShare is the share of heartbeats that are delivered once more, later.
	DuplicatedShare float64
	// DelayedShare is the share of heartbeats that get no response and arrive later.
	DelayedShare float64
	// CommandDelay holds up each pushed command.
	CommandDelay time.Duration
}

// InjectFault replaces the machine's fault; the zero Fault ends it.
func (m *Machine) InjectFault(fault Fault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = fault
}

// Hang stops everything on the machine for d, from now.
func (m *Machine) Hang(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hungUntil = time.Now().Add(d)
}

// LeaseLeft returns how long the worker's lease still holds if no heartbeat is answered.
func (m *Machine) LeaseLeft() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Timing.LeaseDuration - time.Since(m.leaseStart)
}

func (m *Machine) hung() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hungLocked()
}

func (m *Machine) hungLocked() bool { return time.Now().Before(m.hungUntil) }
