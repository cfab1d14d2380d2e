package cluster

import (
	"cmp"
	"slices"

	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// SetInstanceTypes adds the instance types of the cloud's catalog and updates the capacity of
// the machines of these types.
func (s *State) SetInstanceTypes(types []protocol.InstanceType) {
	for _, t := range types {
		s.InstanceTypes[t.Name] = t
	}
	for _, m := range s.Machines {
		m.setInstanceType(s.InstanceTypes)
	}
}

// EnsureMachine returns the machine with the given ID. It adds the machine if it is unknown;
// otherwise it ignores the other arguments.
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

// findMachine returns the position of a machine in a list ordered by ID, or the position at
// which to insert it, and whether the list contains it.
func findMachine(sorted []*Machine, id string) (int, bool) {
	return slices.BinarySearchFunc(sorted, id, func(m *Machine, id string) int { return cmp.Compare(m.ID, id) })
}

// SortedMachines returns the machines ordered by ID. The state owns the list: callers must not
// modify it, and may read it only while they hold the state's mutex.
func (s *State) SortedMachines() []*Machine { return s.sortedMachines }

// RemoveMachine removes a machine that is known to be gone, and its attempts.
func (s *State) RemoveMachine(m *Machine, now units.Micros) {
	s.RemoveAttempts(m, now)
	s.MachineGone(m.ID)
	delete(s.Machines, m.ID)
	if i, ok := findMachine(s.sortedMachines, m.ID); ok {
		s.sortedMachines = slices.Delete(s.sortedMachines, i, i+1)
	}
}

// MachineGone records that nothing is left of a machine's tasks. The machine may be unknown except for
// its name in records.
func (s *State) MachineGone(id string) {
	s.Unreconciled.Resolve(id)
	s.Expired.Resolve(id)
}

// ExpireLease removes the attempts of a machine whose worker lease has expired. If the machine hangs, it
// may still hold the tasks whose starts were sent to it.
func (s *State) ExpireLease(m *Machine, now units.Micros) {
	for _, a := range m.SortedAttempts() {
		if a.Stage != Assigned && s.Jobs[a.Job.Spec.ID] == a.Job {
			s.Expired.Mark(a.Job, m.ID)
		}
		s.RemoveAttempt(a, now)
	}
}

// RemoveAttempts removes all attempts of a machine that is known to run none of them.
func (s *State) RemoveAttempts(m *Machine, now units.Micros) {
	for _, a := range m.SortedAttempts() {
		s.RemoveAttempt(a, now)
	}
}

// HoldsCancelled reports whether the machine with the given ID may hold tasks of a cancelled
// job.
func (s *State) HoldsCancelled(id string) bool {
	if m := s.Machines[id]; m != nil {
		for _, a := range m.Attempts {
			if a.Job.Cancelled {
				return true
			}
		}
	}
	return s.Unreconciled.holdsCancelled(id) || s.Expired.holdsCancelled(id)
}
