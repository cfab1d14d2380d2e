package transport

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync/atomic"
	"time"
)

// acceptRetry spaces attempts to accept while the process is out of sockets.
const acceptRetry = 100 * time.Millisecond

// acceptLoop serves each connection of l in a goroutine of its own until ctx ends or
// the listener fails for good. It closes connections beyond the bound at once.
func acceptLoop(ctx context.Context, l net.Listener, bound int, log *slog.Logger, serve func(net.Conn)) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	bounded := &boundedListener{Listener: l, most: int64(bound)}
	for {
		conn, err := bounded.Accept()
		switch {
		case ctx.Err() != nil:
			if err == nil {
				_ = conn.Close()
			}
			return nil
		case errors.Is(err, net.ErrClosed):
			return err
		case err != nil:
			log.Error("connection not accepted", "address", l.Addr().String(), "error", err)
			time.Sleep(acceptRetry)
		default:
			go serve(conn)
		}
	}
}

// boundedListener closes connections beyond its bound at once: a client that
// waits in a backlog learns nothing, one that is refused tries another node.
type boundedListener struct {
	net.Listener
	most, open int64
}

func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if atomic.AddInt64(&l.open, 1) > l.most {
			atomic.AddInt64(&l.open, -1)
			_ = c.Close()
			continue
		}
		return &boundedConn{Conn: c, l: l}, nil
	}
}

type boundedConn struct {
	net.Conn
	l      *boundedListener
	closed atomic.Bool
}

func (c *boundedConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		atomic.AddInt64(&c.l.open, -1)
	}
	return c.Conn.Close()
}

// CloseWrite tells the other side that nothing more comes.
func (c *boundedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
