package fake

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// Network connects the parts of a test in memory, so that a test may run on a simulated
// clock. Who can reach whom may be changed at any time.
type Network struct {
	mu          sync.Mutex // guards all below
	listeners   map[string]*listener
	conns       map[*conn]bool
	partitioned map[route]bool
	delay       func(from, to string) <-chan time.Time // nil: nothing is delayed
}

// route is the one-way path from a part of the test to an address.
type route struct{ from, to string }

// NewNetwork returns a network without listeners.
func NewNetwork() *Network {
	return &Network{listeners: map[string]*listener{}, conns: map[*conn]bool{}, partitioned: map[route]bool{}}
}

// Listen returns a listener at an address, which replaces any other one there.
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

// dialTimeout is how long the opening of a connection waits for the other side.
const dialTimeout = time.Second

var errDialTimeout = errors.New("memory network: connection timed out")

// Dialer returns a function that opens connections from one part of the test. It fails with
// syscall.ECONNREFUSED where nobody listens, and after a second where a partition is.
func (n *Network) Dialer(from string) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		way := route{from, addr}
		n.mu.Lock()
		l, partitioned := n.listeners[addr], n.partitioned[way]
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
		near, far := net.Pipe()
		select {
		case l.conns <- far:
			return n.register(near, way), nil
		case <-l.closed:
			return nil, connectionRefused(addr)
		case <-timer.C:
		case <-ctx.Done():
		}
		_ = near.Close()
		return nil, errDialTimeout
	}
}

func connectionRefused(addr string) error {
	return &net.OpError{Op: "dial", Net: memoryNetwork, Addr: memoryAddress(addr), Err: syscall.ECONNREFUSED}
}

// register notes the near side of a new connection, which a partition will close.
func (n *Network) register(near net.Conn, way route) *conn {
	c := &conn{Conn: near, network: n, route: way}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[c] = true
	return c
}

// Partition separates one part from an address, one way, or joins them again. Connections
// that it had opened there are lost.
func (n *Network) Partition(from, to string, partitioned bool) {
	way := route{from, to}
	n.mu.Lock()
	n.partitioned[way] = partitioned
	var lost []*conn
	for c := range n.conns {
		if partitioned && c.route == way {
			lost = append(lost, c)
		}
	}
	n.mu.Unlock()
	for _, c := range lost {
		_ = c.Close()
	}
}

// SetDelay delays all that arrives at those who opened connections. delay is called for
// each segment that arrives, with the route of its connection, and the segment is delivered
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

// segmentDelay returns what releases the next segment of a connection; nil: no delay.
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
