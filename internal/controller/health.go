package controller

import (
	"net/http"

	"dunestand/internal/answer"
	"dunestand/internal/transport"
	"dunestand/internal/units"
)

// restartDuration is how long a restarted controller takes until it serves again.
const restartDuration = 4 * units.Second

// refusalTolerance is how long a leader that renews its lease may refuse this controller's
// connections before the controller reports itself unhealthy. A leader that has just restarted
// is reached again sooner.
const refusalTolerance = 3 * units.Second

// health answers the load balancer's health check. A controller is healthy while it leads or
// reaches the leader, and for a limited time afterwards: a failover takes a few seconds, and if
// every controller reported itself unhealthy meanwhile, the load balancer would take all of
// them out of service for longer than the failover, and for longer each time. A controller
// reports itself unhealthy without that delay if the leader refuses its connections, or if it
// can reach neither the key-value store nor any other controller.
func (c *Controller) health() transport.Response {
	now, leader := c.deps.Clock.Steady(), c.leaderName()
	c.updateLeaderContact(now, leader)
	refusedSince := units.Micros(c.refusedSince.Load())
	leaseDuration, unansweredFor := c.elector.LeaseDuration(), c.elector.UnansweredFor()
	switch {
	case refusedSince != 0 && now-refusedSince >= refusalTolerance:
		return answer.Unavailable("the leader refuses this node's links").Response
	case len(c.deps.Settings.Peers) > 0 && !c.peers.AnyReachable() && unansweredFor > leaseDuration:
		return answer.Unavailable("cut off from the state service and the other controllers").Response
	case now-units.Micros(c.leaderReachedAt.Load()) <= 2*leaseDuration+restartDuration:
		return transport.Response{Status: http.StatusOK}
	}
	return answer.Unavailable("no leader in reach").Response
}

// updateLeaderContact records when this controller last led or reached the leader, and since
// when the leader has refused its connections.
func (c *Controller) updateLeaderContact(now units.Micros, leaderName string) {
	if leader := c.activeLeader(); leader != nil && leader.Ready() || c.peers.Reachable(leaderName) {
		c.leaderReachedAt.Store(int64(now))
	}
	if !c.peers.Reachable(leaderName) && c.peers.RefusesConnections(leaderName) && c.elector.SeesRenewals() {
		c.refusedSince.CompareAndSwap(0, int64(now))
	} else {
		c.refusedSince.Store(0)
	}
}
