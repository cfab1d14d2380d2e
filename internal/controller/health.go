package controller

import (
	"net/http"

	"dunestand/internal/answer"
	"dunestand/internal/transport"
	"dunestand/internal/units"
)

// restartTime is what a controller that was ended takes to be back.
const restartTime = 4 * units.Second

// bypassPatience is for how long a leader may refuse this node's links while
// it renews its lease. A leader that was just restarted is redialled sooner.
const bypassPatience = 3 * units.Second

// health: a node is of use while it leads or reaches the leader, and for a
// while after. A change of leader takes a few seconds; were every node to call
// itself unhealthy meanwhile, the load balancer would keep them all out for
// longer than that, and longer each time. It is of no use, and says so soon,
// while another node leads that it cannot pass requests on to, or while it is
// itself cut off from the state service and all other controllers.
func (c *Controller) health() transport.Response {
	now, lease, leader := c.deps.Clock.Steady(), c.elector, c.leaderName()
	if t := c.activeLeader(); t != nil && t.Ready() || c.peers.Reachable(leader) {
		c.lastUseful.Store(int64(now))
	}
	if !c.peers.Reachable(leader) && c.peers.RefusesConnections(leader) && lease.SeesRenewals() {
		c.bypassedSince.CompareAndSwap(0, int64(now))
	} else {
		c.bypassedSince.Store(0)
	}
	switch since := units.Micros(c.bypassedSince.Load()); {
	case since != 0 && now-since >= bypassPatience:
		return answer.Unavailable("the leader refuses this node's links").Response
	case len(c.deps.Settings.Others) > 0 && !c.peers.AnyReachable() && lease.UnansweredFor() > lease.LeaseDuration():
		return answer.Unavailable("cut off from the state service and the other controllers").Response
	case now-units.Micros(c.lastUseful.Load()) <= 2*lease.LeaseDuration()+restartTime:
		return transport.Response{Status: http.StatusOK}
	}
	return answer.Unavailable("no leader in reach").Response
}
