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
	// firstPingInterval is the time between pings while a peer does not answer.
	firstPingInterval = 150 * units.Millisecond
	// neverAnswered is a time of the last answer that is long ago by any clock.
	neverAnswered = -1 << 50
)

// peerLink is the link to one other controller.
type peerLink struct {
	link         *transport.Link
	clock        units.Clock
	lastAnswerAt atomic.Int64 // steady time of the last frame from the peer
	leading      atomic.Bool  // the peer led, as it said in its last answer to a ping
	lastID       atomic.Uint64
	pending      *pendingRequests
}

func newPeerLink(dial transport.DialFunc, endpoint string, clock units.Clock, random *rand.Rand, log *slog.Logger) *peerLink {
	l := &peerLink{clock: clock, pending: newPendingRequests()}
	l.lastAnswerAt.Store(neverAnswered)
	l.link = transport.NewLink(dial, endpoint, l.receive, l.pending.abort, random, log)
	return l
}

// fresh reports whether the peer has answered within LinkFreshness on a link that is still up.
func (l *peerLink) fresh() bool {
	return l.link.Up() && l.clock.Steady()-units.Micros(l.lastAnswerAt.Load()) < LinkFreshness
}

// ping sends pings until ctx ends.
func (l *peerLink) ping(ctx context.Context) {
	for wait := firstPingInterval; loop.Sleep(ctx, wait); {
		_ = l.link.Send(protocol.EncodeFrame(protocol.Frame{Kind: protocol.FramePing}))
		if wait = pingInterval; !l.fresh() {
			wait = firstPingInterval
		}
	}
}

// receive handles a frame from the peer. One that is malformed is ignored.
func (l *peerLink) receive(data []byte) {
	frame, err := protocol.DecodeFrame(data)
	if err != nil {
		return
	}
	l.lastAnswerAt.Store(int64(l.clock.Steady()))
	if frame.Kind != protocol.FrameResponse {
		return
	}
	if frame.ID == pingID {
		l.leading.Store(frame.Job != "")
	}
	l.pending.resolve(frame)
}
