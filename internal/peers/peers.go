// Package peers keeps links to the other controllers: it forwards requests to the leader
// among them and knows which of them answer.
package peers

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"

	"dunestand/internal/config"
	"dunestand/internal/loop"
	"dunestand/internal/protocol"
	"dunestand/internal/sorted"
	"dunestand/internal/transport"
	"dunestand/internal/units"
)

// Peers are the other controllers: requests are passed on to the leader among
// them, and pings tell who can be reached.
type Peers struct {
	clock units.Clock
	links map[string]*peerLink
}

type peerLink struct {
	link         *transport.Link
	lastAnswerAt atomic.Int64 // steady time of the last answer
	leading      atomic.Bool  // as the peer itself said then
	nextID       atomic.Uint64
	mu           sync.Mutex
	pending      map[uint64]chan protocol.Frame
}

const (
	pingInterval         = units.Second
	firstPingInterval    = 150 * units.Millisecond  // until a peer answers
	forwardTimeout       = 1700 * units.Millisecond // users wait 2 s for a poll
	forwardSubmitTimeout = 200 * units.Millisecond  // then the node can still accept a job by itself
	LinkFreshness        = 3 * units.Second
)

// New makes the links to the other controllers.
func New(dial transport.DialFunc, others []config.Peer, clock units.Clock, random *rand.Rand, log *slog.Logger) *Peers {
	p := &Peers{clock: clock, links: map[string]*peerLink{}}
	for _, o := range others {
		l := &peerLink{pending: map[uint64]chan protocol.Frame{}}
		l.lastAnswerAt.Store(-1 << 50)
		seeded := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
		l.link = transport.NewLink(dial, o.Endpoint, func(frame []byte) { p.received(l, frame) }, l.drop, seeded, log)
		p.links[o.Node] = l
	}
	return p
}

// Run keeps the links up until ctx ends.
func (p *Peers) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, l := range p.links {
		wg.Add(2)
		go func() {
			defer wg.Done()
			l.link.Run(ctx)
		}()
		go func() {
			defer wg.Done()
			for wait := firstPingInterval; loop.Sleep(ctx, wait); {
				_ = l.link.Send(protocol.EncodeFrame(protocol.Frame{Kind: protocol.FramePing}))
				if wait = pingInterval; !p.fresh(l) {
					wait = firstPingInterval
				}
			}
		}()
	}
	wg.Wait()
}

func (p *Peers) received(l *peerLink, data []byte) {
	f, err := protocol.DecodeFrame(data)
	if err != nil {
		return
	}
	l.lastAnswerAt.Store(int64(p.clock.Steady()))
	if f.Kind != protocol.FrameResponse {
		return
	}
	if f.ID == 0 { // the answer to a ping
		l.leading.Store(f.Job != "")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.pending[f.ID]; c != nil {
		delete(l.pending, f.ID)
		c <- f // has room for one
	}
}

// drop ends the requests that were open on a lost connection.
func (l *peerLink) drop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, c := range l.pending {
		delete(l.pending, id)
		close(c)
	}
}

// Reachable tells whether a peer has answered lately.
func (p *Peers) Reachable(node string) bool {
	l := p.links[node]
	return l != nil && p.fresh(l)
}

func (p *Peers) fresh(l *peerLink) bool {
	return l.link.Up() && p.clock.Steady()-units.Micros(l.lastAnswerAt.Load()) < LinkFreshness
}

// Leader names the peer that says it leads, "" if none does.
func (p *Peers) Leader() string {
	for _, node := range sorted.Keys(p.links) {
		if l := p.links[node]; p.fresh(l) && l.leading.Load() {
			return node
		}
	}
	return ""
}

// RefusesConnections tells whether a peer's machine refuses connections.
func (p *Peers) RefusesConnections(node string) bool {
	l := p.links[node]
	return l != nil && l.link.Refused()
}

// UnreachableCount counts the peers from which nothing comes, not even a refusal.
func (p *Peers) UnreachableCount() int {
	n := 0
	for _, l := range p.links {
		if !p.fresh(l) && !l.link.Refused() {
			n++
		}
	}
	return n
}

// AnyReachable tells whether any peer has answered lately.
func (p *Peers) AnyReachable() bool {
	for node := range p.links {
		if p.Reachable(node) {
			return true
		}
	}
	return false
}

// Forward passes a user's request on to a peer.
func (p *Peers) Forward(ctx context.Context, node string, kind protocol.FrameKind, job string, body []byte) (transport.Response, error) {
	l := p.links[node]
	if l == nil {
		return transport.Response{}, transport.ErrLinkDown
	}
	id := l.nextID.Add(1)
	answer := make(chan protocol.Frame, 1)
	l.mu.Lock()
	l.pending[id] = answer
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.pending, id)
		l.mu.Unlock()
	}()
	if err := l.link.Send(protocol.EncodeFrame(protocol.Frame{
		ID:   id,
		Kind: kind,
		Job:  job,
		Body: body,
	})); err != nil {
		return transport.Response{}, err
	}
	wait := forwardTimeout
	if kind == protocol.FrameSubmit {
		wait = forwardSubmitTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, wait.Duration())
	defer cancel()
	select {
	case f, ok := <-answer:
		if !ok || f.Kind != protocol.FrameResponse || f.Status < 200 || f.Status > 599 {
			return transport.Response{}, errors.New("no answer from the leader")
		}
		return transport.Response{Status: f.Status, Body: f.Body, RetryAfter: f.RetryAfter}, nil
	case <-ctx.Done():
		return transport.Response{}, ctx.Err()
	}
}

// AnswerFrame serves a peer's frame with the leader's own handlers. The answer to
// a ping names this node if it leads.
func AnswerFrame(ctx context.Context, data []byte, leading string, serve func(context.Context, protocol.Frame) transport.Response) ([]byte, error) {
	f, err := protocol.DecodeFrame(data)
	if err != nil {
		return nil, err
	}
	out := protocol.Frame{ID: f.ID, Kind: protocol.FrameResponse, Status: http.StatusOK}
	switch f.Kind {
	case protocol.FramePing:
		out.Job = leading
	case protocol.FrameSubmit, protocol.FramePoll, protocol.FrameCancel:
		r := serve(ctx, f)
		out.Status, out.Body, out.RetryAfter = r.Status, r.Body, r.RetryAfter
	default:
		return nil, nil // of a later version, or no request: ignored
	}
	return protocol.EncodeFrame(out), nil
}
