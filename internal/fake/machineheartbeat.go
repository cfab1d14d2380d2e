package fake

import (
	"bytes"
	"context"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"dunestand/internal/protocol"
)

// sentHeartbeat is a heartbeat and the machine's state at the time of sending.
type sentHeartbeat struct {
	body        []byte
	incarnation uint64
	restarts    int // of the machine
	sentAt      time.Time
	fault       Fault
	delayed     bool
}

// heartbeatResponse is a controller's response. Status 0 means that none arrived in time.
type heartbeatResponse struct {
	status int
	body   []byte
}

// heartbeatLoop sends one heartbeat at a time until ctx ends or the machine is killed.
func (m *Machine) heartbeatLoop(ctx context.Context) {
	controller := int(m.draw(int64(len(m.Controllers))))
	for ctx.Err() == nil {
		m.mu.Lock()
		if m.killed {
			m.mu.Unlock()
			return
		}
		if m.hungLocked() {
			m.mu.Unlock()
			sleep(ctx, tickInterval)
			continue
		}
		heartbeat := m.nextHeartbeatLocked(ctx)
		m.mu.Unlock()
		response := m.exchange(ctx, heartbeat, m.Controllers[controller])
		switch response.status {
		case http.StatusOK:
			m.handleResponse(response.body, heartbeat)
			m.waitForNextHeartbeat(ctx, heartbeat.sentAt)
		case http.StatusMisdirectedRequest:
			var redirect protocol.LeaderRedirect
			_ = protocol.Decode(response.body, &redirect)
			if next := slices.Index(m.Controllers, redirect.Leader); next >= 0 && next != controller {
				controller = next
				sleep(ctx, time.Duration(m.draw(int64(minHeartbeatInterval))))
				continue
			}
			fallthrough
		default:
			controller = (controller + 1) % len(m.Controllers)
			sleep(ctx, retryDelay)
		}
	}
}

// draw returns a random number in [0, n).
func (m *Machine) draw(n int64) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.random.Int64N(n)
}

// nextHeartbeatLocked returns a heartbeat of the current state and schedules its duplicate if
// the fault requires one.
func (m *Machine) nextHeartbeatLocked(ctx context.Context) sentHeartbeat {
	heartbeat := sentHeartbeat{
		body:        m.encodeHeartbeatLocked(),
		incarnation: m.incarnation,
		restarts:    m.restarts,
		sentAt:      time.Now(),
		fault:       m.fault,
	}
	heartbeat.delayed = m.random.Float64() < m.fault.DelayedShare
	if m.random.Float64() < m.fault.DuplicatedShare {
		m.background.Go(func() { m.deliverLater(ctx, heartbeat.body) })
	}
	return heartbeat
}

// exchange sends a heartbeat to a controller, subject to the fault, and returns the response
// that the worker receives.
func (m *Machine) exchange(ctx context.Context, heartbeat sentHeartbeat, controller string) heartbeatResponse {
	var response heartbeatResponse
	switch {
	case heartbeat.fault.HeartbeatsLost || heartbeat.fault.Partitioned:
	case heartbeat.delayed:
		m.background.Go(func() { m.deliverLater(ctx, heartbeat.body) })
		sleep(ctx, heartbeatTimeout)
	default:
		response = m.sendHeartbeat(ctx, controller, heartbeat.body)
	}
	for ctx.Err() == nil && m.hung() {
		sleep(ctx, tickInterval)
	}
	if heartbeat.fault.ResponsesLost && response.status != 0 {
		sleep(ctx, heartbeatTimeout-time.Since(heartbeat.sentAt))
		response.status = 0
	}
	if time.Since(heartbeat.sentAt) > heartbeatTimeout {
		response.status = 0
	}
	return response
}

// encodeHeartbeatLocked returns an encoded heartbeat of the current state with the next sequence
// number, and resets changed.
func (m *Machine) encodeHeartbeatLocked() []byte {
	m.sequence++
	m.changed = false
	heartbeat := protocol.Heartbeat{
		Machine:      m.ID,
		Endpoint:     m.Endpoint(),
		InstanceType: m.InstanceType,
		Zone:         m.Zone,
		Spot:         m.Spot,
		Incarnation:  m.incarnation,
		Sequence:     m.sequence,
		FencingToken: m.fencingToken,
	}
	for _, name := range slices.Sorted(maps.Keys(m.tasks)) {
		t := m.tasks[name]
		heartbeat.Tasks = append(heartbeat.Tasks, protocol.TaskStatus{
			Job:     t.job.ID,
			Index:   t.index,
			Attempt: t.attempt,
			Stage:   t.stage,
			Cause:   t.exitCause,
		})
	}
	return protocol.EncodeHeartbeat(&heartbeat)
}

// deliverLater sends a heartbeat to a random controller after a random delay between 2 s and 2 s
// plus one and a half leases, so that it may arrive after the lease expiry.
func (m *Machine) deliverLater(ctx context.Context, body []byte) {
	m.mu.Lock()
	delay := 2*time.Second + time.Duration(m.random.Int64N(int64(m.Timing.LeaseDuration*3/2)))
	controller := m.Controllers[m.random.IntN(len(m.Controllers))]
	m.mu.Unlock()
	sleep(ctx, delay)
	if ctx.Err() == nil {
		m.sendHeartbeat(ctx, controller, body)
	}
}

// CaptureHeartbeat encodes a heartbeat of the current state without sending it. The returned
// function sends it to a controller each time it is called.
func (m *Machine) CaptureHeartbeat() (deliver func(ctx context.Context, controller string)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	body := m.encodeHeartbeatLocked()
	return func(ctx context.Context, controller string) { m.sendHeartbeat(ctx, controller, body) }
}

func (m *Machine) sendHeartbeat(ctx context.Context, controller string, body []byte) heartbeatResponse {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+controller+ClientPort+protocol.PathHeartbeat, bytes.NewReader(body))
	response, err := m.client.Do(request)
	if err != nil {
		return heartbeatResponse{}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return heartbeatResponse{}
	}
	return heartbeatResponse{response.StatusCode, content}
}

// waitForNextHeartbeat returns when the next heartbeat is due: one interval after sentAt, with
// up to a quarter of jitter either way, or earlier if the machine's state changes, but not
// before minHeartbeatInterval.
func (m *Machine) waitForNextHeartbeat(ctx context.Context, sentAt time.Time) {
	m.mu.Lock()
	due := sentAt.Add(time.Duration(float64(m.Timing.HeartbeatInterval) * (0.75 + m.random.Float64()/2)))
	m.mu.Unlock()
	sleep(ctx, minHeartbeatInterval-time.Since(sentAt))
	for ctx.Err() == nil && time.Now().Before(due) {
		m.mu.Lock()
		ready := m.changed || m.killed
		m.mu.Unlock()
		if ready {
			return
		}
		sleep(ctx, tickInterval)
	}
}
