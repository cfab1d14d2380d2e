package fake

import (
	"bytes"
	"net"
	"sync"
	"time"
)

// memoryNetwork is the network name of a Network's addresses and errors.
const memoryNetwork = "memory"

// memoryAddress is an address on a Network.
type memoryAddress string

func (a memoryAddress) Network() string { return memoryNetwork }
func (a memoryAddress) String() string  { return string(a) }

type listener struct {
	network *Network
	address memoryAddress
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

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

// conn is the dialing side of a connection. Closing it ends the connection for both sides.
type conn struct {
	net.Conn
	network *Network
	route   route
	queue   *deliveryQueue // nil until a segment is delayed; used by the reader only
}

// Read implements net.Conn. The network's delay, if set, applies to the data. Read must not be
// called concurrently.
func (c *conn) Read(b []byte) (int, error) {
	if c.queue == nil {
		n, err := c.Conn.Read(b)
		if err != nil || !c.network.delayed() {
			return n, err
		}
		c.queue = &deliveryQueue{source: c, segments: make(chan segment, queueSegments)}
		c.queue.add(b[:n])
		go c.queue.run() // ends when the connection is closed
	}
	return c.queue.Read(b)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}

// deliveryQueue buffers the data sent on a connection, as a real network does, so that the
// sender does not block until the data is delivered.
type deliveryQueue struct {
	source   *conn
	segments chan segment
	unread   []byte // rest of the segment that is being read
	err      error  // returned by Read once unread is empty
}

// segment is the data of one read from the connection, or the error that ended it.
type segment struct {
	data    []byte
	release <-chan time.Time // ready when the data may be delivered; nil: at once
	err     error            // of the read that ended the connection
}

const (
	queueSegments = 4096
	queueBuffer   = 64 << 10 // bytes
)

func (q *deliveryQueue) add(data []byte) {
	q.segments <- segment{data: bytes.Clone(data), release: q.source.network.segmentDelay(q.source)}
}

// run reads the connection and queues its data until the connection is closed.
func (q *deliveryQueue) run() {
	buffer := make([]byte, queueBuffer)
	for {
		n, err := q.source.Conn.Read(buffer)
		if n > 0 {
			q.add(buffer[:n])
		}
		if err != nil {
			q.segments <- segment{err: err}
			return
		}
	}
}

// Read delivers segments in the order in which they were sent, each once it is released.
func (q *deliveryQueue) Read(b []byte) (int, error) {
	for len(q.unread) == 0 {
		if q.err != nil {
			return 0, q.err
		}
		next := <-q.segments
		if next.release != nil {
			<-next.release
		}
		q.unread, q.err = next.data, next.err
	}
	n := copy(b, q.unread)
	q.unread = q.unread[n:]
	return n, nil
}
