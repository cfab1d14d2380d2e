package cluster

import (
	"cmp"
	"slices"

	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// Machine is a machine that sent a heartbeat, is listed by the cloud, or was requested from it.
// Times are steady times. The lock of the State that it belongs to guards it.
type Machine struct {
	ID           string
	InstanceType string
	Zone         string
	Spot         bool
	Endpoint     string // as the cloud lists it
	Capacity     units.Resources
	ImageCache   units.Amount // bytes
	Usage
	Attempts map[AttemptKey]*Attempt
	Ended    int // ended tasks in its last heartbeat

	Registered   bool   // it sent a heartbeat to this leader
	FencingToken uint64 // the highest that it had seen by its last heartbeat
	Incarnation  uint64 // of its agent
	Sequence     uint64 // of its last heartbeat in that incarnation
	// LastHeartbeat is when its last heartbeat that was answered arrived.
	LastHeartbeat       units.Micros
	LastCommand         SentCommand  // in the last response
	UndeliveredCommands int          // responses in a row that had no effect
	UndeliveredAt       units.Micros // when the last of these showed, or its incarnation began
	// MayHoldCancelled: it held tasks of a cancelled job when its lease expired, and has
	// sent no heartbeat since. If it hangs they are on it still.
	MayHoldCancelled bool
	TerminatesAt     units.Micros // when the cloud takes it away; 0: no notice
	Quarantined      bool         // faulty: gets no work and is released
	Slow             bool         // it runs tasks slower than their siblings elsewhere
	BlockedUntil     units.Micros // it had no capacity for a start: our count is off

	Stage        protocol.MachineStage // as the cloud lists it
	LaunchedAt   units.Micros
	IdleSince    units.Micros
	Releasing    bool
	failedJobs   map[string]bool // jobs that failed here since the last success
	slowness     float64         // run time against siblings elsewhere, moving mean of its log2
	comparedRuns int
	images       []image // the most recently used one last
	imageBytes   units.Amount
}

// CapacityOf returns the capacity of a machine of a type.
func CapacityOf(t protocol.InstanceType) units.Resources {
	return units.Resources{
		CPU:    units.AmountOf(t.CPUs),
		GPU:    units.AmountOf(t.GPUs),
		Memory: units.AmountOf(t.MemoryGB),
	}
}

// SortedAttempts returns the machine's attempts in the order of their jobs' IDs and of tasks.
func (m *Machine) SortedAttempts() []*Attempt {
	attempts := make([]*Attempt, 0, len(m.Attempts))
	for _, a := range m.Attempts {
		attempts = append(attempts, a)
	}
	slices.SortFunc(attempts, func(a, b *Attempt) int {
		return cmp.Or(cmp.Compare(a.Job.Spec.ID, b.Job.Spec.ID), cmp.Compare(a.Index, b.Index))
	})
	return attempts
}

// AttemptKey names an attempt on its machine.
type AttemptKey struct {
	Job    string
	Index  int
	Number uint64
}

// SentCommand is the first command of a response that was sent to a machine.
type SentCommand struct {
	Pending bool // no later heartbeat has shown yet whether it arrived
	Verb    protocol.Verb
	Key     AttemptKey
}

type image struct {
	name string
	size units.Amount
}

// setInstanceType sets the machine's capacity to that of its type, if the type is known.
func (m *Machine) setInstanceType(types map[string]protocol.InstanceType) {
	if t, ok := types[m.InstanceType]; ok {
		m.Capacity, m.ImageCache = CapacityOf(t), units.AmountOf(t.CacheGB)
	}
}

// Free returns the free capacity.
func (m *Machine) Free() units.Resources { return m.Capacity.Plus(m.Used, -1) }

// HasImage reports whether the machine is thought to hold an image.
func (m *Machine) HasImage(name string) bool {
	return slices.ContainsFunc(m.images, func(i image) bool { return i.name == name })
}

// RecordImage notes that a machine has a job's image.
func (m *Machine) RecordImage(j *Job) {
	if j.Spec.ImageSize > 0 {
		m.touchImage(j.Spec.Image, j.Spec.ImageSize)
	}
}

// touchImage notes that an image is used, as the machine's cache does: the images used least
// recently are evicted.
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

// MaxUndeliveredCommands is how many responses in a row may have no effect on a machine until
// it counts as unresponsive to commands.
const MaxUndeliveredCommands = 2

// IgnoresCommands reports whether the machine sends heartbeats and carries no command out.
// It then gets no work and is released as a lost machine is.
func (m *Machine) IgnoresCommands() bool { return m.UndeliveredCommands >= MaxUndeliveredCommands }
