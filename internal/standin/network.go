package standin

import (
	"bytes"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// Network connects the parts of a test in memory, so that a test may run on a
// clock of its own. Who may reach whom can be changed at any time.
type Network struct {
	mu          sync.Mutex
	listeners   map[string]*listener
	conns       map[*conn]bool
	partitioned map[[2]string]bool
	delay       func(from, to string) <-chan time.Time
}

// NewNetwork makes a network on which nobody listens.
func NewNetwork() *Network {
	return &Network{listeners: map[string]*listener{}, conns: map[*conn]bool{}, partitioned: map[[2]string]bool{}}
}

type listener struct {
	network *Network
	address memoryAddress
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

type memoryAddress string

func (a memoryAddress) Network() string { return "memory" }
func (a memoryAddress) String() string  { return string(a) }

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return l.address }

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[string(l.address)] == l {
			delete(l.network.listeners, string(l.address))
		}
	})
	return nil
}

// pipe is one side of a connection; closing it closes the other.
type conn struct {
	net.Conn
	network  *Network
	from, to string
	queue    *deliveryQueue // nil: nothing was ever held up
}

// Read implements net.Conn. What was sent may be held up on its way.
func (p *conn) Read(b []byte) (int, error) {
	if p.queue == nil {
		n, err := p.Conn.Read(b)
		if err != nil || !p.network.delayed() {
			return n, err
		}
		p.queue = &deliveryQueue{source: p, segments: make(chan segment, queueSegments)}
		p.queue.add(b[:n])
		go p.queue.run()
	}
	return p.queue.Read(b)
}

// transit takes what is sent on a connection at once, as a network does, so that the
// sender need not wait until it may be delivered.
type deliveryQueue struct {
	source   *conn
	segments chan segment
	unread   []byte // of the segment that is being read
	err      error
}

// segment is what was sent at a time, and what holds it up.
type segment struct {
	data    []byte
	release <-chan time.Time
	err     error
}

const (
	queueSegments = 4096
	queueBuffer   = 64 << 10
)

func (t *deliveryQueue) add(data []byte) {
	t.segments <- segment{data: bytes.Clone(data), release: t.source.network.segmentDelay(t.source)}
}

func (t *deliveryQueue) run() {
	buffer := make([]byte, queueBuffer)
	for {
		n, err := t.source.Conn.Read(buffer)
		if n > 0 {
			t.add(buffer[:n])
		}
		if err != nil {
			t.segments <- segment{err: err}
			return
		}
	}
}

// Read gives what may be delivered.
func (t *deliveryQueue) Read(b []byte) (int, error) {
	for len(t.unread) == 0 {
		if t.err != nil {
			return 0, t.err
		}
		next := <-t.segments
		if next.release != nil {
			<-next.release
		}
		t.unread, t.err = next.data, next.err
	}
	n := copy(b, t.unread)
	t.unread = t.unread[n:]
	return n, nil
}

// Close implements net.Conn.
func (p *conn) Close() error {
	p.network.mu.Lock()
	delete(p.network.conns, p)
	p.network.mu.Unlock()
	return p.Conn.Close()
}

// Listen listens at an address.
func (n *Network) Listen(addr string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{network: n, address: memoryAddress(addr), conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[addr] = l
	return l
}

var errDialTimeout = errors.New("no answer to the opening of a connection")

// Dialer gives what opens connections for one part of the test.
func (n *Network) Dialer(from string) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		n.mu.Lock()
		l, cut := n.listeners[addr], n.partitioned[[2]string{from, addr}]
		n.mu.Unlock()
		if l == nil && !cut {
			return nil, &net.OpError{
				Op:   "dial",
				Net:  "memory",
				Addr: memoryAddress(addr),
				Err:  syscall.ECONNREFUSED,
			}
		}
		timer := time.NewTimer(time.Second)
		defer timer.Stop()
		if !cut {
			near, far := net.Pipe()
			p := &conn{Conn: near, network: n, from: from, to: addr}
			select {
			case l.conns <- far:
				n.mu.Lock()
				defer n.mu.Unlock()
				n.conns[p] = true
				return p, nil
			case <-l.closed:
				return nil, &net.OpError{
					Op:   "dial",
					Net:  "memory",
					Addr: memoryAddress(addr),
					Err:  syscall.ECONNREFUSED,
				}
			case <-timer.C:
			case <-ctx.Done():
			}
			_ = near.Close()
			return nil, errDialTimeout
		}
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
		return nil, errDialTimeout
	}
}

// Cut separates one part from an address, or joins them again. Open connections
// are lost.
func (n *Network) Partition(from, to string, partitioned bool) {
	n.mu.Lock()
	n.partitioned[[2]string{from, to}] = partitioned
	var lost []*conn
	for p := range n.conns {
		if partitioned && p.from == from && p.to == to {
			lost = append(lost, p)
		}
	}
	n.mu.Unlock()
	for _, p := range lost {
		_ = p.Close()
	}
}

// Delay holds up what arrives at those who opened connections until the channel that
// delay gives for a connection lets go; nil: not at all.
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

// delayOf gives what holds up the next segment of a connection; nil: nothing.
func (n *Network) segmentDelay(c *conn) <-chan time.Time {
	n.mu.Lock()
	delay := n.delay
	n.mu.Unlock()
	if delay == nil {
		return nil
	}
	return delay(c.from, c.to)
}

// Close ends all connections and listeners.
func (n *Network) Close() {
	n.mu.Lock()
	var conns []*conn
	for p := range n.conns {
		conns = append(conns, p)
	}
	var listeners []*listener
	for _, l := range n.listeners {
		listeners = append(listeners, l)
	}
	n.mu.Unlock()
	for _, l := range listeners {
		_ = l.Close()
	}
	for _, p := range conns {
		_ = p.Close()
	}
}
