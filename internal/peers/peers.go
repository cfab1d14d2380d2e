// Package peers keeps links to the other controllers: it forwards requests to the leader
// among them and knows which of them answer.
package peers

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"

	"dunestand/internal/config"
	"dunestand/internal/sorted"
	"dunestand/internal/transport"
	"dunestand/internal/units"
)

// LinkFreshness is for how long after its last answer a peer counts as reachable.
const LinkFreshness = 3 * units.Second

// Peers are the links to the other controllers, by name. Run keeps them up; the other methods
// may be called concurrently with it and with each other.
type Peers struct {
	links map[string]*peerLink // not changed after New
}

// New returns the links to the other controllers, none of them connected yet.
func New(dial transport.DialFunc, others []config.Peer, clock units.Clock, random *rand.Rand, log *slog.Logger) *Peers {
	p := &Peers{links: map[string]*peerLink{}}
	for _, peer := range others {
		seeded := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
		p.links[peer.Node] = newPeerLink(dial, peer.Endpoint, clock, seeded, log)
	}
	return p
}

// Run keeps the links up until ctx ends, and waits until all are closed.
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
			l.ping(ctx)
		}()
	}
	wg.Wait()
}

// Reachable reports whether a peer has answered within LinkFreshness on a link that is still up.
// It is false for a name that is not a peer's.
func (p *Peers) Reachable(node string) bool {
	l := p.links[node]
	return l != nil && l.fresh()
}

// AnyReachable reports whether any peer is reachable.
func (p *Peers) AnyReachable() bool {
	for _, l := range p.links {
		if l.fresh() {
			return true
		}
	}
	return false
}

// Leader returns the name of the reachable peer that said last that it leads, "" if none did. It
// does not prove that the peer leads now.
func (p *Peers) Leader() string {
	for _, node := range sorted.Keys(p.links) {
		if l := p.links[node]; l.fresh() && l.leading.Load() {
			return node
		}
	}
	return ""
}

// RefusesConnections reports whether a peer's machine answers and refuses connections: its
// process does not run, or does not listen.
func (p *Peers) RefusesConnections(node string) bool {
	l := p.links[node]
	return l != nil && l.link.Refused()
}

// UnreachableCount returns the number of peers from which nothing comes, not even a refusal.
func (p *Peers) UnreachableCount() int {
	n := 0
	for _, l := range p.links {
		if !l.fresh() && !l.link.Refused() {
			n++
		}
	}
	return n
}
