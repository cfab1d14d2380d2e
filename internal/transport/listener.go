package transport

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// acceptRetryDelay is the time between attempts to accept while the process has no free file
// descriptors.
const acceptRetryDelay = 100 * time.Millisecond

// acceptLoop serves each connection of listener in its own goroutine until ctx ends, which is not
// an error, or the listener is closed. It closes connections beyond maxConns immediately. Before it
// returns, it cancels the context of all open connections and waits for their goroutines.
func acceptLoop(ctx context.Context, listener net.Listener, maxConns int, log *slog.Logger, serve func(context.Context, net.Conn)) error {
	connCtx, cancel := context.WithCancel(ctx)
	var serving sync.WaitGroup
	defer serving.Wait()
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	limited := &limitListener{Listener: listener, maxOpen: int64(maxConns)}
	for {
		conn, err := limited.Accept()
		switch {
		case ctx.Err() != nil:
			if err == nil {
				_ = conn.Close()
			}
			return nil
		case errors.Is(err, net.ErrClosed):
			return err
		case err != nil:
			log.Error("accept failed", "address", listener.Addr().String(), "error", err)
			time.Sleep(acceptRetryDelay)
		default:
			serving.Go(func() { serve(connCtx, conn) })
		}
	}
}

// limitListener closes connections beyond maxOpen immediately instead of leaving them in the
// backlog, so that their clients can try another controller.
type limitListener struct {
	net.Listener
	maxOpen int64
	open    atomic.Int64
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) > l.maxOpen {
			l.open.Add(-1)
			_ = conn.Close()
			continue
		}
		return &limitedConn{Conn: conn, listener: l}, nil
	}
}

// limitedConn is a connection that counts towards the limit of its listener until it is closed.
type limitedConn struct {
	net.Conn
	listener *limitListener
	closed   atomic.Bool
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.listener.open.Add(-1)
	}
	return c.Conn.Close()
}

// closeWriter is a connection whose write side can be closed separately, such as *net.TCPConn.
type closeWriter interface{ CloseWrite() error }

// CloseWrite closes the write side of the connection if that can be done separately.
func (c *limitedConn) CloseWrite() error {
	if conn, ok := c.Conn.(closeWriter); ok {
		return conn.CloseWrite()
	}
	return nil
}
