// Package controller runs one controller of the fleet. A controller serves users, workers and
// the other controllers. While it holds the leader lease it composes the components of the
// leader; at other times it forwards users' requests to the leader.
package controller

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"dunestand/internal/answer"
	"dunestand/internal/election"
	"dunestand/internal/peers"
	"dunestand/internal/protocol"
	"dunestand/internal/recordformat"
	"dunestand/internal/transport"
	"dunestand/internal/units"
)

// Controller is one controller node: it serves users, workers and the other
// controllers, and leads while it holds the leader lease. Use [New] to make
// one. Run must be called once; the handlers that it serves run concurrently.
type Controller struct {
	deps             Deps
	elector          *election.Elector
	format           *recordformat.Negotiator
	peers            *peers.Peers
	server           *transport.Server
	leader           atomic.Pointer[Leader] // nil while this controller does not lead
	lastHeartbeatAt  atomic.Int64           // steady time of the last worker's heartbeat
	leaderReachedAt  atomic.Int64           // steady time when this controller last led or reached the leader
	leaderlessJobs   leaderlessJobs
	heartbeatReader  *protocol.HeartbeatReader
	heartbeatLimiter *heartbeatLimiter
	refusedSince     atomic.Int64 // steady time since which the leader has refused this controller's links; 0: it does not
}

// maxUserPollInterval is longer than users wait between two polls. Workers send
// heartbeats more often than that, so a connection that is in use is not closed.
const maxUserPollInterval = 10 * units.Second

// Run serves users and workers on clients, and the other controllers on mesh, until ctx ends
// or a listener fails. It returns the error of the listener that ended first, once all of
// the controller's goroutines have returned.
func (c *Controller) Run(ctx context.Context, clients, mesh net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	errs := make(chan error, 2)
	for _, run := range []func(){
		func() { errs <- c.server.Serve(ctx, clients) },
		func() { errs <- transport.ServeMesh(ctx, mesh, c.deps.Log, c.servePeer) },
		func() { c.peers.Run(ctx) },
		func() { c.logRuntime(ctx) },
		func() { c.format.Run(ctx, func() bool { return c.activeLeader() != nil }) },
		func() { c.elector.Run(ctx, c.runLeader) },
		func() { c.deps.Admitter.Follow(ctx) },
	} {
		wg.Go(run)
	}
	err := <-errs // a listener that fails ends the controller
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

// leaseRecordTTL is for how long a lease record that was read counts as naming the leader.
const leaseRecordTTL = 2 * units.Second

// leaderName returns the name of the leader as far as this controller knows, "" if it knows none.
// It is the holder that the lease record names. A controller that has lost the key-value store
// would not learn of a failover from there, and goes by the peer that says that it leads.
func (c *Controller) leaderName() string {
	if c.elector.UnansweredFor() > leaseRecordTTL {
		if node := c.peers.Leader(); node != "" {
			return node
		}
	}
	return c.elector.Leader()
}

// activeLeader returns the leader that this controller is now, nil if it does not lead.
func (c *Controller) activeLeader() *Leader {
	if leader := c.leader.Load(); leader != nil && leader.leadership.Valid() {
		return leader
	}
	return nil
}

// gate returns the monotonic-read gate that every answer about a job passes on its way out.
func (c *Controller) gate() answer.Gate {
	return answer.Gate{Clock: c.deps.Clock, Revisions: c.deps.KV.Revisions}
}
