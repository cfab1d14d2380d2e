package cluster

import (
	"cmp"
	"slices"

	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// Machine is a machine that sent a heartbeat, is listed by the cloud, or was requested from
// the cloud. Its times are steady times. The mutex of its State guards it.
type Machine struct {
	ID           string
	InstanceType string
	Zone         string
	Spot         bool
	Endpoint     string // as listed by the cloud
	Capacity     units.Resources
	ImageCache   units.Amount // bytes
	Usage
	Attempts map[AttemptKey]*Attempt
	Ended    int // number of ended tasks in its last heartbeat

	Registered   bool   // it has sent a heartbeat to this leader
	FencingToken uint64 // the highest that its worker had received by its last heartbeat
	Incarnation  uint64 // agent incarnation of its last heartbeat
	Sequence     uint64 // of its last heartbeat in that incarnation
	// LastHeartbeat is the time at which its last acknowledged heartbeat arrived.
	LastHeartbeat       units.Micros
	LastCommand         SentCommand  // in the last response
	UndeliveredCommands int          // consecutive responses that had no effect
	UndeliveredAt       units.Micros // when the last of these was detected, or its incarnation began
	TerminatesAt        units.Micros // when the cloud terminates it, 0 without a notice
	Quarantined         bool         // faulty: gets no work and is released
	Slow                bool         // runs tasks slower than other machines run tasks of the same job
	BlockedUntil        units.Micros // no task is placed before: it rejected a start for lack of capacity, so Used is wrong

	Stage        protocol.MachineStage // as listed by the cloud
	LaunchedAt   units.Micros
	IdleSince    units.Micros
	Releasing    bool
	failedJobs   map[string]bool // IDs of jobs that failed here since the last success
	slowness     float64         // moving mean of log2(run time / mean run time of the job)
	comparedRuns int
	images       []image // from the least to the most recently used
	imageBytes   units.Amount
}

// CapacityOf returns the capacity of a machine of an instance type.
func CapacityOf(t protocol.InstanceType) units.Resources {
	return units.Resources{
		CPU:    units.AmountOf(t.CPUs),
		GPU:    units.AmountOf(t.GPUs),
		Memory: units.AmountOf(t.MemoryGB),
	}
}

// SortedAttempts returns the machine's attempts ordered by job ID and task index.
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

// AttemptKey identifies an attempt on its machine.
type AttemptKey struct {
	Job    string
	Index  int
	Number uint64
}

// SentCommand is the first command in a response to a machine's heartbeat.
type SentCommand struct {
	Pending bool // no later heartbeat has shown whether it arrived
	Verb    protocol.Verb
	Key     AttemptKey
}

type image struct {
	name string
	size units.Amount
}

// setInstanceType sets the capacity and image cache of the machine's instance type, if the
// type is known.
func (m *Machine) setInstanceType(types map[string]protocol.InstanceType) {
	if t, ok := types[m.InstanceType]; ok {
		m.Capacity, m.ImageCache = CapacityOf(t), units.AmountOf(t.CacheGB)
	}
}

// Free returns the capacity that no attempt has requested. It is negative where attempts
// request more than the capacity.
func (m *Machine) Free() units.Resources { return m.Capacity.Plus(m.Used, -1) }

// HasImage reports whether the machine's image cache is expected to contain an image.
func (m *Machine) HasImage(name string) bool {
	return slices.ContainsFunc(m.images, func(i image) bool { return i.name == name })
}

// RecordImage records that the machine has used a job's image.
func (m *Machine) RecordImage(j *Job) {
	if j.Spec.ImageSize > 0 {
		m.touchImage(j.Spec.Image, j.Spec.ImageSize)
	}
}

// touchImage mirrors a use of an image in the machine's cache, which evicts the least recently
// used images.
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

// MaxUndeliveredCommands is the number of consecutive responses without effect after which a
// machine counts as unresponsive to commands.
const MaxUndeliveredCommands = 2

// IgnoresCommands reports whether the machine sends heartbeats but executes no commands. Such
// a machine gets no work and is released like a lost machine.
func (m *Machine) IgnoresCommands() bool { return m.UndeliveredCommands >= MaxUndeliveredCommands }
