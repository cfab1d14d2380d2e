package transport

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	_ "dunestand/internal/fake/fixedseed"
	"dunestand/internal/units"
)

// eventTimeout is how long a test waits for an event. On an idle machine the event is immediate.
const eventTimeout = 10 * time.Second

// echoHead is the beginning of a request to the server of startServer.
const echoHead = "POST /echo/x HTTP/1.1\r\nHost: h\r\n"

func discardLog() *slog.Logger { return slog.New(slog.DiscardHandler) }

// echoBody responds with the body of the request.
func echoBody(_ context.Context, r Request) Response {
	if r.TooLarge {
		return Response{Status: http.StatusBadRequest}
	}
	return Response{Status: http.StatusOK, Body: r.Body}
}

// listen returns a listener on a free loopback port.
func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// dial opens a connection that is closed at the end of the test.
func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// startServing runs serve on a free port until the test ends, waits for it to return, and checks
// its error. It returns the address.
func startServing(t *testing.T, serve func(context.Context, net.Listener) error) string {
	t.Helper()
	listener := listen(t)
	done := make(chan error, 1)
	go func() { done <- serve(t.Context(), listener) }()
	t.Cleanup(func() {
		if err := <-done; err != nil {
			t.Errorf("server failed: %v", err)
		}
	})
	return listener.Addr().String()
}

// startServer serves POST /echo/:id with handler until the test ends, and returns the address.
func startServer(t *testing.T, maxConns int, handler Handler) string {
	t.Helper()
	server := NewServer(maxConns, 10*units.Second, discardLog())
	server.Handle(http.MethodPost, "/echo/:id", handler)
	return startServing(t, server.Serve)
}

// exchange sends input on a new connection and returns all responses until the server closes it.
func exchange(t *testing.T, addr, input string) []*http.Response {
	t.Helper()
	conn := dial(t, addr)
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.WriteString(conn, input); err != nil {
		t.Fatal(err)
	}
	_ = conn.(*net.TCPConn).CloseWrite()
	return readResponses(t, conn)
}

// readResponses reads responses until the end of the input.
func readResponses(t *testing.T, input io.Reader) []*http.Response {
	t.Helper()
	reader := bufio.NewReader(input)
	var responses []*http.Response
	for {
		if _, err := reader.Peek(1); errors.Is(err, io.EOF) {
			return responses
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("response %d: %v", len(responses), err)
		}
		if response.StatusCode == http.StatusContinue {
			responses = append(responses, response)
			continue
		}
		body, err := io.ReadAll(response.Body)
		if err != nil {
			t.Fatalf("body of response %d: %v", len(responses), err)
		}
		response.Body = io.NopCloser(bytes.NewReader(body))
		responses = append(responses, response)
	}
}

// memoryConn is an in-memory connection whose client sends a fixed input.
type memoryConn struct {
	net.Conn
	input  *bytes.Reader
	output bytes.Buffer
	closed bool
}

func (c *memoryConn) Read(buffer []byte) (int, error)   { return c.input.Read(buffer) }
func (c *memoryConn) Write(content []byte) (int, error) { return c.output.Write(content) }
func (c *memoryConn) SetDeadline(time.Time) error       { return nil }
func (c *memoryConn) RemoteAddr() net.Addr              { return &net.TCPAddr{} }
func (c *memoryConn) Close() error {
	c.closed = true
	return nil
}
