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

// Limits of a connection with a client.
const (
	readBufferBytes  = 4 << 10
	maxHeaderBytes   = 8 << 10
	maxBodyWireBytes = 2 * MaxBodyBytes // a chunked body also contains the sizes of its chunks
	maxDiscardBytes  = 256 << 10        // of a refused request, see discardInput
	discardTimeout   = 500 * time.Millisecond
)

// connection serves the requests of one client sequentially in one goroutine.
//
// It replaces http.Server, which for every request sets four deadlines and starts a second
// goroutine that detects a disconnected client. A controller may have only a few percent of a
// core while hundreds of workers send heartbeats at the same time, so this overhead would delay
// all its other work. Handlers run for a few seconds at most and need not know that their client
// has disconnected.
//
// A connection is used only by the goroutine that calls serve.
type connection struct {
	conn        net.Conn
	handler     http.Handler
	idleTimeout time.Duration
	log         *slog.Logger
	limited     *io.LimitedReader // bounds the bytes that the current request may read
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

// serve responds to requests until ctx ends, a handler panics, or the client closes the connection,
// exceeds idleTimeout or sends an invalid request. It closes the connection before it returns.
func (c *connection) serve(ctx context.Context) {
	defer c.conn.Close()
	defer context.AfterFunc(ctx, func() { _ = c.conn.Close() })()
	defer c.recoverPanic()
	for c.serveRequest(ctx) {
	}
}

// recoverPanic logs the panic of a handler, so that it ends only the connection of its request.
func (c *connection) recoverPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	c.log.Error("request handler panicked", "client", c.conn.RemoteAddr().String(), "cause", cause, "stack", string(debug.Stack()))
}

// serveRequest responds to one request and reports whether the connection remains usable.
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
	// The next request follows the part of this body that the handler has not read.
	_, _ = io.Copy(io.Discard, body)
	return !closing && body.atEOF
}

// readRequest reads the header of a request and limits its body to maxBodyWireBytes. It responds to
// an invalid request with an error status and returns false.
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

// extendDeadline gives the next read from the client and the response to it idleTimeout from now.
func (c *connection) extendDeadline() error {
	return c.conn.SetDeadline(time.Now().Add(c.idleTimeout))
}

// confirmExpectation sends the status 100 (Continue) if the client waits for it before it sends the
// body. It reports whether the connection remains usable.
func (c *connection) confirmExpectation(request *http.Request) bool {
	if !strings.EqualFold(request.Header.Get("Expect"), "100-continue") {
		return true
	}
	_, err := io.WriteString(c.conn, "HTTP/1.1 100 Continue\r\n\r\n")
	return err == nil
}

// refuseUnreadable responds to an invalid request, unless the client has disconnected or timed out.
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

// refuse responds with an error status before the connection is closed.
func (c *connection) refuse(status int) {
	c.response.reset()
	c.response.header.Set("Connection", "close")
	c.response.WriteHeader(status)
	if err := c.response.send(c.conn, true); err != nil {
		return
	}
	c.discardInput()
}

// discardInput reads the rest of a refused request. Closing a connection with unread input resets
// it, and the client might not receive the response.
func (c *connection) discardInput() {
	if conn, ok := c.conn.(closeWriter); ok {
		_ = conn.CloseWrite()
	}
	_ = c.conn.SetDeadline(time.Now().Add(discardTimeout))
	_, _ = io.CopyN(io.Discard, c.conn, maxDiscardBytes)
}

// trackedBody is a request body that records whether it was read to its end.
type trackedBody struct {
	io.ReadCloser
	atEOF bool
}

// Read implements io.Reader.
func (b *trackedBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if errors.Is(err, io.EOF) {
		b.atEOF = true
	}
	return n, err
}
