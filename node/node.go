// Package node is the whole dunestand daemon, for programs that embed it: New makes a
// controller node from checked settings, and Run serves until its context ends.
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

// Deps are the dependencies that the embedding program may replace. The zero value is usable;
// each field says what nil means.
type Deps struct {
	// Clock is a steady clock. nil: the system's.
	Clock units.Clock
	// Random draws jitter and unique names. The controller owns it. nil: a generator seeded by the
	// system.
	Random *rand.Rand
	// Log receives the controller's log. nil: nothing is logged.
	Log *slog.Logger
	// Policy holds the operators' choices. nil: the built-in policy.
	Policy *config.Policy
	// Admission replaces the policy's choices about the admission of new jobs under
	// overload. All controllers of a fleet must be given the same. nil: the policy's.
	Admission *AdmissionOptions
	// Listen opens a TCP listener at HOST:PORT, once for users and workers and once for
	// other controllers. nil: the system's network, retried for some seconds.
	Listen func(ctx context.Context, addr string) (net.Listener, error)
	// Dial opens every connection of the controller. nil: the system's network.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// AdmissionOptions are the choices about the admission of new jobs under overload. The zero
// value turns the admission plan off.
type AdmissionOptions = admission.Options

// Node is one controller node. Its methods may be used concurrently, but Run only once at a
// time.
type Node struct {
	settings *config.Settings
	deps     Deps
}

// New returns a controller that does not run yet. The settings must have been checked, and must not
// be changed afterwards.
func New(settings *config.Settings, deps Deps) *Node {
	if deps.Clock == nil {
		deps.Clock = units.NewSystemClock()
	}
	if deps.Random == nil {
		deps.Random = newSeededRandom()
	}
	if deps.Log == nil {
		deps.Log = slog.New(slog.DiscardHandler)
	}
	if deps.Policy == nil {
		deps.Policy = config.DefaultPolicy()
	}
	if deps.Listen == nil {
		deps.Listen = listenWithRetry
	}
	return &Node{settings: settings, deps: deps}
}

// newSeededRandom returns a generator seeded by the system, so that no two controllers draw alike.
func newSeededRandom() *rand.Rand {
	var seed [16]byte
	_, _ = crand.Read(seed[:]) // never fails
	return rand.New(rand.NewPCG(binary.LittleEndian.Uint64(seed[:8]), binary.LittleEndian.Uint64(seed[8:])))
}

// The port of a process that has just ended may not be free for some seconds.
const (
	listenRetries = 20
	listenPause   = 250 * time.Millisecond // between two tries
)

// listenWithRetry listens on the system's network, and retries for 5 s.
func listenWithRetry(ctx context.Context, addr string) (net.Listener, error) {
	var network net.ListenConfig
	for try := 0; ; try++ {
		listener, err := network.Listen(ctx, "tcp", addr)
		if err == nil || try == listenRetries {
			return listener, err
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(listenPause):
		}
	}
}

// Run serves users, workers and other controllers until ctx ends, and returns once its loops
// have ended. It returns nil when ctx ended it. An error names the setting whose address
// cannot be listened on, or is that of a listener that failed.
func (n *Node) Run(ctx context.Context) error {
	s, d := n.settings, n.deps
	users, err := d.Listen(ctx, s.ClientListen)
	if err != nil {
		return fmt.Errorf("client_listen: %w", err)
	}
	defer users.Close()
	mesh, err := d.Listen(ctx, s.MeshListen)
	if err != nil {
		return fmt.Errorf("mesh_addr: %w", err)
	}
	defer mesh.Close()
	d.Log.Info("node starts", "node", s.Name, "zone", s.Zone, "clients", s.ClientListen, "mesh", s.MeshListen)
	return controller.New(s, controller.Environment{
		Policy:    d.Policy,
		Clock:     d.Clock,
		Random:    d.Random,
		Log:       d.Log,
		Dial:      d.Dial,
		Admission: d.Admission,
	}).Run(ctx, users, mesh)
}
