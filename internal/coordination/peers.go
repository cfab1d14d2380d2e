package coordination

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"

	"dunestand/internal/config"
	"dunestand/internal/protocol"
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
	link   *transport.Link
	heard  atomic.Int64 // steady time of the last answer
	leads  atomic.Bool  // as the peer itself said then
	nextID atomic.Uint64
	mu     sync.Mutex
	open   map[uint64]chan protocol.Frame
}

const (
	pingEvery   = units.Second
	pingFirst   = 150 * units.Millisecond  // until a peer answers
	forwardWait = 1700 * units.Millisecond // users wait 2 s for a poll
	submitWait  = 200 * units.Millisecond  // then the node can still accept a job by itself
	linkFresh   = 3 * units.Second
)

// NewPeers makes the links to the other controllers.
func NewPeers(dial transport.DialFunc, others []config.Peer, clock units.Clock, random *rand.Rand, log *slog.Logger) *Peers {
	p := &Peers{clock: clock, links: map[string]*peerLink{}}
	for _, o := range others {
		l := &peerLink{open: map[uint64]chan protocol.Frame{}}
		l.heard.Store(-1 << 50)
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
			for wait := pingFirst; pause(ctx, wait); {
				_ = l.link.Send(protocol.EncodeFrame(protocol.Frame{Kind: protocol.FramePing}))
				if wait = pingEvery; !p.fresh(l) {
					wait = pingFirst
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
	l.heard.Store(int64(p.clock.Steady()))
	if f.Kind != protocol.FrameResponse {
		return
	}
	if f.ID == 0 { // the answer to a ping
		l.leads.Store(f.Job != "")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.open[f.ID]; c != nil {
		delete(l.open, f.ID)
		c <- f // has room for one
	}
}

// drop ends the requests that were open on a lost connection.
func (l *peerLink) drop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, c := range l.open {
		delete(l.open, id)
		close(c)
	}
}

// Reaches tells whether a peer has answered lately.
func (p *Peers) Reaches(node string) bool {
	l := p.links[node]
	return l != nil && p.fresh(l)
}

func (p *Peers) fresh(l *peerLink) bool {
	return l.link.Up() && p.clock.Steady()-units.Micros(l.heard.Load()) < linkFresh
}

// Leading names the peer that says it leads, "" if none does.
func (p *Peers) Leading() string {
	for _, node := range sortedKeys(p.links) {
		if l := p.links[node]; p.fresh(l) && l.leads.Load() {
			return node
		}
	}
	return ""
}

// Refused tells whether a peer's machine refuses connections.
func (p *Peers) Refused(node string) bool {
	l := p.links[node]
	return l != nil && l.link.Refused()
}

// Unreached counts the peers from which nothing comes, not even a refusal.
func (p *Peers) Unreached() int {
	n := 0
	for _, l := range p.links {
		if !p.fresh(l) && !l.link.Refused() {
			n++
		}
	}
	return n
}

// ReachesAny tells whether any peer has answered lately.
func (p *Peers) ReachesAny() bool {
	for node := range p.links {
		if p.Reaches(node) {
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
	l.open[id] = answer
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.open, id)
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
	wait := forwardWait
	if kind == protocol.FrameSubmit {
		wait = submitWait
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

// answerFrame serves a peer's frame with the leader's own handlers. The answer to
// a ping names this node if it leads.
func answerFrame(ctx context.Context, data []byte, leading string, serve func(context.Context, protocol.Frame) transport.Response) ([]byte, error) {
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
