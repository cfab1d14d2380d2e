package transport

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"dunestand/internal/units"
)

func TestConnectionRespondsInOrder(t *testing.T) {
	addr := startServer(t, 10, echoBody)
	cases := []struct {
		name, input string
		statuses    []int
		lastBody    string
	}{
		{"kept open", echoHead + "Content-Length: 1\r\n\r\na" + echoHead + "Content-Length: 2\r\n\r\nbc", []int{200, 200}, "bc"},
		{"chunked body", echoHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n" + echoHead + "Content-Length: 1\r\n\r\nd", []int{200, 200}, "d"},
		{"client asks to close", echoHead + "Connection: close\r\nContent-Length: 1\r\n\r\na" + echoHead + "Content-Length: 1\r\n\r\nb", []int{200}, "a"},
		{"HTTP 1.0", "POST /echo/x HTTP/1.0\r\nContent-Length: 1\r\n\r\na" + echoHead + "Content-Length: 1\r\n\r\nb", []int{200}, "a"},
		{"client expects 100-continue", echoHead + "Expect: 100-continue\r\nContent-Length: 1\r\n\r\na", []int{100, 200}, "a"},
		{"unknown method", "PUT /echo/x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", []int{405}, ""},
		{"unread body", "PUT /echo/x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\na" + echoHead + "Content-Length: 1\r\n\r\nb", []int{405, 200}, "b"},
		{"no Host header", "POST /echo/x HTTP/1.1\r\nContent-Length: 1\r\n\r\na", []int{400}, ""},
		{"not a request", "hello\r\n\r\n", []int{400}, ""},
		{"header too long", echoHead + "X: " + strings.Repeat("a", 2*maxHeaderBytes) + "\r\n\r\n", []int{431}, ""},
		{"body too long", echoHead + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", MaxBodyBytes+1, strings.Repeat("a", MaxBodyBytes+1)) + echoHead + "Content-Length: 1\r\n\r\nb", []int{400, 200}, "b"},
		{"chunked body too long", echoHead + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", MaxBodyBytes+1, strings.Repeat("a", MaxBodyBytes+1)), []int{400}, ""},
		{"truncated header", "POST /echo/x HTTP/1.1\r\nHo", []int{400}, ""},
		{"empty input", "", nil, ""},
		{"truncated body", echoHead + "Content-Length: 10\r\n\r\nabc", []int{400}, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			responses := exchange(t, addr, c.input)
			var statuses []int
			for _, r := range responses {
				statuses = append(statuses, r.StatusCode)
			}
			if !slices.Equal(statuses, c.statuses) {
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

// The idle timeout starts again with each request. Otherwise a request that arrives shortly before
// the timeout would get no response if its handler is slow.
func TestRequestBeforeIdleTimeoutGetsResponse(t *testing.T) {
	const idle = 400 * time.Millisecond
	server := NewServer(10, units.Micros(idle/time.Microsecond), discardLog())
	server.Handle(http.MethodGet, "/slow", func(context.Context, Request) Response {
		time.Sleep(idle / 2)
		return Response{Status: http.StatusOK}
	})
	conn := dial(t, startServing(t, server.Serve))
	time.Sleep(idle * 3 / 4)
	_, _ = io.WriteString(conn, "GET /slow HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	if responses := readResponses(t, conn); len(responses) != 1 || responses[0].StatusCode != http.StatusOK {
		t.Errorf("no successful response: %v", responses)
	}
}

func TestHandlerPanicClosesOneConnection(t *testing.T) {
	addr := startServer(t, 10, func(_ context.Context, r Request) Response {
		if string(r.Body) == "fail" {
			panic("a handler fails")
		}
		return Response{Status: http.StatusOK, Body: r.Body}
	})
	if responses := exchange(t, addr, echoHead+"Content-Length: 4\r\n\r\nfail"); len(responses) != 0 {
		t.Errorf("a request whose handler panicked got the response %v", responses[0].Status)
	}
	if responses := exchange(t, addr, echoHead+"Content-Length: 2\r\n\r\nok"); len(responses) != 1 || responses[0].StatusCode != http.StatusOK {
		t.Error("a request on the next connection got no successful response")
	}
}

// Hundreds of workers send heartbeats to a controller at the same time. A second goroutine for each
// request would cost memory, and scheduling it would delay all other work.
func TestRequestUsesOneGoroutine(t *testing.T) {
	const clients = 50
	entered, release := make(chan struct{}), make(chan struct{})
	addr := startServer(t, clients, func(ctx context.Context, _ Request) Response {
		entered <- struct{}{}
		select {
		case <-release:
		case <-ctx.Done():
		}
		return Response{Status: http.StatusOK}
	})
	before := runtime.NumGoroutine()
	for range clients {
		conn := dial(t, addr)
		_, _ = io.WriteString(conn, "POST /echo/x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\na")
	}
	for range clients {
		<-entered
	}
	const others = clients / 10 // goroutines of the runtime and of earlier tests
	if n := runtime.NumGoroutine() - before; n > clients+others {
		t.Errorf("%d requests use %d goroutines", clients, n)
	}
	close(release)
}

// For any input, the responses must be well-formed and the connection must be closed.
func FuzzConnection(f *testing.F) {
	f.Add([]byte("POST /echo/x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\na"))
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"))
	f.Add([]byte("HEAD / HTTP/1.0\r\n\r\n"))
	f.Add([]byte("POST /echo/x HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n\x00"))
	server := NewServer(1, 60*units.Second, discardLog())
	server.Handle(http.MethodPost, "/echo/:id", echoBody)
	f.Fuzz(func(t *testing.T, input []byte) {
		conn := &memoryConn{input: bytes.NewReader(input)}
		newConnection(conn, server.router, time.Minute, server.log).serve(t.Context())
		if !conn.closed {
			t.Error("the connection is left open")
		}
		if bytes.Contains(input, []byte("HEAD")) {
			return // a response without the body that its header declares
		}
		readResponses(t, &conn.output)
	})
}
