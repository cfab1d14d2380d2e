package transport

import (
	"bufio"
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Bounds of the links between controllers.
const (
	linkQueueFrames    = 64 // frames waiting to be written
	maxRequestsPerConn = 64 // requests of one peer served at a time
	frameWriteTimeout  = 3 * time.Second
	frameReadTimeout   = 20 * time.Second // pings come far more often
	minRedialDelay     = 100 * time.Millisecond
	maxRedialDelay     = time.Second
	maxMeshConnections = 16
)

// ErrLinkDown means that the peer cannot be reached now.
var ErrLinkDown = errors.New("link is down")

// Link is a connection to one other controller, redialled when it fails. It
// carries frames; pairing answers with requests is the caller's.
type Link struct {
	dial      DialFunc
	addr      string
	outgoing  chan []byte
	connected atomic.Bool
	refused   atomic.Bool
	onFrame   func(frame []byte)
	onLost    func()
	log       *slog.Logger
	random    *rand.Rand
}

// NewLink makes a link to addr. onFrame gets every frame; onLost is called when
// a connection is lost.
func NewLink(dial DialFunc, addr string, onFrame func([]byte), onLost func(), random *rand.Rand, log *slog.Logger) *Link {
	return &Link{
		dial:     dial.orDefault(),
		addr:     addr,
		outgoing: make(chan []byte, linkQueueFrames),
		onFrame:  onFrame,
		onLost:   onLost,
		random:   random,
		log:      log,
	}
}

// Send queues a frame; it never waits.
func (l *Link) Send(frame []byte) error {
	if !l.connected.Load() {
		return ErrLinkDown
	}
	select {
	case l.outgoing <- frame:
		return nil
	default:
		return ErrLinkDown
	}
}

// Up reports whether the link is connected, as far as this side knows.
func (l *Link) Up() bool { return l.connected.Load() }

// Refused reports whether the peer's machine answers but its process does not:
// the last try to connect was refused at once.
func (l *Link) Refused() bool { return l.refused.Load() }

// Run keeps the link connected until ctx ends.
func (l *Link) Run(ctx context.Context) {
	delay := minRedialDelay
	for ctx.Err() == nil {
		conn, err := l.dial(ctx, "tcp", l.addr)
		l.refused.Store(errors.Is(err, syscall.ECONNREFUSED))
		if err == nil {
			began := time.Now()
			l.serve(ctx, conn)
			if time.Since(began) > maxRedialDelay {
				delay = minRedialDelay
			}
		}
		jitter := time.Duration(l.random.Int64N(int64(delay)))
		select {
		case <-ctx.Done():
		case <-time.After(delay/2 + jitter):
		}
		delay = min(2*delay, maxRedialDelay)
	}
}

func (l *Link) serve(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	for len(l.outgoing) > 0 { // frames of the former connection
		<-l.outgoing
	}
	l.connected.Store(true)
	done := make(chan struct{})
	go func() {
		defer close(done)
		reader := bufio.NewReaderSize(conn, readBufferBytes)
		for {
			_ = conn.SetReadDeadline(time.Now().Add(frameReadTimeout))
			frame, err := ReadFrame(reader)
			if err != nil {
				return
			}
			l.onFrame(frame)
		}
	}()
	defer func() {
		l.connected.Store(false)
		_ = conn.Close()
		<-done
		l.onLost()
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case <-done:
			return
		case frame := <-l.outgoing:
			_ = conn.SetWriteDeadline(time.Now().Add(frameWriteTimeout))
			if err := WriteFrame(conn, frame); err != nil {
				return
			}
		}
	}
}

// ServeMesh answers the frames of other controllers until ctx ends. A handler
// that returns an error ends the connection its frame came on; one that returns
// nil leaves the frame unanswered.
func ServeMesh(ctx context.Context, listener net.Listener, log *slog.Logger, handle func(ctx context.Context, frame []byte) ([]byte, error)) error {
	return acceptLoop(ctx, listener, maxMeshConnections, log, func(conn net.Conn) {
		serveMeshConn(ctx, conn, log, handle)
	})
}

func serveMeshConn(ctx context.Context, conn net.Conn, log *slog.Logger, handle func(context.Context, []byte) ([]byte, error)) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	var writing sync.Mutex
	slots := make(chan struct{}, maxRequestsPerConn)
	reader := bufio.NewReaderSize(conn, readBufferBytes)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(frameReadTimeout))
		frame, err := ReadFrame(reader)
		if err != nil {
			log.Debug("mesh connection ended", "peer", conn.RemoteAddr().String(), "error", err)
			return
		}
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		go func() {
			defer func() { <-slots }()
			response, err := handle(ctx, frame)
			if err != nil {
				log.Info("mesh connection dropped", "peer", conn.RemoteAddr().String(), "error", err)
				cancel()
				return
			}
			if response == nil {
				return
			}
			writing.Lock()
			defer writing.Unlock()
			_ = conn.SetWriteDeadline(time.Now().Add(frameWriteTimeout))
			if WriteFrame(conn, response) != nil {
				cancel()
			}
		}()
	}
}
