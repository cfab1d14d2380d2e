package peers

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"

	"dunestand/internal/loop"
	"dunestand/internal/protocol"
	"dunestand/internal/transport"
	"dunestand/internal/units"
)

const (
	pingInterval = units.Second
	// unreachablePingInterval is the time between pings while the peer is not reachable.
	unreachablePingInterval = 150 * units.Millisecond
	// noFrameReceived is the initial time of the last frame, far before any steady time.
	noFrameReceived = -1 << 50
)

// peerLink is the link to one other controller. It is safe for concurrent use.
type peerLink struct {
	link        *transport.Link
	clock       units.Clock
	lastFrameAt atomic.Int64  // steady time of the last frame from the peer
	leading     atomic.Bool   // the peer was the leader according to its last response to a ping
	lastID      atomic.Uint64 // of the last forwarded request
	pending     *pendingRequests
}

func newPeerLink(dial transport.DialFunc, endpoint string, clock units.Clock, random *rand.Rand, log *slog.Logger) *peerLink {
	l := &peerLink{clock: clock, pending: newPendingRequests()}
	l.lastFrameAt.Store(noFrameReceived)
	l.link = transport.NewLink(dial, endpoint, l.receive, l.pending.abort, random, log)
	return l
}

// reachable reports whether the link is up and the peer has sent a frame within ReachabilityTimeout.
func (l *peerLink) reachable() bool {
	return l.link.Up() && l.clock.Steady()-units.Micros(l.lastFrameAt.Load()) < ReachabilityTimeout
}

// sendPings sends a ping every pingInterval, or every unreachablePingInterval while the peer is not
// reachable, until ctx ends.
func (l *peerLink) sendPings(ctx context.Context) {
	for wait := unreachablePingInterval; loop.Sleep(ctx, wait); {
		_ = l.link.Send(protocol.EncodeFrame(protocol.Frame{Kind: protocol.FramePing}))
		if wait = pingInterval; !l.reachable() {
			wait = unreachablePingInterval
		}
	}
}

// receive handles a frame from the peer. It ignores malformed frames.
func (l *peerLink) receive(data []byte) {
	frame, err := protocol.DecodeFrame(data)
	if err != nil {
		return
	}
	l.lastFrameAt.Store(int64(l.clock.Steady()))
	if frame.Kind != protocol.FrameResponse {
		return
	}
	if frame.ID == pingID {
		l.leading.Store(frame.Job != "")
	}
	l.pending.resolve(frame)
}
