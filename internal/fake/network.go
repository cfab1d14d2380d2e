package fake

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// Network is an in-memory network between the endpoints of a test, for tests that run on a
// simulated clock. Partitions and delays may be changed at any time.
type Network struct {
	mu          sync.Mutex // guards the fields below
	listeners   map[string]*listener
	conns       map[*conn]bool // open connections
	partitioned map[route]bool
	delay       func(from, to string) <-chan time.Time // nil: no delay
}

// route is the path from the endpoint that opens a connection to the address that it dials.
type route struct{ from, to string }

// NewNetwork returns a network without listeners.
func NewNetwork() *Network {
	return &Network{listeners: map[string]*listener{}, conns: map[*conn]bool{}, partitioned: map[route]bool{}}
}

// Listen returns a listener at an address. It replaces an earlier listener at that address,
// which then gets no further connections.
func (n *Network) Listen(addr string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{
		network: n,
		address: memoryAddress(addr),
		conns:   make(chan net.Conn),
		closed:  make(chan struct{}),
	}
	n.listeners[addr] = l
	return l
}

// dialTimeout is how long a dial waits for the listener to accept.
const dialTimeout = time.Second

var errDialTimeout = errors.New("memory network: connection timed out")

// Dialer returns a dial function for the endpoint named from. The function fails with
// syscall.ECONNREFUSED if there is no listener at the address, and after dialTimeout or at the
// end of its context if the address is partitioned or the listener does not accept.
func (n *Network) Dialer(from string) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		path := route{from, addr}
		n.mu.Lock()
		l, partitioned := n.listeners[addr], n.partitioned[path]
		n.mu.Unlock()
		if l == nil && !partitioned {
			return nil, connectionRefused(addr)
		}
		timer := time.NewTimer(dialTimeout)
		defer timer.Stop()
		if partitioned {
			select {
			case <-timer.C:
			case <-ctx.Done():
			}
			return nil, errDialTimeout
		}
		local, remote := net.Pipe()
		select {
		case l.conns <- remote:
			return n.register(local, path), nil
		case <-l.closed:
			return nil, connectionRefused(addr)
		case <-timer.C:
		case <-ctx.Done():
		}
		_ = local.Close()
		return nil, errDialTimeout
	}
}

func connectionRefused(addr string) error {
	return &net.OpError{Op: "dial", Net: memoryNetwork, Addr: memoryAddress(addr), Err: syscall.ECONNREFUSED}
}

// register records the dialing side of a new connection, so that Partition and Close can close
// it.
func (n *Network) register(local net.Conn, path route) *conn {
	c := &conn{Conn: local, network: n, route: path}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[c] = true
	return c
}

// Partition sets whether dials from an endpoint to an address fail. A partition also closes the
// connections that the endpoint has open to the address. The opposite direction is unaffected.
func (n *Network) Partition(from, to string, partitioned bool) {
	path := route{from, to}
	n.mu.Lock()
	n.partitioned[path] = partitioned
	var lost []*conn
	for c := range n.conns {
		if partitioned && c.route == path {
			lost = append(lost, c)
		}
	}
	n.mu.Unlock()
	for _, c := range lost {
		_ = c.Close()
	}
}

// SetDelay delays the data that arrives at the dialing side of each connection. delay is called
// for each segment that arrives, with the route of its connection, and the segment is delivered
// once the returned channel is ready. nil: no delay.
func (n *Network) SetDelay(delay func(from, to string) <-chan time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = delay
}

func (n *Network) delayed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.delay != nil
}

// segmentDelay returns the channel that releases the next segment of a connection; nil: no
// delay.
func (n *Network) segmentDelay(c *conn) <-chan time.Time {
	n.mu.Lock()
	delay := n.delay
	n.mu.Unlock()
	if delay == nil {
		return nil
	}
	return delay(c.route.from, c.route.to)
}

// Close closes all connections and listeners.
func (n *Network) Close() {
	n.mu.Lock()
	var conns []*conn
	for c := range n.conns {
		conns = append(conns, c)
	}
	var listeners []*listener
	for _, l := range n.listeners {
		listeners = append(listeners, l)
	}
	n.mu.Unlock()
	for _, l := range listeners {
		_ = l.Close()
	}
	for _, c := range conns {
		_ = c.Close()
	}
}
