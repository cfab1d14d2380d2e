package transport

import (
	"bufio"
	"context"
	"log/slog"
	"net"
	"sync"
	"time"
)

// Limits of the connections that other controllers open to this one.
const (
	maxMeshConnections = 16
	maxRequestsPerConn = 64 // requests of one connection that are served concurrently
)

// FrameHandler returns the response to a frame, or nil for no response. An error closes the
// connection of the frame. A FrameHandler must be safe for concurrent use.
type FrameHandler func(ctx context.Context, frame []byte) ([]byte, error)

// ServeMesh responds to frames of other controllers until ctx ends, which is not an error, or the
// listener is closed. Before it returns, it closes its connections and waits for running handlers.
func ServeMesh(ctx context.Context, listener net.Listener, log *slog.Logger, handle FrameHandler) error {
	return acceptLoop(ctx, listener, maxMeshConnections, log, func(ctx context.Context, conn net.Conn) {
		peer := &meshConnection{conn: conn, handle: handle, log: log}
		peer.serve(ctx)
	})
}

// meshConnection serves the frames of one other controller concurrently.
type meshConnection struct {
	conn    net.Conn
	handle  FrameHandler
	log     *slog.Logger
	writing sync.Mutex // held while a response is written to conn
}

// serve responds to frames until the connection fails, a handler returns an error or ctx ends.
func (m *meshConnection) serve(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer m.conn.Close()
	defer context.AfterFunc(ctx, func() { _ = m.conn.Close() })()
	var handlers sync.WaitGroup
	defer handlers.Wait()
	defer cancel()
	slots := make(chan struct{}, maxRequestsPerConn)
	reader := bufio.NewReaderSize(m.conn, readBufferBytes)
	for {
		_ = m.conn.SetReadDeadline(time.Now().Add(frameReadTimeout))
		frame, err := ReadFrame(reader)
		if err != nil {
			m.log.Debug("mesh connection ended", "peer", m.conn.RemoteAddr().String(), "error", err)
			return
		}
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		handlers.Go(func() {
			defer func() { <-slots }()
			if err := m.respond(ctx, frame); err != nil {
				cancel()
			}
		})
	}
}

// respond handles one frame and writes the response, if there is one.
func (m *meshConnection) respond(ctx context.Context, frame []byte) error {
	response, err := m.handle(ctx, frame)
	if err != nil {
		m.log.Info("mesh connection closed: frame handler failed", "peer", m.conn.RemoteAddr().String(), "error", err)
		return err
	}
	if response == nil {
		return nil
	}
	m.writing.Lock()
	defer m.writing.Unlock()
	return writeFrameInTime(m.conn, response)
}
