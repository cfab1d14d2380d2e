package transport

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"time"
)

// Bounds of a connection with a client.
const (
	readBufferBytes  = 4 << 10
	maxHeaderBytes   = 8 << 10
	maxBodyWireBytes = 2 * MaxBodyBytes // a body in chunks carries their lengths, too
	maxDiscardBytes  = 256 << 10        // of a refused request, read so that the client sees the response
	discardTimeout   = 500 * time.Millisecond
)

// connection serves one client's requests, one after the other, in one goroutine.
//
// It stands in place of http.Server, which starts a second goroutine for every
// request to watch for the client to go away, and sets four deadlines. On a controller with
// a few percent of a core, hundreds of workers send heartbeats at the same time, and
// each such step of each heartbeat delays all else that the controller does. No handler here
// runs for more than a few seconds, so none needs to know that its client is gone.
//
// It belongs to the goroutine that calls serve.
type connection struct {
	conn        net.Conn
	handler     http.Handler
	idleTimeout time.Duration
	log         *slog.Logger
	limited     *io.LimitedReader // bounds what the current request may read
	reader      *bufio.Reader
	response    bufferedResponse
}

func newConnection(conn net.Conn, handler http.Handler, idleTimeout time.Duration, log *slog.Logger) *connection {
	limited := &io.LimitedReader{R: conn}
	return &connection{
		conn:        conn,
		handler:     handler,
		idleTimeout: idleTimeout,
		log:         log,
		limited:     limited,
		reader:      bufio.NewReaderSize(limited, readBufferBytes),
		response:    bufferedResponse{header: http.Header{}},
	}
}

// serve answers requests until ctx ends, or the client closes the connection, is idle
// for too long or sends something that is not a request.
func (c *connection) serve(ctx context.Context) {
	defer c.conn.Close()
	defer context.AfterFunc(ctx, func() { _ = c.conn.Close() })()
	defer c.recoverPanic()
	for c.serveRequest(ctx) {
	}
}

// recoverPanic confines a handler's failure to the connection of its request.
func (c *connection) recoverPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	c.log.Error("request handler panicked", "client", c.conn.RemoteAddr().String(), "cause", cause, "stack", string(debug.Stack()))
}

// serveRequest answers one request and reports whether the connection goes on.
func (c *connection) serveRequest(ctx context.Context) bool {
	request, ok := c.readRequest()
	if !ok {
		return false
	}
	if err := c.extendDeadline(); err != nil {
		return false
	}
	if !c.confirmExpectation(request) {
		return false
	}
	body := &trackedBody{ReadCloser: request.Body, atEOF: request.Body == http.NoBody}
	request.Body = body
	c.response.reset()
	c.handler.ServeHTTP(&c.response, request.WithContext(ctx))
	tooMuchLeft := !body.atEOF && (request.ContentLength < 0 || request.ContentLength > maxBodyWireBytes)
	closing := request.Close || tooMuchLeft
	if closing {
		c.response.header.Set("Connection", "close")
	}
	if err := c.response.send(c.conn, request.Method != http.MethodHead); err != nil {
		return false
	}
	if tooMuchLeft {
		c.discardInput()
		return false
	}
	// The next request begins behind what the handler has left of this one.
	_, _ = io.Copy(io.Discard, body)
	return !closing && body.atEOF
}

// readRequest reads a request up to its body, which it leaves to be read within
// maxBodyWireBytes. It refuses what is not a request.
func (c *connection) readRequest() (request *http.Request, ok bool) {
	if err := c.extendDeadline(); err != nil {
		return nil, false
	}
	c.limited.N = maxHeaderBytes
	request, err := http.ReadRequest(c.reader)
	if err != nil {
		c.refuseUnreadable(err)
		return nil, false
	}
	if request.ProtoAtLeast(1, 1) && request.Host == "" {
		c.refuse(http.StatusBadRequest)
		return nil, false
	}
	c.limited.N = maxBodyWireBytes
	return request, true
}

// extendDeadline allows the client's next step, and the response to it, as much time as a
// client may be idle.
func (c *connection) extendDeadline() error {
	return c.conn.SetDeadline(time.Now().Add(c.idleTimeout))
}

// confirmExpectation asks a client that waits for it to send the body. It reports whether
// the connection goes on.
func (c *connection) confirmExpectation(request *http.Request) bool {
	if !strings.EqualFold(request.Header.Get("Expect"), "100-continue") {
		return true
	}
	_, err := io.WriteString(c.conn, "HTTP/1.1 100 Continue\r\n\r\n")
	return err == nil
}

// refuseUnreadable responds to what is not a request, unless the client has gone.
func (c *connection) refuseUnreadable(err error) {
	var netErr net.Error
	switch {
	case c.limited.N <= 0:
		c.refuse(http.StatusRequestHeaderFieldsTooLarge)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &netErr):
	default:
		c.refuse(http.StatusBadRequest)
	}
}

func (c *connection) refuse(status int) {
	c.response.reset()
	c.response.header.Set("Connection", "close")
	c.response.WriteHeader(status)
	if err := c.response.send(c.conn, true); err != nil {
		return
	}
	c.discardInput()
}

// discardInput reads what a refused client still sends. A connection that is closed
// with unread input is reset, and the client might never see the response.
func (c *connection) discardInput() {
	if conn, ok := c.conn.(closeWriter); ok {
		_ = conn.CloseWrite()
	}
	_ = c.conn.SetDeadline(time.Now().Add(discardTimeout))
	_, _ = io.CopyN(io.Discard, c.conn, maxDiscardBytes)
}

// trackedBody notes whether a request's body was read to its end.
type trackedBody struct {
	io.ReadCloser
	atEOF bool
}

func (b *trackedBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if errors.Is(err, io.EOF) {
		b.atEOF = true
	}
	return n, err
}
