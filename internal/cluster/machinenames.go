package cluster

import (
	"maps"
	"slices"

	"dunestand/internal/storage"
)

// A job's records name every machine that may hold one of its tasks, so that a later leader
// reconciles these machines. A name is added before a task starts on the machine, and omitted
// from writes once it is no longer in use.

// inUse reports whether a machine may hold a task of the job.
func (r *jobRecords) inUse(machine string) bool {
	return r.attempts[machine] > 0 || r.unreconciled[machine] || r.expired[machine]
}

// attemptGone decrements the number of the job's attempts on a machine.
func (r *jobRecords) attemptGone(machine string) {
	if r.attempts[machine]--; r.attempts[machine] == 0 {
		delete(r.attempts, machine)
	}
}

// restoreNames adds the machines that a stored record names, and marks them as unreconciled.
func (r *jobRecords) restoreNames(record *recordState, machines []string) {
	if record.machines == nil {
		record.machines = map[string]bool{}
	}
	for _, m := range machines {
		r.unreconciled[m] = true
		if r.recordOf[m] == nil {
			r.addName(record, m, true)
		}
	}
}

// setNameLimits sets the maximum size of the names in each record.
func (r *jobRecords) setNameLimits(budget storage.MachineNameBudgetFunc) {
	available := budget(r.spec, r.format)
	r.main.nameLimit, r.partNameLimit = available.Main, available.Part
	for _, record := range r.nameParts {
		record.nameLimit = r.partNameLimit
	}
}

// addName adds a name to a record, which becomes dirty.
func (r *jobRecords) addName(record *recordState, machine string, durable bool) {
	record.machines[machine] = durable
	record.nameBytes += storage.MachineNameSize(machine)
	record.dirty = true
	r.recordOf[machine] = record
}

// dropName removes a name from its record. It does not mark the record as dirty, because a
// name that is not in use is harmless in the stored record.
func (r *jobRecords) dropName(machine string) {
	record := r.recordOf[machine]
	delete(record.machines, machine)
	record.nameBytes -= storage.MachineNameSize(machine)
	delete(r.recordOf, machine)
}

// dropUnused removes the names in a record that are no longer in use.
func (r *jobRecords) dropUnused(record *recordState) {
	for _, m := range sortedNames(record.machines) {
		if !r.inUse(m) {
			r.dropName(m)
		}
	}
}

// recordMachine adds a machine to the records unless one already names it, and reports whether
// it added the machine.
func (r *jobRecords) recordMachine(machine string) bool {
	if r.recordOf[machine] != nil {
		return false
	}
	r.addName(r.recordFor(machine), machine, false)
	return true
}

// recordFor selects the record for a new name: the one that got the last new name if it has
// space, else the record with the most space once unused names are removed. If less than a quarter
// of its space for names is free, recordFor adds a part. In FormatV1 only the main record has names.
func (r *jobRecords) recordFor(machine string) *recordState {
	size := storage.MachineNameSize(machine)
	if r.format == storage.FormatV1 || r.openRecord.nameBytes+size <= r.openRecord.nameLimit {
		return r.openRecord
	}
	best := r.recordWithMostSpace()
	if free := best.nameLimit - best.nameBytes; free < size || free < best.nameLimit/4 {
		best = r.newNamePart()
	}
	r.openRecord = best
	return best
}

// recordWithMostSpace removes the unused names from all records, and returns the record with the
// most space for names.
func (r *jobRecords) recordWithMostSpace() *recordState {
	best := r.main
	for n := 0; n <= len(r.nameParts); n++ {
		record := r.main
		if n > 0 {
			record = r.nameParts[n]
		}
		if record == nil {
			continue
		}
		r.dropUnused(record)
		if record.nameLimit-record.nameBytes > best.nameLimit-best.nameBytes {
			best = record
		}
	}
	return best
}

// newNamePart adds a part for names with the lowest free number.
func (r *jobRecords) newNamePart() *recordState {
	n := 1
	for r.nameParts[n] != nil {
		n++
	}
	record := &recordState{
		key:       storage.KeyJobPart(r.spec.ID, storage.PartMachineNames, n),
		machines:  map[string]bool{},
		nameLimit: r.partNameLimit,
	}
	r.nameParts[n] = record
	return record
}

// moveExcessNames moves the names that do not fit into the main record to parts.
func (r *jobRecords) moveExcessNames() {
	var excess []string
	kept := 0
	for _, m := range sortedNames(r.main.machines) {
		if !r.inUse(m) {
			r.dropName(m)
		} else if kept += storage.MachineNameSize(m); kept > r.main.nameLimit {
			excess = append(excess, m)
		}
	}
	for _, m := range excess {
		durable := r.main.machines[m]
		r.dropName(m)
		r.addName(r.recordFor(m), m, durable)
	}
}

// hasSpaceFor reports whether a record names the machine or has space for its name. From
// FormatV2 on there is always space, because parts can be added.
func (r *jobRecords) hasSpaceFor(machine string) bool {
	return r.format != storage.FormatV1 || r.main.nameBytes+storage.MachineNameSize(machine) <= r.main.nameLimit || r.recordOf[machine] != nil
}

// newMachineName has the length of the names that the cloud gives to machines.
const newMachineName = "i-000000"

// isDurable reports whether a stored record names the machine and no later write omits the name.
func (r *jobRecords) isDurable(machine string) bool {
	record := r.recordOf[machine]
	return record != nil && record.machines[machine]
}

// namesToWrite returns the machines that the next write of a record names: those in use.
func (r *jobRecords) namesToWrite(record *recordState) []string {
	var out []string
	for m := range record.machines {
		if r.inUse(m) {
			out = append(out, m)
		}
	}
	slices.Sort(out)
	return out
}

func sortedNames(machines map[string]bool) []string { return slices.Sorted(maps.Keys(machines)) }
