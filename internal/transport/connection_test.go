package transport

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"dunestand/internal/units"
)

// echoBody answers with the request's body.
func echoBody(_ context.Context, r Request) Response {
	if r.TooLarge {
		return Response{Status: http.StatusBadRequest}
	}
	return Response{Status: http.StatusOK, Body: r.Body}
}

// exchange sends raw bytes on a connection of their own and gives all responses until
// the server closes it.
func exchange(t *testing.T, addr, input string) []*http.Response {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
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

func TestConnectionAnswersInOrder(t *testing.T) {
	addr := serve(t, 10, echoBody)
	const head = "POST /echo/x HTTP/1.1\r\nHost: h\r\n"
	cases := []struct {
		name, input string
		statuses    []int
		lastBody    string
	}{
		{"kept open", head + "Content-Length: 1\r\n\r\na" + head + "Content-Length: 2\r\n\r\nbc", []int{200, 200}, "bc"},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n" + head + "Content-Length: 1\r\n\r\nd", []int{200, 200}, "d"},
		{"the client closes", head + "Connection: close\r\nContent-Length: 1\r\n\r\na" + head + "Content-Length: 1\r\n\r\nb", []int{200}, "a"},
		{"old protocol", "POST /echo/x HTTP/1.0\r\nContent-Length: 1\r\n\r\na" + head + "Content-Length: 1\r\n\r\nb", []int{200}, "a"},
		{"the body is asked for", head + "Expect: 100-continue\r\nContent-Length: 1\r\n\r\na", []int{100, 200}, "a"},
		{"unknown method", "PUT /echo/x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", []int{405}, ""},
		{"a body that nobody reads", "PUT /echo/x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\na" + head + "Content-Length: 1\r\n\r\nb", []int{405, 200}, "b"},
		{"no host", "POST /echo/x HTTP/1.1\r\nContent-Length: 1\r\n\r\na", []int{400}, ""},
		{"no request", "hello\r\n\r\n", []int{400}, ""},
		{"too long a header", head + "X: " + strings.Repeat("a", 2*maxHeaderBytes) + "\r\n\r\n", []int{431}, ""},
		{"too long a body", head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", MaxBodyBytes+1, strings.Repeat("a", MaxBodyBytes+1)) + head + "Content-Length: 1\r\n\r\nb", []int{400, 200}, "b"},
		{"too long a body in chunks", head + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", MaxBodyBytes+1, strings.Repeat("a", MaxBodyBytes+1)), []int{400}, ""},
		{"cut off in the header", "POST /echo/x HTTP/1.1\r\nHo", []int{400}, ""},
		{"nothing at all", "", nil, ""},
		{"cut off in the body", head + "Content-Length: 10\r\n\r\nabc", []int{400}, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			responses := exchange(t, addr, c.input)
			var statuses []int
			for _, r := range responses {
				statuses = append(statuses, r.StatusCode)
			}
			if fmt.Sprint(statuses) != fmt.Sprint(c.statuses) {
				t.Fatalf("statuses %v, expected %v", statuses, c.statuses)
			}
			if c.lastBody == "" {
				return
			}
			if body, _ := io.ReadAll(responses[len(responses)-1].Body); string(body) != c.lastBody {
				t.Errorf("body %q, expected %q", body, c.lastBody)
			}
		})
	}
}

// A request that comes when its client has been idle for nearly too long is answered,
// though its handler takes a while.
func TestLateRequestIsAnswered(t *testing.T) {
	const idle = 400 * time.Millisecond
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(10, units.Micros(idle/time.Microsecond), slog.New(slog.DiscardHandler))
	server.Handle(http.MethodGet, "/slow", func(context.Context, Request) Response {
		time.Sleep(idle / 2)
		return Response{Status: http.StatusOK}
	})
	go func() { _ = server.Serve(t.Context(), l) }()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	time.Sleep(idle * 3 / 4)
	_, _ = io.WriteString(conn, "GET /slow HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	if responses := readResponses(t, conn); len(responses) != 1 || responses[0].StatusCode != http.StatusOK {
		t.Errorf("not answered: %v", responses)
	}
}

func TestHandlerFailureEndsOneConnection(t *testing.T) {
	addr := serve(t, 10, func(_ context.Context, r Request) Response {
		if string(r.Body) == "fail" {
			panic("a handler fails")
		}
		return Response{Status: http.StatusOK, Body: r.Body}
	})
	const head = "POST /echo/x HTTP/1.1\r\nHost: h\r\n"
	if responses := exchange(t, addr, head+"Content-Length: 4\r\n\r\nfail"); len(responses) != 0 {
		t.Errorf("a failed request was answered: %v", responses[0].Status)
	}
	if responses := exchange(t, addr, head+"Content-Length: 2\r\n\r\nok"); len(responses) != 1 || responses[0].StatusCode != http.StatusOK {
		t.Error("the next connection was not served")
	}
}

func TestConnectionsEndWithTheServer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- NewServer(10, 60*units.Second, slog.New(slog.DiscardHandler)).Serve(ctx, l) }()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, "GET /none HTTP/1.1\r\nHost: h\r\n\r\n")
	reader := bufio.NewReader(conn)
	if response, err := http.ReadResponse(reader, nil); err != nil || response.StatusCode != http.StatusNotFound {
		t.Fatalf("not served: %v", err)
	}
	cancel()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := reader.ReadByte(); err == nil || errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("the connection outlives the server: %v", err)
	}
	if err := <-done; err != nil {
		t.Errorf("an ended server reports %v", err)
	}
}

// The load of a node is hundreds of workers that report at the same time. A second
// goroutine for each of their requests costs memory, and each turn that it takes
// delays everything else.
func TestRequestTakesOneGoroutine(t *testing.T) {
	const clients = 50
	entered, release := make(chan struct{}), make(chan struct{})
	addr := serve(t, clients, func(context.Context, Request) Response {
		entered <- struct{}{}
		<-release
		return Response{Status: http.StatusOK}
	})
	before := runtime.NumGoroutine()
	for range clients {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, "POST /echo/x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\na")
	}
	for range clients {
		<-entered
	}
	const others = clients / 10 // of the runtime and of tests that have ended
	if n := runtime.NumGoroutine() - before; n > clients+others {
		t.Errorf("%d requests take %d goroutines", clients, n)
	}
	close(release)
}

// Whatever a client sends, the answers are well-formed and the connection ends.
func FuzzConnection(f *testing.F) {
	f.Add([]byte("POST /echo/x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\na"))
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"))
	f.Add([]byte("HEAD / HTTP/1.0\r\n\r\n"))
	f.Add([]byte("POST /echo/x HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n\x00"))
	server := NewServer(1, 60*units.Second, slog.New(slog.DiscardHandler))
	server.Handle(http.MethodPost, "/echo/:id", echoBody)
	f.Fuzz(func(t *testing.T, input []byte) {
		conn := &memoryConn{input: bytes.NewReader(input)}
		newConnection(conn, server.router, time.Minute, server.log).serve(t.Context())
		if !conn.closed {
			t.Error("the connection is left open")
		}
		if bytes.Contains(input, []byte("HEAD")) {
			return // an answer without the body that it declares
		}
		readResponses(t, &conn.output)
	})
}

// memoryConn is a connection whose client has sent all that it will.
type memoryConn struct {
	net.Conn
	input  *bytes.Reader
	output bytes.Buffer
	closed bool
}

func (c *memoryConn) Read(p []byte) (int, error)  { return c.input.Read(p) }
func (c *memoryConn) Write(p []byte) (int, error) { return c.output.Write(p) }
func (c *memoryConn) SetDeadline(time.Time) error { return nil }
func (c *memoryConn) RemoteAddr() net.Addr        { return &net.TCPAddr{} }
func (c *memoryConn) Close() error {
	c.closed = true
	return nil
}
