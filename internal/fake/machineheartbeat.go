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

// sentHeartbeat is a heartbeat and the machine's state when it was sent.
type sentHeartbeat struct {
	body        []byte
	incarnation uint64
	at          time.Time
	fault       Fault
	delayed     bool
}

// heartbeatResponse is a controller's response; status 0: none arrived in time.
type heartbeatResponse struct {
	status int
	body   []byte
}

// heartbeatLoop sends heartbeats, one at a time, until ctx ends or the machine is killed.
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
			m.handleResponse(response.body, heartbeat.incarnation, heartbeat.at)
			m.waitForNextHeartbeat(ctx, heartbeat.at)
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

// draw returns a random number below n.
func (m *Machine) draw(n int64) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.random.Int64N(n)
}

// nextHeartbeatLocked makes a heartbeat of the present and has it duplicated if the fault
// says so.
func (m *Machine) nextHeartbeatLocked(ctx context.Context) sentHeartbeat {
	heartbeat := sentHeartbeat{
		body:        m.encodeHeartbeatLocked(),
		incarnation: m.incarnation,
		at:          time.Now(),
		fault:       m.fault,
	}
	heartbeat.delayed = m.random.Float64() < m.fault.DelayedShare
	if m.random.Float64() < m.fault.DuplicatedShare {
		m.background.Go(func() { m.deliverLater(ctx, heartbeat.body) })
	}
	return heartbeat
}

// exchange sends a heartbeat to a controller and returns the response as the worker
// perceives it.
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
		sleep(ctx, heartbeatTimeout-time.Since(heartbeat.at))
		response.status = 0
	}
	if time.Since(heartbeat.at) > heartbeatTimeout {
		response.status = 0
	}
	return response
}

// encodeHeartbeatLocked returns a heartbeat with the next sequence number.
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

// deliverLater delivers a heartbeat to a random controller, from 2 s to well over a lease
// later.
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

// CaptureHeartbeat takes a heartbeat of the present out of the network. The function that
// it returns delivers the heartbeat to a controller, whenever it is called.
func (m *Machine) CaptureHeartbeat() (deliver func(ctx context.Context, controller string)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	body := m.encodeHeartbeatLocked()
	return func(ctx context.Context, controller string) { m.sendHeartbeat(ctx, controller, body) }
}

func (m *Machine) sendHeartbeat(ctx context.Context, controller string, body []byte) heartbeatResponse {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+controller+UsersPort+protocol.PathHeartbeat, bytes.NewReader(body))
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

// waitForNextHeartbeat waits until a heartbeat is due: within a quarter of its interval, or
// when something changes.
func (m *Machine) waitForNextHeartbeat(ctx context.Context, sent time.Time) {
	m.mu.Lock()
	due := sent.Add(time.Duration(float64(m.Timing.HeartbeatInterval) * (0.75 + m.random.Float64()/2)))
	m.mu.Unlock()
	sleep(ctx, minHeartbeatInterval-time.Since(sent))
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
