package cluster

import (
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// Machine is a machine that reported, is listed, or was rented.
type Machine struct {
	ID           string
	InstanceType string
	Zone         string
	Spot         bool
	Endpoint     string // as the cloud lists it
	Capacity     units.Resources
	ImageCache   units.Amount
	Used         units.Resources
	Freeing      units.Resources // part of Used, held by attempts that were told to stop
	Attempts     map[AttemptKey]*Attempt
	Ended        int // ended tasks in its last report

	Registered            bool   // it reported to this leader
	FencingToken          uint64 // the highest term it had seen by its last report
	Incarnation, Sequence uint64
	LastHeartbeat         units.Micros // when its last answered report came in
	LastCommand           SentCommand  // by the last answer
	UndeliveredCommands   int          // answers in a row that had no effect
	UndeliveredAt         units.Micros // when the last of these showed, or its session began
	// MayHoldCancelled: it held tasks of a cancelled job when its lease ran out, and has
	// not reported since. If it hangs they are on it still.
	MayHoldCancelled bool
	TerminatesAt     units.Micros // when the cloud takes it away; 0: no notice
	Quarantined      bool         // faulty: gets no work and is returned
	Slow             bool
	BlockedUntil     units.Micros // refused for want of room: our count is off

	Stage        protocol.MachineStage // as the cloud lists it
	RentedAt     units.Micros
	IdleSince    units.Micros
	Releasing    bool
	failedJobs   map[string]bool // jobs that failed here since the last success
	slowness     float64         // run time against siblings elsewhere, moving mean of its log2
	comparedRuns int
	images       []image // the most recently used one last
	imageBytes   units.Amount
}

// AttemptKey names an attempt on its machine.
type AttemptKey struct {
	Job    string
	Index  int
	Number uint64
}

// SentCommand is the first command of an answer that was sent to a machine.
type SentCommand struct {
	Pending bool
	Verb    string
	Key     AttemptKey
}

type image struct {
	name string
	size units.Amount
}

// Free is the room that is left.
func (m *Machine) Free() units.Resources { return m.Capacity.Plus(m.Used, -1) }

// HasImage tells whether the machine is thought to hold an image.
func (m *Machine) HasImage(name string) bool {
	for _, i := range m.images {
		if i.name == name {
			return true
		}
	}
	return false
}

// touchImage notes that an image is used, as the machine's cache would.
func (m *Machine) touchImage(name string, size units.Amount) {
	for k, i := range m.images {
		if i.name == name {
			m.images = append(append(m.images[:k:k], m.images[k+1:]...), i)
			return
		}
	}
	m.images = append(m.images, image{name, size})
	m.imageBytes += size
	for m.imageBytes > m.ImageCache && len(m.images) > 1 {
		m.imageBytes -= m.images[0].size
		m.images = m.images[1:]
	}
}

// MaxUndeliveredCommands is how many answers in a row may have no effect on a machine until
// it counts as one that commands do not reach.
const MaxUndeliveredCommands = 2

// IgnoresCommands reports whether the machine sends heartbeats and carries no command out.
// It then gets no work and is released as one that is lost.
func (m *Machine) IgnoresCommands() bool { return m.UndeliveredCommands >= MaxUndeliveredCommands }
