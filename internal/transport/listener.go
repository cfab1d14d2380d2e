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

// acceptRetry spaces attempts to accept while the process is out of sockets.
const acceptRetryDelay = 100 * time.Millisecond

// acceptLoop serves each connection of listener in a goroutine of its own until ctx ends or
// the listener fails for good. It closes connections beyond maxConns at once. Before it
// returns it ends the context of those that are still served and waits for them.
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

// limitListener closes connections beyond maxOpen at once: a client that
// waits in a backlog learns nothing, one that is refused tries another controller.
type limitListener struct {
	net.Listener
	maxOpen int64
	open    atomic.Int64
}

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

// limitedConn frees its place in the listener's limit when it is first closed.
type limitedConn struct {
	net.Conn
	listener *limitListener
	closed   atomic.Bool
}

func (c *limitedConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.listener.open.Add(-1)
	}
	return c.Conn.Close()
}

// closeWriter is a connection that can end its outgoing half alone, as *net.TCPConn can.
type closeWriter interface{ CloseWrite() error }

// CloseWrite ends the outgoing half of the connection, if it can be ended alone.
func (c *limitedConn) CloseWrite() error {
	if conn, ok := c.Conn.(closeWriter); ok {
		return conn.CloseWrite()
	}
	return nil
}
