// Package node embeds a dunestand controller in a Go program: New creates a controller from
// checked settings, and Run serves until its context is cancelled.
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

// Deps are the dependencies that the embedding program can replace. The zero value is usable; each
// field says what nil means.
type Deps struct {
	// Clock supplies monotonic and wall-clock time. nil: the system clock.
	Clock units.Clock
	// Random is the source of jitter and unique names. The controller owns it: no other code may
	// use it. nil: a generator seeded by the operating system.
	Random *rand.Rand
	// Log receives the log of the controller. nil: logging is disabled.
	Log *slog.Logger
	// Policy is the operators' scheduling policy. nil: the built-in policy.
	Policy *config.Policy
	// Admission replaces the policy's options for admitting new jobs under overload. All
	// controllers of a fleet must use the same options. nil: the policy's options.
	Admission *AdmissionOptions
	// Listen opens a TCP listener on HOST:PORT. It is called once for the listener for users and
	// workers, and once for the listener for other controllers. nil: the system's network, with
	// retries for 5 s.
	Listen func(ctx context.Context, addr string) (net.Listener, error)
	// Dial opens all outgoing connections of the controller. nil: the system's network.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// AdmissionOptions configures the admission of new jobs under overload. The zero value disables
// the admission plan.
type AdmissionOptions = admission.Options

// Node is one controller. Its methods are safe for concurrent use, but only one call of Run may be
// in progress at a time.
type Node struct {
	settings *config.Settings
	deps     Deps
}

// New returns a controller that is not running yet. The settings must have been checked, as by
// config.Load, and must not be modified afterwards.
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

// newSeededRandom returns a generator seeded by the operating system, so that no two controllers
// draw the same values.
func newSeededRandom() *rand.Rand {
	var seed [16]byte
	_, _ = crand.Read(seed[:]) // never returns an error
	return rand.New(rand.NewPCG(binary.LittleEndian.Uint64(seed[:8]), binary.LittleEndian.Uint64(seed[8:])))
}

// The port of a process that has just ended can stay unavailable for some seconds.
const (
	listenRetries       = 20
	listenRetryInterval = 250 * time.Millisecond
)

// listenWithRetry listens on the system's network and retries for 5 s if that fails.
func listenWithRetry(ctx context.Context, addr string) (net.Listener, error) {
	var listenConfig net.ListenConfig
	for try := 0; ; try++ {
		listener, err := listenConfig.Listen(ctx, "tcp", addr)
		if err == nil || try == listenRetries {
			return listener, err
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(listenRetryInterval):
		}
	}
}

// Run serves users, workers and other controllers until ctx is cancelled or a listener fails, and
// returns once the background loops of the controller have ended. It returns nil if ctx was
// cancelled. An error names the setting whose address cannot be listened on, or is the error of
// the listener that failed.
func (n *Node) Run(ctx context.Context) error {
	s, d := n.settings, n.deps
	clientListener, err := d.Listen(ctx, s.ClientListen)
	if err != nil {
		return fmt.Errorf("client_listen: %w", err)
	}
	defer clientListener.Close()
	meshListener, err := d.Listen(ctx, s.MeshListen)
	if err != nil {
		return fmt.Errorf("mesh_addr: %w", err)
	}
	defer meshListener.Close()
	d.Log.Info("controller starting", "node", s.Name, "zone", s.Zone, "clients", s.ClientListen, "mesh", s.MeshListen)
	return controller.New(s, controller.Environment{
		Policy:    d.Policy,
		Clock:     d.Clock,
		Random:    d.Random,
		Log:       d.Log,
		Dial:      d.Dial,
		Admission: d.Admission,
	}).Run(ctx, clientListener, meshListener)
}
