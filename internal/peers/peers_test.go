package peers

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	"dunestand/internal/config"
	"dunestand/internal/protocol"
	"dunestand/internal/transport"
	"dunestand/internal/units"
)

// connectedPeers returns the links of a controller to one peer, "b", that leads and answers
// requests by serve.
func connectedPeers(t *testing.T, serve func(context.Context, protocol.Frame) transport.Response) *Peers {
	t.Helper()
	mesh, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	p := New(nil, []config.Peer{{Node: "b", Endpoint: mesh.Addr().String()}}, units.NewSystemClock(), rand.New(rand.NewPCG(1, 1)), log)
	ctx, cancel := context.WithCancel(t.Context())
	served, ran := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(served)
		_ = transport.ServeMesh(ctx, mesh, log, func(ctx context.Context, frame []byte) ([]byte, error) {
			return AnswerFrame(ctx, frame, "b", serve)
		})
	}()
	go func() {
		defer close(ran)
		p.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-served
		<-ran
	})
	for deadline := time.Now().Add(10 * time.Second); !p.Reachable("b"); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the peer is never reachable")
		}
	}
	return p
}

func TestRequestIsForwardedToTheLeader(t *testing.T) {
	p := connectedPeers(t, func(_ context.Context, request protocol.Frame) transport.Response {
		return transport.Response{Status: http.StatusTooManyRequests, Body: []byte(request.Job), RetryAfter: 7}
	})
	if leader := p.Leader(); leader != "b" {
		t.Errorf("the leader is %q", leader)
	}
	if !p.AnyReachable() || p.UnreachableCount() != 0 || p.RefusesConnections("b") {
		t.Error("the peer answers, and does not count as reachable")
	}
	r, err := p.Forward(t.Context(), "b", protocol.FramePoll, "j-000001", nil)
	if err != nil {
		t.Fatal(err)
	}
	if r.Status != http.StatusTooManyRequests || string(r.Body) != "j-000001" || r.RetryAfter != 7 {
		t.Errorf("response: %+v", r)
	}
}

// What comes in place of a response is not passed to the user, and a submission is not waited for
// so long that the controller could not accept it by itself.
func TestForwardFailsWithoutResponse(t *testing.T) {
	t.Run("impossible status", func(t *testing.T) {
		p := connectedPeers(t, func(context.Context, protocol.Frame) transport.Response { return transport.Response{} })
		if _, err := p.Forward(t.Context(), "b", protocol.FramePoll, "j-000001", nil); !errors.Is(err, ErrNoResponse) {
			t.Errorf("error: %v", err)
		}
	})
	t.Run("slow leader", func(t *testing.T) {
		p := connectedPeers(t, func(ctx context.Context, _ protocol.Frame) transport.Response {
			<-ctx.Done()
			return transport.Response{}
		})
		began := time.Now()
		if _, err := p.Forward(t.Context(), "b", protocol.FrameSubmit, "", nil); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("error: %v", err)
		}
		if waited := time.Since(began); waited < forwardSubmitTimeout.Duration() {
			t.Errorf("gave up after %v", waited)
		}
	})
	t.Run("unknown peer", func(t *testing.T) {
		p := New(nil, nil, units.NewSystemClock(), rand.New(rand.NewPCG(1, 1)), slog.New(slog.NewTextHandler(io.Discard, nil)))
		if _, err := p.Forward(t.Context(), "b", protocol.FramePoll, "j-000001", nil); !errors.Is(err, transport.ErrLinkDown) {
			t.Errorf("error: %v", err)
		}
	})
}

// A lost connection ends the requests that were sent on it; a response that nobody waits for any
// more is dropped.
func TestLostConnectionEndsPendingRequests(t *testing.T) {
	requests := newPendingRequests()
	lost, given, forgotten := requests.add(1), requests.add(2), requests.add(3)
	requests.remove(3)
	requests.resolve(protocol.Frame{ID: 2, Status: http.StatusOK})
	requests.resolve(protocol.Frame{ID: 3})
	requests.abort()
	requests.resolve(protocol.Frame{ID: 1})
	if frame, ok := <-given; !ok || frame.Status != http.StatusOK {
		t.Errorf("the response: %+v, %v", frame, ok)
	}
	if _, ok := <-lost; ok {
		t.Error("a response came after the connection was lost")
	}
	select {
	case frame := <-forgotten:
		t.Errorf("a request that is not waited for got %+v", frame)
	default:
	}
}

// Frames of later versions are ignored, malformed ones end the connection.
func TestAnswerFrameIgnoresLaterVersions(t *testing.T) {
	serve := func(context.Context, protocol.Frame) transport.Response {
		t.Error("served")
		return transport.Response{}
	}
	for name, kind := range map[string]protocol.FrameKind{"unknown kind": 99, "response": protocol.FrameResponse} {
		response, err := AnswerFrame(t.Context(), protocol.EncodeFrame(protocol.Frame{ID: 1, Kind: kind}), "", serve)
		if response != nil || err != nil {
			t.Errorf("%s: %v, %v", name, response, err)
		}
	}
	if _, err := AnswerFrame(t.Context(), []byte("short"), "", serve); !errors.Is(err, protocol.ErrShortFrame) {
		t.Errorf("a short frame: %v", err)
	}
}
