package standin

import (
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
