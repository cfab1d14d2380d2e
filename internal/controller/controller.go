// Package controller is one controller node: it serves users, workers and the other
// controllers, passes requests on to the leader, and composes the leader's components while
// it leads itself.
package controller

import (
	"context"
	"net"
	"net/http"
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

func (c *Controller) routes() {
	s := c.server
	s.Handle(http.MethodPost, protocol.PathSubmit, func(ctx context.Context, r transport.Request) transport.Response {
		if r.TooLarge {
			return answer.ErrorResponse(http.StatusBadRequest, "body over 64 KiB")
		}
		return c.gate().Check(c.submit(ctx, r.Body, true))
	})
	s.Handle(http.MethodGet, protocol.PathPoll, func(ctx context.Context, r transport.Request) transport.Response {
		return c.gate().Check(c.poll(ctx, r.ID, true))
	})
	s.Handle(http.MethodPost, protocol.PathCancel, func(ctx context.Context, r transport.Request) transport.Response {
		return c.gate().Check(c.cancel(ctx, r.ID, true))
	})
	s.Handle(http.MethodGet, protocol.PathHealth, func(context.Context, transport.Request) transport.Response {
		return c.health()
	})
	s.Handle(http.MethodPost, protocol.PathHeartbeat, c.heartbeat)
	s.Handle(http.MethodGet, "/metrics", func(context.Context, transport.Request) transport.Response {
		return transport.Response{
			Status:      http.StatusOK,
			ContentType: "text/plain; version=0.0.4",
			Body:        c.metricsText(),
		}
	})
}

// metricsText returns this node's metrics, those of the leader included while it leads.
func (c *Controller) metricsText() []byte {
	if l := c.activeLeader(); l != nil {
		return c.deps.Metrics.Text(l.WriteMetrics)
	}
	return c.deps.Metrics.Text()
}

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

// Ready tells whether the records are restored.
func (l *Leader) Ready() bool {
	l.state.Lock()
	defer l.state.Unlock()
	return l.state.Restored
}

// gate is what every answer about a job passes on its way out.
func (c *Controller) gate() answer.Gate {
	return answer.Gate{Clock: c.deps.Clock, Revisions: c.deps.KV.Revisions}
}

func (c *Controller) records() recordReader {
	return recordReader{store: c.deps.KV, clock: c.deps.Clock, workers: c.deps.Settings.Fleet.Workers}
}

func (c *Controller) submit(ctx context.Context, body []byte, forward bool) answer.Answer {
	spec, err := protocol.ParseSubmission(body)
	if err != nil {
		// A job that is known stays known, whatever else a repeat says.
		if id, ok := protocol.SubmissionID(body); ok {
			known := c.poll(ctx, id, forward)
			if known.Status != http.StatusNotFound {
				return known
			}
			return answer.Answer{Response: answer.ErrorResponse(http.StatusBadRequest, err.Error()), Evidence: known.Evidence}
		}
		return answer.Plain(answer.ErrorResponse(http.StatusBadRequest, err.Error()))
	}
	var r answer.Answer
	if t := c.activeLeader(); t == nil {
		r = c.forward(ctx, forward, protocol.FrameSubmit, "", body)
	} else if r = t.Submit(ctx, spec); t.Ready() {
		return r
	}
	if forward && r.Status == http.StatusServiceUnavailable {
		return c.acceptWithoutLeader(ctx, spec, r)
	}
	c.leaderless.acceptedBytes.Store(0)
	return r
}

func (c *Controller) poll(ctx context.Context, id string, forward bool) answer.Answer {
	if !protocol.ValidJobID(id) {
		return answer.Plain(answer.ErrorResponse(http.StatusNotFound, "no such job"))
	}
	if t := c.activeLeader(); t != nil {
		return t.Poll(ctx, id)
	}
	r := c.forward(ctx, forward, protocol.FramePoll, id, nil)
	if forward && r.Status == http.StatusServiceUnavailable && !c.peers.Reachable(c.leaderName()) &&
		c.elector.UnansweredFor() < c.elector.LeaseDuration() {
		return c.records().poll(ctx, id)
	}
	return r
}

func (c *Controller) cancel(ctx context.Context, id string, forward bool) answer.Answer {
	if !protocol.ValidJobID(id) {
		return answer.Plain(answer.ErrorResponse(http.StatusNotFound, "no such job"))
	}
	if t := c.activeLeader(); t != nil {
		until := c.deps.Clock.Steady() + writeWaitTimeout
		a := t.Cancel(ctx, id)
		c.gate().Await(ctx, a, until)
		return a
	}
	return c.forward(ctx, forward, protocol.FrameCancel, id, nil)
}

// forward passes a request on to the leader, once: a request that came from
// another controller is not passed on again. A leader that has not answered for
// a while is not waited for.
func (c *Controller) forward(ctx context.Context, allowed bool, kind protocol.FrameKind, id string, body []byte) answer.Answer {
	if leader := c.leaderName(); allowed && leader != c.deps.Settings.Node && c.peers.Reachable(leader) {
		sent := c.deps.Clock.Steady()
		r, err := c.peers.Forward(ctx, leader, kind, id, body)
		if err == nil {
			c.deps.Log.Debug("request passed on", "leader", leader, "kind", kind.String(), "status", r.Status,
				"took_us", int64(c.deps.Clock.Steady()-sent))
			return answer.Relayed(r, sent)
		}
		c.deps.Log.Debug("request not passed on", "leader", leader, "job", id, "error", err)
	}
	return answer.Unavailable("no leader in reach")
}

func (c *Controller) answerPeer(ctx context.Context, data []byte) ([]byte, error) {
	leading := ""
	if c.activeLeader() != nil {
		leading = c.deps.Settings.Node
	}
	return peers.AnswerFrame(ctx, data, leading, func(ctx context.Context, f protocol.Frame) transport.Response {
		var a answer.Answer
		switch f.Kind {
		case protocol.FrameSubmit:
			a = c.submit(ctx, f.Body, false)
		case protocol.FramePoll:
			a = c.poll(ctx, f.Job, false)
		default:
			a = c.cancel(ctx, f.Job, false)
		}
		return c.gate().Check(a)
	})
}

// redirectTarget names the node that workers should report to, "" if it is not
// known. A leader that refuses this node's links may serve workers all the
// same; the record tells while it is renewed.
func (c *Controller) redirectTarget() string {
	leader := c.leaderName()
	if leader == c.deps.Settings.Node || !c.peers.Reachable(leader) && !(c.peers.RefusesConnections(leader) && c.elector.SeesRenewals()) {
		return ""
	}
	return leader
}

// heartbeat answers a worker. Without the right to command the answer names the
// leader, if it is known and is another node.
func (c *Controller) heartbeat(ctx context.Context, r transport.Request) transport.Response {
	if r.TooLarge {
		return answer.ErrorResponse(http.StatusBadRequest, "body over 64 KiB")
	}
	slot := c.heartbeatLimiter.acquire(ctx)
	if slot == nil {
		return answer.Unavailable("the node ends").Response
	}
	defer slot.release()
	report, err := c.heartbeatReader.Parse(r.Body)
	if err != nil {
		return answer.ErrorResponse(http.StatusBadRequest, err.Error())
	}
	c.lastHeartbeat.Store(int64(c.deps.Clock.Steady()))
	t := c.activeLeader()
	if t == nil {
		return transport.Response{
			Status: http.StatusMisdirectedRequest,
			Body:   protocol.Encode(protocol.LeaderRedirect{Leader: c.redirectTarget()}),
		}
	}
	response, ok := t.Heartbeat(ctx, report, slot)
	if !ok || !t.leadership.Valid() {
		return answer.Unavailable("no right to command, or an old report").Response
	}
	return transport.Response{Status: http.StatusOK, Body: protocol.Encode(response)}
}
