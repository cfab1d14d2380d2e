package protocol

import "dunestand/internal/units"

// Verb is the action of a Command.
type Verb string

// The verbs. VerbStart starts an attempt of a task, VerbStop ends an attempt after a grace period,
// and VerbForget removes an exited attempt from the heartbeats.
const (
	VerbStart  Verb = "launch"
	VerbStop   Verb = "stop"
	VerbForget Verb = "clear"
)

// Command tells a worker to act on an attempt of a task.
type Command struct {
	Verb    Verb     `cbor:"verb"`
	Task    string   `cbor:"bolt"` // in the format of TaskName
	Attempt uint64   `cbor:"try"`
	Grace   *float64 `cbor:"wind_down_s,omitempty"` // in seconds; only for VerbStop
}

// MaxCommands bounds the commands in a HeartbeatResponse. It keeps the response well below
// MaxBodyBytes.
const MaxCommands = 400

// HeartbeatResponse is the response to an accepted heartbeat. It renews the worker's lease.
type HeartbeatResponse struct {
	FencingToken uint64    `cbor:"baton"`
	Commands     []Command `cbor:"orders"`
}

// MaxBodyBytes is the maximum size of a message to or from a worker, in bytes.
const MaxBodyBytes = 64 << 10

// DirectCommands is a request to a worker, which responds with a heartbeat. The worker executes
// the commands only if the incarnation is its own and the fencing token is not lower than the
// highest that it has received.
type DirectCommands struct {
	FencingToken uint64    `cbor:"baton"`
	Incarnation  uint64    `cbor:"shift"`
	Commands     []Command `cbor:"orders"`
}

// LeaderRedirect is the response to a heartbeat that was sent to a controller other than the leader.
// Leader is the name of the controller to which the worker should send its heartbeats, "" if it is
// unknown.
type LeaderRedirect struct {
	Leader string `cbor:"foreman,omitempty"`
}

// StopCommand returns the command to stop an attempt of a task, with a grace period in which the
// task may write a checkpoint. Callers may set the task and the attempt later.
func StopCommand(task string, attempt uint64, grace units.Micros) Command {
	g := grace.Seconds()
	return Command{Verb: VerbStop, Task: task, Attempt: attempt, Grace: &g}
}
