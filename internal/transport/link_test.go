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

// linkProbe is a link that passes received frames and lost connections to a test.
type linkProbe struct {
	*Link
	received chan string
	lost     chan struct{}
}

// startLink runs a link to addr until the test ends and waits for it to return.
func startLink(t *testing.T, addr string) *linkProbe {
	t.Helper()
	p := &linkProbe{received: make(chan string, 16), lost: make(chan struct{}, 16)}
	p.Link = NewLink(nil, addr,
		func(frame []byte) { p.received <- string(frame) },
		func() { p.lost <- struct{}{} },
		rand.New(rand.NewPCG(1, 2)), discardLog())
	if err := p.Send([]byte("x")); !errors.Is(err, ErrLinkDown) {
		t.Fatalf("sending before the link is connected returns %v", err)
	}
	var running sync.WaitGroup
	running.Go(func() { p.Run(t.Context()) })
	t.Cleanup(running.Wait)
	return p
}

// exchange sends a frame, repeatedly if connections fail, until a response arrives.
func (p *linkProbe) exchange(t *testing.T, frame string) {
	t.Helper()
	for deadline := time.Now().Add(eventTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
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
	t.Fatal("no response")
}

// prefixOrFail returns the frame with the prefix "re:", or an error for "bad".
func prefixOrFail(_ context.Context, frame []byte) ([]byte, error) {
	if string(frame) == "bad" {
		return nil, errors.New("malformed")
	}
	return append([]byte("re:"), frame...), nil
}

// A link must reconnect after a malformed frame has closed its connection, and after its peer has
// stopped and restarted.
func TestLinkReconnectsAfterFailedFrameAndPeerRestart(t *testing.T) {
	listener := listen(t)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	served := make(chan error, 1)
	go func() { served <- ServeMesh(ctx, listener, discardLog(), prefixOrFail) }()
	link := startLink(t, listener.Addr().String())
	link.exchange(t, "one")
	if !link.Up() || link.Refused() {
		t.Errorf("connected link: up %v, refused %v", link.Up(), link.Refused())
	}
	if err := link.Send([]byte("bad")); err != nil {
		t.Fatal(err)
	}
	<-link.lost
	link.exchange(t, "two")
	stop()
	<-link.lost
	if err := <-served; err != nil {
		t.Errorf("a stopped server returns %v", err)
	}
	for deadline := time.Now().Add(eventTimeout); !link.Refused(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("a port without a listener is not reported as refused")
		}
	}
	if link.Up() {
		t.Error("a link without a peer is reported as up")
	}
	listener, err := net.Listen("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	go func() { served <- ServeMesh(t.Context(), listener, discardLog(), prefixOrFail) }()
	t.Cleanup(func() { <-served })
	link.exchange(t, "three")
}
