package controller

import (
	"net/http"

	"dunestand/internal/answer"
	"dunestand/internal/transport"
	"dunestand/internal/units"
)

// restartTime is how long a controller takes to be back after it was stopped.
const restartTime = 4 * units.Second

// refusalTolerance is for how long a leader may refuse this controller's links while
// it renews its lease. A leader that was just restarted is redialled sooner.
const refusalTolerance = 3 * units.Second

// health answers the load balancer. A controller is healthy while it leads or reaches the
// leader, and for a while after. A failover takes a few seconds; were every controller to
// report itself unhealthy meanwhile, the load balancer would take all of them out for
// longer than that, and longer each time. A controller is unhealthy, and says so soon, while
// another controller leads that refuses its links, or while it is itself cut off from the
// key-value store and all other controllers.
func (c *Controller) health() transport.Response {
	now, leader := c.deps.Clock.Steady(), c.leaderName()
	c.noteLeaderContact(now, leader)
	refusedSince := units.Micros(c.refusedSince.Load())
	leaseDuration, unansweredFor := c.elector.LeaseDuration(), c.elector.UnansweredFor()
	switch {
	case refusedSince != 0 && now-refusedSince >= refusalTolerance:
		return answer.Unavailable("the leader refuses this node's links").Response
	case len(c.deps.Settings.Peers) > 0 && !c.peers.AnyReachable() && unansweredFor > leaseDuration:
		return answer.Unavailable("cut off from the state service and the other controllers").Response
	case now-units.Micros(c.leaderReachedAt.Load()) <= 2*leaseDuration+restartTime:
		return transport.Response{Status: http.StatusOK}
	}
	return answer.Unavailable("no leader in reach").Response
}

// noteLeaderContact notes whether this controller leads or reaches the leader now, and since when
// the leader has refused its links.
func (c *Controller) noteLeaderContact(now units.Micros, leaderName string) {
	if leader := c.activeLeader(); leader != nil && leader.Ready() || c.peers.Reachable(leaderName) {
		c.leaderReachedAt.Store(int64(now))
	}
	if !c.peers.Reachable(leaderName) && c.peers.RefusesConnections(leaderName) && c.elector.SeesRenewals() {
		c.refusedSince.CompareAndSwap(0, int64(now))
	} else {
		c.refusedSince.Store(0)
	}
}
