// Package node is the whole dunestand daemon, for programs that embed it.
package node

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"time"

	"dunestand/internal/admission"
	"dunestand/internal/config"
	"dunestand/internal/controller"
	"dunestand/internal/units"
)

// Deps is what a node gets from the program around it. What is left out is
// the machine's own.
type Deps struct {
	Clock  units.Clock
	Random *rand.Rand
	Log    *slog.Logger
	Policy *config.Policy
	// Admission says how new jobs are admitted under overload, in place of the policy.
	// All controllers of a fleet must be given the same.
	Admission *AdmissionOptions
	Listen    func(ctx context.Context, addr string) (net.Listener, error)
	Dial      func(ctx context.Context, network, addr string) (net.Conn, error)
}

// AdmissionOptions are the choices about the admission of new jobs under overload. The
// zero value turns it off.
type AdmissionOptions = admission.Options

// Node is one controller.
type Node struct {
	settings *config.Settings
	deps     Deps
}

// New makes a node from checked settings.
func New(settings *config.Settings, deps Deps) *Node {
	if deps.Clock == nil {
		deps.Clock = units.NewSystemClock()
	}
	if deps.Random == nil {
		deps.Random = seeded()
	}
	if deps.Log == nil {
		deps.Log = slog.New(slog.DiscardHandler)
	}
	if deps.Policy == nil {
		deps.Policy = config.DefaultPolicy()
	}
	if deps.Listen == nil {
		deps.Listen = listen
	}
	return &Node{settings: settings, deps: deps}
}

func seeded() *rand.Rand {
	var seed [16]byte
	_, _ = crand.Read(seed[:]) // never fails
	return rand.New(rand.NewPCG(binary.LittleEndian.Uint64(seed[:8]), binary.LittleEndian.Uint64(seed[8:])))
}

// The port of a process that has just ended is free after a while.
const (
	listenTries = 20
	listenPause = 250 * time.Millisecond
)

// listen keeps trying for a while: the port of a process that has just ended
// may not be free yet.
func listen(ctx context.Context, addr string) (net.Listener, error) {
	var lc net.ListenConfig
	for try := 0; ; try++ {
		l, err := lc.Listen(ctx, "tcp", addr)
		if err == nil || try == listenTries {
			return l, err
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(listenPause):
		}
	}
}

// Run serves until ctx ends, or a listener fails for good.
func (n *Node) Run(ctx context.Context) error {
	s, d := n.settings, n.deps
	clients, err := d.Listen(ctx, s.ClientListen)
	if err != nil {
		return fmt.Errorf("client_listen: %w", err)
	}
	defer clients.Close()
	mesh, err := d.Listen(ctx, s.MeshListen)
	if err != nil {
		return fmt.Errorf("mesh_addr: %w", err)
	}
	defer mesh.Close()
	d.Log.Info("node starts", "node", s.Node, "zone", s.Zone, "clients", s.ClientListen, "mesh", s.MeshListen)
	return controller.NewController(s, controller.Environment{
		Policy: d.Policy,
		Clock:  d.Clock,
		Random: d.Random,
		Log:    d.Log,
		Dial:   d.Dial,

		Admission: d.Admission,
	}).Run(ctx, clients, mesh)
}
