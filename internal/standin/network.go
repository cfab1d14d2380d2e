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
	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[*pipe]bool
	cut       map[[2]string]bool
	delay     func(from, to string) <-chan time.Time
}

// NewNetwork makes a network on which nobody listens.
func NewNetwork() *Network {
	return &Network{listeners: map[string]*listener{}, conns: map[*pipe]bool{}, cut: map[[2]string]bool{}}
}

type listener struct {
	net    *Network
	addr   address
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

type address string

func (a address) Network() string { return "memory" }
func (a address) String() string  { return string(a) }

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
func (l *listener) Addr() net.Addr { return l.addr }

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.net.mu.Lock()
		defer l.net.mu.Unlock()
		if l.net.listeners[string(l.addr)] == l {
			delete(l.net.listeners, string(l.addr))
		}
	})
	return nil
}

// pipe is one side of a connection; closing it closes the other.
type pipe struct {
	net.Conn
	net      *Network
	from, to string
	transit  *transit // nil: nothing was ever held up
}

// Read implements net.Conn. What was sent may be held up on its way.
func (p *pipe) Read(b []byte) (int, error) {
	if p.transit == nil {
		n, err := p.Conn.Read(b)
		if err != nil || !p.net.delays() {
			return n, err
		}
		p.transit = &transit{from: p, arrived: make(chan segment, transitSegments)}
		p.transit.add(b[:n])
		go p.transit.run()
	}
	return p.transit.Read(b)
}

// transit takes what is sent on a connection at once, as a network does, so that the
// sender need not wait until it may be delivered.
type transit struct {
	from    *pipe
	arrived chan segment
	rest    []byte // of the segment that is being read
	err     error
}

// segment is what was sent at a time, and what holds it up.
type segment struct {
	data []byte
	held <-chan time.Time
	err  error
}

const (
	transitSegments = 4096
	transitBuffer   = 64 << 10
)

func (t *transit) add(data []byte) {
	t.arrived <- segment{data: bytes.Clone(data), held: t.from.net.delayOf(t.from)}
}

func (t *transit) run() {
	buffer := make([]byte, transitBuffer)
	for {
		n, err := t.from.Conn.Read(buffer)
		if n > 0 {
			t.add(buffer[:n])
		}
		if err != nil {
			t.arrived <- segment{err: err}
			return
		}
	}
}

// Read gives what may be delivered.
func (t *transit) Read(b []byte) (int, error) {
	for len(t.rest) == 0 {
		if t.err != nil {
			return 0, t.err
		}
		next := <-t.arrived
		if next.held != nil {
			<-next.held
		}
		t.rest, t.err = next.data, next.err
	}
	n := copy(b, t.rest)
	t.rest = t.rest[n:]
	return n, nil
}

// Close implements net.Conn.
func (p *pipe) Close() error {
	p.net.mu.Lock()
	delete(p.net.conns, p)
	p.net.mu.Unlock()
	return p.Conn.Close()
}

// Listen listens at an address.
func (n *Network) Listen(addr string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{net: n, addr: address(addr), conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[addr] = l
	return l
}

var errTimeout = errors.New("no answer to the opening of a connection")

// Dialer gives what opens connections for one part of the test.
func (n *Network) Dialer(from string) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		n.mu.Lock()
		l, cut := n.listeners[addr], n.cut[[2]string{from, addr}]
		n.mu.Unlock()
		if l == nil && !cut {
			return nil, &net.OpError{
				Op:   "dial",
				Net:  "memory",
				Addr: address(addr),
				Err:  syscall.ECONNREFUSED,
			}
		}
		timer := time.NewTimer(time.Second)
		defer timer.Stop()
		if !cut {
			near, far := net.Pipe()
			p := &pipe{Conn: near, net: n, from: from, to: addr}
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
					Addr: address(addr),
					Err:  syscall.ECONNREFUSED,
				}
			case <-timer.C:
			case <-ctx.Done():
			}
			_ = near.Close()
			return nil, errTimeout
		}
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
		return nil, errTimeout
	}
}

// Cut separates one part from an address, or joins them again. Open connections
// are lost.
func (n *Network) Cut(from, to string, cut bool) {
	n.mu.Lock()
	n.cut[[2]string{from, to}] = cut
	var lost []*pipe
	for p := range n.conns {
		if cut && p.from == from && p.to == to {
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
func (n *Network) Delay(delay func(from, to string) <-chan time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = delay
}

func (n *Network) delays() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.delay != nil
}

// delayOf gives what holds up the next segment of a connection; nil: nothing.
func (n *Network) delayOf(p *pipe) <-chan time.Time {
	n.mu.Lock()
	delay := n.delay
	n.mu.Unlock()
	if delay == nil {
		return nil
	}
	return delay(p.from, p.to)
}

// Close ends all connections and listeners.
func (n *Network) Close() {
	n.mu.Lock()
	var conns []*pipe
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
