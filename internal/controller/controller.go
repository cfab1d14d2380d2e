// Package controller implements one controller process of the cluster scheduler. Controllers
// serve users, workers and each other. The controller that holds the leader lease runs the
// scheduler and the other components of the leader; the followers forward users' requests to
// it.
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

// Controller serves users, workers and the other controllers, and leads while it holds the
// leader lease. Create it with [New] and call Run exactly once; the request handlers run
// concurrently.
type Controller struct {
	deps             Deps
	elector          *election.Elector
	format           *recordformat.Negotiator
	peers            *peers.Peers
	server           *transport.Server
	leader           atomic.Pointer[Leader] // nil while this controller does not lead
	lastHeartbeatAt  atomic.Int64           // steady time of the last heartbeat from any worker
	leaderReachedAt  atomic.Int64           // steady time when this controller last led or reached the leader
	leaderlessJobs   leaderlessJobs
	heartbeatReader  *protocol.HeartbeatReader
	heartbeatLimiter *heartbeatLimiter
	refusedSince     atomic.Int64 // steady time since when the leader has refused this controller's connections; 0: it does not refuse them
}

// maxUserPollInterval is an upper limit on the time between two polls of a user, and is longer
// than the time between two heartbeats of a worker. The idle timeout of connections includes
// it, so that connections in use stay open.
const maxUserPollInterval = 10 * units.Second

// Run serves users and workers on clients and the other controllers on mesh, until ctx ends or
// a listener fails. It returns the error of the listener that ended first, after all of the
// controller's goroutines have returned.
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
	err := <-errs // the failure of either listener stops the controller
	cancel()
	wg.Wait()
	return err
}

// runLeader runs a Leader until ctx ends. token is the fencing token of the election that this
// controller won.
func (c *Controller) runLeader(ctx context.Context, token uint64) {
	c.deps.KV.SetLeader(true)
	defer c.deps.KV.SetLeader(false)
	leader := NewLeader(c.elector.Leadership(token), c.deps)
	c.leader.Store(leader)
	leader.Run(ctx)
	c.leader.CompareAndSwap(leader, nil)
}

// leaseRecordTTL is how long the last lease record read is trusted to name the leader while the
// key-value store does not answer.
const leaseRecordTTL = 2 * units.Second

// leaderName returns the name of the leader as known to this controller, or "" if unknown. The
// name is the holder in the lease record. A controller that cannot reach the key-value store
// does not see a failover there, so it prefers a peer that reports that it leads.
func (c *Controller) leaderName() string {
	if c.elector.UnansweredFor() > leaseRecordTTL {
		if name := c.peers.Leader(); name != "" {
			return name
		}
	}
	return c.elector.Leader()
}

// activeLeader returns the Leader that this controller runs, or nil if the controller is not
// the leader or its lease is no longer valid.
func (c *Controller) activeLeader() *Leader {
	if leader := c.leader.Load(); leader != nil && leader.leadership.Valid() {
		return leader
	}
	return nil
}

// readGate returns the monotonic-read gate, which checks every answer about a job before it is
// sent.
func (c *Controller) readGate() answer.Gate {
	return answer.Gate{Clock: c.deps.Clock, Revisions: c.deps.KV.Revisions}
}
