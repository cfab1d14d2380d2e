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

// connectedPeers returns Peers with a reachable peer "b", which is the leader and answers requests by
// serve.
func connectedPeers(t *testing.T, serve func(context.Context, protocol.Frame) transport.Response) *Peers {
	t.Helper()
	mesh, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	p := New(nil, []config.Peer{{Name: "b", Endpoint: mesh.Addr().String()}}, units.NewSystemClock(), rand.New(rand.NewPCG(1, 1)), log)
	ctx, cancel := context.WithCancel(t.Context())
	served, ran := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(served)
		_ = transport.ServeMesh(ctx, mesh, log, func(ctx context.Context, frame []byte) ([]byte, error) {
			return RespondToFrame(ctx, frame, "b", serve)
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
			t.Fatal("peer not reachable within 10 s")
		}
	}
	return p
}

func TestRequestIsForwardedToTheLeader(t *testing.T) {
	p := connectedPeers(t, func(_ context.Context, request protocol.Frame) transport.Response {
		return transport.Response{Status: http.StatusTooManyRequests, Body: []byte(request.Job), RetryAfter: 7}
	})
	if leader := p.Leader(); leader != "b" {
		t.Errorf("leader is %q, want \"b\"", leader)
	}
	if !p.AnyReachable() || p.UnreachableCount() != 0 || p.RefusesConnections("b") {
		t.Error("peer answers pings but does not count as reachable")
	}
	r, err := p.Forward(t.Context(), "b", protocol.FramePoll, "j-000001", nil)
	if err != nil {
		t.Fatal(err)
	}
	if r.Status != http.StatusTooManyRequests || string(r.Body) != "j-000001" || r.RetryAfter != 7 {
		t.Errorf("response: %+v", r)
	}
}

// An invalid response is not passed to the user. A submission to a slow leader times out, so that this
// controller can still accept the job itself.
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

// A lost connection aborts the pending requests. A response to a request that is no longer pending is
// dropped.
func TestLostConnectionEndsPendingRequests(t *testing.T) {
	requests := newPendingRequests()
	lost, given, forgotten := requests.add(1), requests.add(2), requests.add(3)
	requests.remove(3)
	requests.resolve(protocol.Frame{ID: 2, Status: http.StatusOK})
	requests.resolve(protocol.Frame{ID: 3})
	requests.abort()
	requests.resolve(protocol.Frame{ID: 1})
	if frame, ok := <-given; !ok || frame.Status != http.StatusOK {
		t.Errorf("response: %+v, %v", frame, ok)
	}
	if _, ok := <-lost; ok {
		t.Error("response delivered after the connection was lost")
	}
	select {
	case frame := <-forgotten:
		t.Errorf("removed request received %+v", frame)
	default:
	}
}

// Frames of unknown kinds, which later versions may send, are ignored. A malformed frame is an error,
// which closes the connection.
func TestRespondToFrameIgnoresLaterVersions(t *testing.T) {
	serve := func(context.Context, protocol.Frame) transport.Response {
		t.Error("frame passed to serve")
		return transport.Response{}
	}
	for name, kind := range map[string]protocol.FrameKind{"unknown kind": 99, "response": protocol.FrameResponse} {
		response, err := RespondToFrame(t.Context(), protocol.EncodeFrame(protocol.Frame{ID: 1, Kind: kind}), "", serve)
		if response != nil || err != nil {
			t.Errorf("%s: %v, %v", name, response, err)
		}
	}
	if _, err := RespondToFrame(t.Context(), []byte("short"), "", serve); !errors.Is(err, protocol.ErrShortFrame) {
		t.Errorf("short frame: error %v", err)
	}
}
