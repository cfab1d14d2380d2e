package coordination

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"dunestand/internal/protocol"
	"dunestand/internal/transport"
	"dunestand/internal/units"
)

// Controller is one controller node: it serves users, workers and the other
// controllers, and leads while it holds the fleet lease.
type Controller struct {
	deps       Deps
	peers      *Peers
	server     *transport.Server
	term       atomic.Pointer[Term]
	lastWorker atomic.Int64 // steady time of the last worker's report
	lastUseful atomic.Int64 // steady time when it last led or reached the leader
	arrivals   arrivals
	reader     *protocol.HeartbeatReader
	reports    *reportLimiter
	bypassed   atomic.Int64 // steady time since when another node leads that refuses this one's links; 0: none does
}

// usersPause is longer than users wait between two questions, and workers
// report more often than that: a connection that is in use is not closed.
const usersPause = 10 * units.Second

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
		func() { c.deps.Format.Run(ctx, func() bool { return c.leading() != nil }) },
		func() { c.deps.Lease.Run(ctx, c.lead) },
		func() { c.deps.Admitter.follow(ctx) },
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

func (c *Controller) lead(ctx context.Context, number uint64) {
	c.deps.Store.SetLeader(true)
	defer c.deps.Store.SetLeader(false)
	t := NewTerm(number, c.deps)
	c.term.Store(t)
	t.Run(ctx)
	c.term.CompareAndSwap(t, nil)
}

// recordAge is for how long the fleet record, once read, tells who leads.
const recordAge = 2 * units.Second

// leader names the node that leads as far as this one knows: the one that the
// record names, or, when this node has lost the state service and would not
// learn of a change from there, the one that says so itself.
func (c *Controller) leader() string {
	if c.deps.Lease.Unanswered() > recordAge {
		if node := c.peers.Leading(); node != "" {
			return node
		}
	}
	return c.deps.Lease.Leader()
}

// leading gives the term if this node leads it now.
func (c *Controller) leading() *Term {
	if t := c.term.Load(); t != nil && c.deps.Lease.Valid(t.number) {
		return t
	}
	return nil
}

func (c *Controller) routes() {
	s := c.server
	s.Handle(http.MethodPost, protocol.PathSubmit, func(ctx context.Context, r transport.Request) transport.Response {
		if r.TooLarge {
			return Refuse(http.StatusBadRequest, "body over 64 KiB")
		}
		return c.gate().release(c.submit(ctx, r.Body, true))
	})
	s.Handle(http.MethodGet, protocol.PathPoll, func(ctx context.Context, r transport.Request) transport.Response {
		return c.gate().release(c.poll(ctx, r.ID, true))
	})
	s.Handle(http.MethodPost, protocol.PathCancel, func(ctx context.Context, r transport.Request) transport.Response {
		return c.gate().release(c.cancel(ctx, r.ID, true))
	})
	s.Handle(http.MethodGet, protocol.PathHealth, func(context.Context, transport.Request) transport.Response {
		return c.health()
	})
	s.Handle(http.MethodPost, protocol.PathHeartbeat, c.report)
	s.Handle(http.MethodGet, "/metrics", func(context.Context, transport.Request) transport.Response {
		return transport.Response{
			Status:      http.StatusOK,
			ContentType: "text/plain; version=0.0.4",
			Body:        c.deps.Metrics.Text(c.leading()),
		}
	})
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
	now, lease, leader := c.deps.Clock.Steady(), c.deps.Lease, c.leader()
	if t := c.leading(); t != nil && t.Ready() || c.peers.Reaches(leader) {
		c.lastUseful.Store(int64(now))
	}
	if !c.peers.Reaches(leader) && c.peers.Refused(leader) && lease.Renewed() {
		c.bypassed.CompareAndSwap(0, int64(now))
	} else {
		c.bypassed.Store(0)
	}
	switch since := units.Micros(c.bypassed.Load()); {
	case since != 0 && now-since >= bypassPatience:
		return unavailable("the leader refuses this node's links").Response
	case len(c.deps.Settings.Others) > 0 && !c.peers.ReachesAny() && lease.Unanswered() > lease.timing.Length:
		return unavailable("cut off from the state service and the other controllers").Response
	case now-units.Micros(c.lastUseful.Load()) <= 2*lease.timing.Length+restartTime:
		return transport.Response{Status: http.StatusOK}
	}
	return unavailable("no leader in reach").Response
}

// Ready tells whether the records are restored.
func (t *Term) Ready() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ready
}

// gate is what every answer about a job passes on its way out.
func (c *Controller) gate() answerGate {
	return answerGate{clock: c.deps.Clock, revisions: c.deps.Store.Revisions}
}

func (c *Controller) records() recordReader {
	return recordReader{store: c.deps.Store, clock: c.deps.Clock, workers: c.deps.Settings.Fleet.Workers}
}

func (c *Controller) submit(ctx context.Context, body []byte, forward bool) answer {
	spec, err := protocol.ParseSubmission(body)
	if err != nil {
		// A job that is known stays known, whatever else a repeat says.
		if id, ok := protocol.SubmissionID(body); ok {
			known := c.poll(ctx, id, forward)
			if known.Status != http.StatusNotFound {
				return known
			}
			return answer{Response: Refuse(http.StatusBadRequest, err.Error()), proof: known.proof}
		}
		return plainAnswer(Refuse(http.StatusBadRequest, err.Error()))
	}
	var r answer
	if t := c.leading(); t == nil {
		r = c.forward(ctx, forward, protocol.FrameSubmit, "", body)
	} else if r = t.Submit(ctx, spec); t.Ready() {
		return r
	}
	if forward && r.Status == http.StatusServiceUnavailable {
		return c.acceptAlone(ctx, spec, r)
	}
	c.arrivals.alone.Store(0)
	return r
}

func (c *Controller) poll(ctx context.Context, id string, forward bool) answer {
	if !protocol.ValidJobID(id) {
		return plainAnswer(Refuse(http.StatusNotFound, "no such job"))
	}
	if t := c.leading(); t != nil {
		return t.Poll(ctx, id)
	}
	r := c.forward(ctx, forward, protocol.FramePoll, id, nil)
	if forward && r.Status == http.StatusServiceUnavailable && !c.peers.Reaches(c.leader()) &&
		c.deps.Lease.Unanswered() < c.deps.Lease.timing.Length {
		return c.records().poll(ctx, id)
	}
	return r
}

func (c *Controller) cancel(ctx context.Context, id string, forward bool) answer {
	if !protocol.ValidJobID(id) {
		return plainAnswer(Refuse(http.StatusNotFound, "no such job"))
	}
	if t := c.leading(); t != nil {
		until := c.deps.Clock.Steady() + acceptWait
		a := t.Cancel(ctx, id)
		c.gate().await(ctx, a, until)
		return a
	}
	return c.forward(ctx, forward, protocol.FrameCancel, id, nil)
}

// forward passes a request on to the leader, once: a request that came from
// another controller is not passed on again. A leader that has not answered for
// a while is not waited for.
func (c *Controller) forward(ctx context.Context, allowed bool, kind protocol.FrameKind, id string, body []byte) answer {
	if leader := c.leader(); allowed && leader != c.deps.Settings.Node && c.peers.Reaches(leader) {
		sent := c.deps.Clock.Steady()
		r, err := c.peers.Forward(ctx, leader, kind, id, body)
		if err == nil {
			c.deps.Log.Debug("request passed on", "leader", leader, "kind", kind.String(), "status", r.Status,
				"took_us", int64(c.deps.Clock.Steady()-sent))
			return relayedAnswer(r, sent)
		}
		c.deps.Log.Debug("request not passed on", "leader", leader, "job", id, "error", err)
	}
	return unavailable("no leader in reach")
}

func (c *Controller) answerPeer(ctx context.Context, data []byte) ([]byte, error) {
	leading := ""
	if c.leading() != nil {
		leading = c.deps.Settings.Node
	}
	return answerFrame(ctx, data, leading, func(ctx context.Context, f protocol.Frame) transport.Response {
		var a answer
		switch f.Kind {
		case protocol.FrameSubmit:
			a = c.submit(ctx, f.Body, false)
		case protocol.FramePoll:
			a = c.poll(ctx, f.Job, false)
		default:
			a = c.cancel(ctx, f.Job, false)
		}
		return c.gate().release(a)
	})
}

// whoLeads names the node that workers should report to, "" if it is not
// known. A leader that refuses this node's links may serve workers all the
// same; the record tells while it is renewed.
func (c *Controller) whoLeads() string {
	leader := c.leader()
	if leader == c.deps.Settings.Node || !c.peers.Reaches(leader) && !(c.peers.Refused(leader) && c.deps.Lease.Renewed()) {
		return ""
	}
	return leader
}

// report answers a worker. Without the right to command the answer names the
// leader, if it is known and is another node.
func (c *Controller) report(ctx context.Context, r transport.Request) transport.Response {
	if r.TooLarge {
		return Refuse(http.StatusBadRequest, "body over 64 KiB")
	}
	slot := c.reports.acquire(ctx)
	if slot == nil {
		return unavailable("the node ends").Response
	}
	defer slot.release()
	report, err := c.reader.Parse(r.Body)
	if err != nil {
		return Refuse(http.StatusBadRequest, err.Error())
	}
	c.lastWorker.Store(int64(c.deps.Clock.Steady()))
	t := c.leading()
	if t == nil {
		return transport.Response{
			Status: http.StatusMisdirectedRequest,
			Body:   protocol.Encode(protocol.LeaderRedirect{Leader: c.whoLeads()}),
		}
	}
	answer, ok := t.Report(ctx, report, slot)
	if !ok || !c.deps.Lease.Valid(t.number) {
		return unavailable("no right to command, or an old report").Response
	}
	return transport.Response{Status: http.StatusOK, Body: protocol.Encode(answer)}
}
