// Package controller is one controller node: it serves users, workers and the other
// controllers, passes requests on to the leader, and composes the leader's components while
// it leads itself.
package controller

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"dunestand/internal/election"
	"dunestand/internal/peers"
	"dunestand/internal/protocol"
	"dunestand/internal/recordformat"
	"dunestand/internal/transport"
	"dunestand/internal/units"
)

// Controller is one controller node: it serves users, workers and the other
// controllers, and leads while it holds the fleet lease.
type Controller struct {
	deps             Deps
	elector          *election.Elector
	format           *recordformat.Negotiator
	peers            *peers.Peers
	server           *transport.Server
	leader           atomic.Pointer[Leader]
	lastHeartbeat    atomic.Int64 // steady time of the last worker's report
	lastUseful       atomic.Int64 // steady time when it last led or reached the leader
	leaderless       leaderlessAdmission
	heartbeatReader  *protocol.HeartbeatReader
	heartbeatLimiter *heartbeatLimiter
	bypassedSince    atomic.Int64 // steady time since when another node leads that refuses this one's links; 0: none does
}

// userPollGap is longer than users wait between two questions, and workers
// report more often than that: a connection that is in use is not closed.
const userPollGap = 10 * units.Second

// Run serves on the two listeners until ctx ends.
func (c *Controller) Run(ctx context.Context, clients, mesh net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	errs := make(chan error, 2)
	for _, part := range []func(){
		func() { errs <- c.server.Serve(ctx, clients) },
		func() { errs <- transport.ServeMesh(ctx, mesh, c.deps.Log, c.answerPeer) },
		func() { c.peers.Run(ctx) },
		func() { c.logRuntime(ctx) },
		func() { c.format.Run(ctx, func() bool { return c.activeLeader() != nil }) },
		func() { c.elector.Run(ctx, c.runLeader) },
		func() { c.deps.Admitter.Follow(ctx) },
	} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			part()
		}()
	}
	err := <-errs // a listener that fails ends the node
	cancel()
	wg.Wait()
	return err
}

// runLeader leads until ctx ends. token is the fencing token of the election that was won.
func (c *Controller) runLeader(ctx context.Context, token uint64) {
	c.deps.KV.SetLeader(true)
	defer c.deps.KV.SetLeader(false)
	leader := NewLeader(c.elector.Leadership(token), c.deps)
	c.leader.Store(leader)
	leader.Run(ctx)
	c.leader.CompareAndSwap(leader, nil)
}

// leaseRecordTTL is for how long the fleet record, once read, tells who leads.
const leaseRecordTTL = 2 * units.Second

// leaderName names the node that leads as far as this one knows: the one that the
// record names, or, when this node has lost the state service and would not
// learn of a change from there, the one that says so itself.
func (c *Controller) leaderName() string {
	if c.elector.UnansweredFor() > leaseRecordTTL {
		if node := c.peers.Leader(); node != "" {
			return node
		}
	}
	return c.elector.Leader()
}

// activeLeader gives the term if this node leads it now.
func (c *Controller) activeLeader() *Leader {
	if t := c.leader.Load(); t != nil && t.leadership.Valid() {
		return t
	}
	return nil
}
