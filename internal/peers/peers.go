// Package peers maintains links to the other controllers. It forwards requests to the leader and
// tracks which controllers are reachable.
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

// ReachabilityTimeout is the time after its last frame for which a peer counts as reachable.
const ReachabilityTimeout = 3 * units.Second

// Peers holds the links to the other controllers, by name. Run maintains them. All methods are safe
// for concurrent use.
type Peers struct {
	links map[string]*peerLink // immutable after New
}

// New returns the links to the other controllers. Run connects them.
func New(dial transport.DialFunc, others []config.Peer, clock units.Clock, random *rand.Rand, log *slog.Logger) *Peers {
	p := &Peers{links: map[string]*peerLink{}}
	for _, peer := range others {
		seeded := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
		p.links[peer.Name] = newPeerLink(dial, peer.Endpoint, clock, seeded, log)
	}
	return p
}

// Run connects the links, reconnects them when they are lost, and returns once ctx has ended and all
// are closed.
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
			l.sendPings(ctx)
		}()
	}
	wg.Wait()
}

// Reachable reports whether the link to the named peer is up and the peer has sent a frame within
// ReachabilityTimeout. It returns false for an unknown name.
func (p *Peers) Reachable(name string) bool {
	l := p.links[name]
	return l != nil && l.reachable()
}

// AnyReachable reports whether at least one peer is reachable.
func (p *Peers) AnyReachable() bool {
	for _, l := range p.links {
		if l.reachable() {
			return true
		}
	}
	return false
}

// Leader returns the name of a reachable peer that was the leader according to its last response to
// a ping, or "" if there is none. The peer may have lost the lease since.
func (p *Peers) Leader() string {
	for _, name := range sorted.Keys(p.links) {
		if l := p.links[name]; l.reachable() && l.leading.Load() {
			return name
		}
	}
	return ""
}

// RefusesConnections reports whether the machine of the named peer refuses connections: the machine
// is reachable, but the controller on it does not run or does not listen.
func (p *Peers) RefusesConnections(name string) bool {
	l := p.links[name]
	return l != nil && l.link.Refused()
}

// UnreachableCount returns the number of peers that are not reachable and do not refuse connections
// either.
func (p *Peers) UnreachableCount() int {
	n := 0
	for _, l := range p.links {
		if !l.reachable() && !l.link.Refused() {
			n++
		}
	}
	return n
}
