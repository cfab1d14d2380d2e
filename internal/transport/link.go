package transport

import (
	"bufio"
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// Limits of the links between controllers.
const (
	linkQueueFrames   = 64 // frames that wait to be written
	frameWriteTimeout = 3 * time.Second
	frameReadTimeout  = 20 * time.Second // peers send pings far more often
	minRedialDelay    = 100 * time.Millisecond
	maxRedialDelay    = time.Second
)

// ErrLinkDown reports that a frame cannot be sent: the link is not connected or its queue is full.
var ErrLinkDown = errors.New("link is down")

// Link is a connection to one other controller that is re-established when it fails. It sends and
// receives frames; the caller matches responses to requests.
//
// Run must be called only once. The other methods are safe for concurrent use.
type Link struct {
	dial         DialFunc
	addr         string
	outgoing     chan []byte
	connected    atomic.Bool
	refused      atomic.Bool
	onFrame      func(frame []byte)
	onDisconnect func()
	log          *slog.Logger
	random       *rand.Rand
}

// NewLink returns a link to addr (IP:port), which connects once Run is called. A nil dial means
// net.Dialer. onFrame is called sequentially for every received frame. onDisconnect is called when a
// connection is lost, after the last call of onFrame for that connection. The link takes ownership
// of random, which spreads the attempts to reconnect.
func NewLink(dial DialFunc, addr string, onFrame func([]byte), onDisconnect func(), random *rand.Rand, log *slog.Logger) *Link {
	return &Link{
		dial:         dial.orDefault(),
		addr:         addr,
		outgoing:     make(chan []byte, linkQueueFrames),
		onFrame:      onFrame,
		onDisconnect: onDisconnect,
		random:       random,
		log:          log,
	}
}

// Send queues a frame without blocking. It returns ErrLinkDown if the link is not connected or its
// queue is full. A queued frame is lost if the connection fails.
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

// Up reports whether the link is connected. A failure of the peer may not be detected yet.
func (l *Link) Up() bool { return l.connected.Load() }

// Refused reports whether the peer refused the last attempt to connect: its machine is reachable,
// but its process does not listen.
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

// serve exchanges frames over conn until either side fails or ctx ends.
func (l *Link) serve(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	for len(l.outgoing) > 0 { // frames of the previous connection
		<-l.outgoing
	}
	l.connected.Store(true)
	readerDone := make(chan struct{})
	go func() {
		defer close(readerDone)
		l.readFrames(conn)
	}()
	defer func() {
		l.connected.Store(false)
		_ = conn.Close()
		<-readerDone
		l.onDisconnect()
	}()
	l.writeFrames(ctx, conn, readerDone)
}

// readFrames passes received frames to onFrame until the connection fails.
func (l *Link) readFrames(conn net.Conn) {
	reader := bufio.NewReaderSize(conn, readBufferBytes)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(frameReadTimeout))
		frame, err := ReadFrame(reader)
		if err != nil {
			return
		}
		l.onFrame(frame)
	}
}

// writeFrames writes queued frames until the connection fails in either direction or ctx
// ends.
func (l *Link) writeFrames(ctx context.Context, conn net.Conn, readerDone <-chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-readerDone:
			return
		case frame := <-l.outgoing:
			if err := writeFrameInTime(conn, frame); err != nil {
				return
			}
		}
	}
}

// writeFrameInTime writes a frame within frameWriteTimeout, because the peer may not read.
func writeFrameInTime(conn net.Conn, frame []byte) error {
	_ = conn.SetWriteDeadline(time.Now().Add(frameWriteTimeout))
	return WriteFrame(conn, frame)
}
