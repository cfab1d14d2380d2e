package cluster

import (
	"cmp"
	"slices"

	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// SetInstanceTypes adds the types of the cloud's catalog and sets the capacity of the machines
// that have one of them.
func (s *State) SetInstanceTypes(types []protocol.InstanceType) {
	for _, t := range types {
		s.InstanceTypes[t.Name] = t
	}
	for _, m := range s.Machines {
		m.setInstanceType(s.InstanceTypes)
	}
}

// EnsureMachine returns the machine of that ID, which it adds if it is not known.
func (s *State) EnsureMachine(id, instanceType, zone string, spot bool, now units.Micros) *Machine {
	m := s.Machines[id]
	if m == nil {
		m = &Machine{
			ID:           id,
			InstanceType: instanceType,
			Zone:         zone,
			Spot:         spot,
			LaunchedAt:   now,
			IdleSince:    now,
			Attempts:     map[AttemptKey]*Attempt{},
			failedJobs:   map[string]bool{},
		}
		s.Machines[id] = m
		i, _ := findMachine(s.sortedMachines, id)
		s.sortedMachines = slices.Insert(s.sortedMachines, i, m)
		m.setInstanceType(s.InstanceTypes)
	}
	return m
}

// findMachine returns where a machine is, or belongs, in a list ordered by ID.
func findMachine(sorted []*Machine, id string) (int, bool) {
	return slices.BinarySearchFunc(sorted, id, func(m *Machine, id string) int { return cmp.Compare(m.ID, id) })
}

// SortedMachines returns the machines in the order of their IDs. It is the state's own
// list, to be read only and under the state's lock.
func (s *State) SortedMachines() []*Machine { return s.sortedMachines }

// RemoveMachine removes a machine that is certainly gone, with its attempts.
func (s *State) RemoveMachine(m *Machine, now units.Micros) {
	s.MachineEmptied(m, now)
	s.Unreconciled.Resolve(m.ID)
	delete(s.Machines, m.ID)
	if i, ok := findMachine(s.sortedMachines, m.ID); ok {
		s.sortedMachines = slices.Delete(s.sortedMachines, i, i+1)
	}
}

// MachineEmptied removes the machine's attempts: none of them is there any more.
func (s *State) MachineEmptied(m *Machine, now units.Micros) {
	for _, a := range m.SortedAttempts() {
		s.AttemptGone(a, now)
	}
}

// HoldsCancelled reports whether a machine may hold tasks of a cancelled job.
func (s *State) HoldsCancelled(id string) bool {
	if m := s.Machines[id]; m != nil {
		if m.MayHoldCancelled {
			return true
		}
		for _, a := range m.Attempts {
			if a.Job.Cancelled {
				return true
			}
		}
	}
	return s.Unreconciled.holdsCancelled(id)
}
