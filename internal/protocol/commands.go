package protocol

import "dunestand/internal/units"

// Verb is what a command tells a worker to do.
type Verb string

// The verbs. Start begins an attempt of a task, Stop ends one after a grace period, and Forget
// drops one that has exited from the heartbeats.
const (
	VerbStart  Verb = "launch"
	VerbStop   Verb = "stop"
	VerbForget Verb = "clear"
)

// Command is one command to a worker.
type Command struct {
	Verb    Verb     `cbor:"verb"`
	Task    string   `cbor:"bolt"`
	Attempt uint64   `cbor:"try"`
	Grace   *float64 `cbor:"wind_down_s,omitempty"`
}

// MaxCommands bounds the commands in a response; it keeps the response well under MaxBody.
const MaxCommands = 400

// HeartbeatResponse answers a heartbeat that was accepted. It prolongs the worker's lease.
type HeartbeatResponse struct {
	FencingToken uint64    `cbor:"baton"`
	Commands     []Command `cbor:"orders"`
}

// MaxBody is the largest body of a message to or from a worker, in bytes.
const MaxBody = 64 << 10

// DirectCommands are sent straight to a worker, which answers with a heartbeat. The worker
// carries them out only if the token is not lower than one it has seen and the incarnation
// is its own.
type DirectCommands struct {
	FencingToken uint64    `cbor:"baton"`
	Incarnation  uint64    `cbor:"shift"`
	Commands     []Command `cbor:"orders"`
}

// LeaderRedirect names the controller that a worker should send heartbeats to; "" if it is not
// known.
type LeaderRedirect struct {
	Leader string `cbor:"foreman,omitempty"`
}

// StopCommand returns the command that stops an attempt of a task, and grants it some time for
// a checkpoint. The task and the attempt may be filled in later.
func StopCommand(task string, attempt uint64, grace units.Micros) Command {
	g := grace.Seconds()
	return Command{Verb: VerbStop, Task: task, Attempt: attempt, Grace: &g}
}
