package transport

import (
	"context"
	"errors"
	"net/http"
	"testing"

	"dunestand/internal/units"
)

// blockOrRespond returns a handler that blocks a request with the ID "slow" until its context ends,
// and responds to others with responseBytes bytes.
func blockOrRespond(responseBytes int) Handler {
	return func(ctx context.Context, r Request) Response {
		if r.ID == "slow" {
			<-ctx.Done()
		}
		return Response{Status: http.StatusOK, Body: make([]byte, responseBytes)}
	}
}

func TestClientTimesOutAndRejectsLargeResponses(t *testing.T) {
	addr := startServer(t, 10, blockOrRespond(5000))
	client := NewClient(nil, addr, 2, 1000)
	if _, _, err := client.Do(t.Context(), http.MethodPost, "/echo/slow", []byte("x"), 50*units.Millisecond); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("a request without a response ends with %v", err)
	}
	_, _, err := client.Do(t.Context(), http.MethodPost, "/echo/x", []byte("x"), 5*units.Second)
	if err == nil {
		t.Error("a response over the limit is accepted")
	}
	tooLarge, ok := errors.AsType[*ResponseTooLargeError](err)
	if !ok {
		t.Fatalf("a response over the limit is reported as %v", err)
	}
	if want := (ResponseTooLargeError{URL: "http://" + addr + "/echo/x", LimitBytes: 1000}); *tooLarge != want {
		t.Errorf("reported %+v, expected %+v", *tooLarge, want)
	}
}

func TestCallerReachesManyServers(t *testing.T) {
	caller := NewCaller(nil, 1000)
	for _, content := range []string{"one", "two"} {
		addr := startServer(t, 10, echoBody)
		for range 2 {
			status, body, err := caller.Post(t.Context(), addr, "/echo/x", []byte(content), 5*units.Second)
			if err != nil {
				t.Fatal(err)
			}
			if status != http.StatusOK || string(body) != content {
				t.Errorf("status %d, body %q", status, body)
			}
		}
	}
	if _, _, err := caller.Post(t.Context(), startServer(t, 10, blockOrRespond(0)), "/echo/slow", nil, 50*units.Millisecond); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("a request without a response ends with %v", err)
	}
}
