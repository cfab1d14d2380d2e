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
	linkQueue    = 64 // frames waiting to be written
	linkWorkers  = 64 // requests of one peer served at a time
	linkWrite    = 3 * time.Second
	linkIdle     = 20 * time.Second // pings come far more often
	redialFirst  = 100 * time.Millisecond
	redialMost   = time.Second
	maxMeshConns = 16
)

// ErrLinkDown tells that the peer cannot be reached now.
var ErrLinkDown = errors.New("link is down")

// Link is a connection to one other controller, redialled when it fails. It
// carries frames; pairing answers with requests is the caller's.
type Link struct {
	dial    DialFunc
	addr    string
	out     chan []byte
	up      atomic.Bool
	refused atomic.Bool
	receive func(frame []byte)
	down    func()
	log     *slog.Logger
	random  *rand.Rand
}

// NewLink makes a link to addr. receive gets every frame; down is called when
// the connection is lost.
func NewLink(dial DialFunc, addr string, receive func([]byte), down func(), random *rand.Rand, log *slog.Logger) *Link {
	return &Link{
		dial:    dial.or(),
		addr:    addr,
		out:     make(chan []byte, linkQueue),
		receive: receive,
		down:    down,
		random:  random,
		log:     log,
	}
}

// Send queues a frame; it never waits.
func (l *Link) Send(frame []byte) error {
	if !l.up.Load() {
		return ErrLinkDown
	}
	select {
	case l.out <- frame:
		return nil
	default:
		return ErrLinkDown
	}
}

// Up tells whether the link is connected, as far as this side knows.
func (l *Link) Up() bool { return l.up.Load() }

// Refused tells whether the peer's machine answers but its process does not:
// the last try to connect was refused at once.
func (l *Link) Refused() bool { return l.refused.Load() }

// Run keeps the link connected until ctx ends.
func (l *Link) Run(ctx context.Context) {
	wait := redialFirst
	for ctx.Err() == nil {
		c, err := l.dial(ctx, "tcp", l.addr)
		l.refused.Store(errors.Is(err, syscall.ECONNREFUSED))
		if err == nil {
			began := time.Now()
			l.serve(ctx, c)
			if time.Since(began) > redialMost {
				wait = redialFirst
			}
		}
		jitter := time.Duration(l.random.Int64N(int64(wait)))
		select {
		case <-ctx.Done():
		case <-time.After(wait/2 + jitter):
		}
		wait = min(2*wait, redialMost)
	}
}

func (l *Link) serve(ctx context.Context, c net.Conn) {
	defer c.Close()
	for len(l.out) > 0 { // frames of the former connection
		<-l.out
	}
	l.up.Store(true)
	done := make(chan struct{})
	go func() {
		defer close(done)
		r := bufio.NewReaderSize(c, 4<<10)
		for {
			_ = c.SetReadDeadline(time.Now().Add(linkIdle))
			frame, err := ReadFrame(r)
			if err != nil {
				return
			}
			l.receive(frame)
		}
	}()
	defer func() {
		l.up.Store(false)
		_ = c.Close()
		<-done
		l.down()
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case <-done:
			return
		case frame := <-l.out:
			_ = c.SetWriteDeadline(time.Now().Add(linkWrite))
			if err := WriteFrame(c, frame); err != nil {
				return
			}
		}
	}
}

// ServeMesh answers the frames of other controllers until ctx ends. A handler
// that reports an error ends the connection its frame came on; one that gives
// nothing leaves the frame unanswered.
func ServeMesh(ctx context.Context, l net.Listener, log *slog.Logger, handle func(ctx context.Context, frame []byte) ([]byte, error)) error {
	return acceptLoop(ctx, l, maxMeshConns, log, func(conn net.Conn) {
		serveMeshConn(ctx, conn, log, handle)
	})
}

func serveMeshConn(ctx context.Context, c net.Conn, log *slog.Logger, handle func(context.Context, []byte) ([]byte, error)) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer c.Close()
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	var write sync.Mutex
	slots := make(chan struct{}, linkWorkers)
	r := bufio.NewReaderSize(c, 4<<10)
	for {
		_ = c.SetReadDeadline(time.Now().Add(linkIdle))
		frame, err := ReadFrame(r)
		if err != nil {
			log.Debug("mesh connection ended", "peer", c.RemoteAddr().String(), "error", err)
			return
		}
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		go func() {
			defer func() { <-slots }()
			answer, err := handle(ctx, frame)
			if err != nil {
				log.Info("mesh connection dropped", "peer", c.RemoteAddr().String(), "error", err)
				cancel()
				return
			}
			if answer == nil {
				return
			}
			write.Lock()
			defer write.Unlock()
			_ = c.SetWriteDeadline(time.Now().Add(linkWrite))
			if WriteFrame(c, answer) != nil {
				cancel()
			}
		}()
	}
}
