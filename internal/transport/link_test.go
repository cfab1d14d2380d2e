package transport

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"
)

// linkProbe is a link whose received frames and lost connections a test waits for.
type linkProbe struct {
	*Link
	received chan string
	lost     chan struct{}
}

// startLink runs a link to addr until the test ends, and waits for it then.
func startLink(t *testing.T, addr string) *linkProbe {
	t.Helper()
	p := &linkProbe{received: make(chan string, 16), lost: make(chan struct{}, 16)}
	p.Link = NewLink(nil, addr,
		func(frame []byte) { p.received <- string(frame) },
		func() { p.lost <- struct{}{} },
		rand.New(rand.NewPCG(1, 2)), discardLog())
	if err := p.Send([]byte("x")); !errors.Is(err, ErrLinkDown) {
		t.Fatalf("sent before it was up: %v", err)
	}
	var running sync.WaitGroup
	running.Go(func() { p.Run(t.Context()) })
	t.Cleanup(running.Wait)
	return p
}

// exchange sends a frame, on each connection that comes up, until it is answered.
func (p *linkProbe) exchange(t *testing.T, frame string) {
	t.Helper()
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if p.Send([]byte(frame)) != nil {
			continue
		}
		select {
		case response := <-p.received:
			if response != "re:"+frame {
				t.Fatalf("received %q", response)
			}
			return
		case <-time.After(300 * time.Millisecond):
		}
	}
	t.Fatal("no answer")
}

// prefixOrFail answers a frame with "re:" before it, and fails for "bad".
func prefixOrFail(_ context.Context, frame []byte) ([]byte, error) {
	if string(frame) == "bad" {
		return nil, errors.New("malformed")
	}
	return append([]byte("re:"), frame...), nil
}

// A link comes back after its peer has gone and returned, and a malformed
// frame ends the connection and nothing else.
func TestLinkReconnects(t *testing.T) {
	listener := listen(t)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	served := make(chan error, 1)
	go func() { served <- ServeMesh(ctx, listener, discardLog(), prefixOrFail) }()
	link := startLink(t, listener.Addr().String())
	link.exchange(t, "one")
	if !link.Up() || link.Refused() {
		t.Errorf("a link in use: up %v, refused %v", link.Up(), link.Refused())
	}
	if err := link.Send([]byte("bad")); err != nil {
		t.Fatal(err)
	}
	<-link.lost
	link.exchange(t, "two")
	stop()
	<-link.lost
	if err := <-served; err != nil {
		t.Errorf("an ended server reports %v", err)
	}
	for deadline := time.Now().Add(patience); !link.Refused(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("a port without a listener does not count as a refusal")
		}
	}
	if link.Up() {
		t.Error("a link without a peer is up")
	}
	listener, err := net.Listen("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	go func() { served <- ServeMesh(t.Context(), listener, discardLog(), prefixOrFail) }()
	t.Cleanup(func() { <-served })
	link.exchange(t, "three")
}
