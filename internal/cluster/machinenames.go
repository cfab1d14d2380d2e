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
	return r.attempts[machine] > 0 || r.unreconciled[machine]
}

// attemptGone decrements the number of the job's attempts on a machine.
func (r *jobRecords) attemptGone(machine string) {
	if r.attempts[machine]--; r.attempts[machine] == 0 {
		delete(r.attempts, machine)
	}
}

// restoreNames adds the machines that a stored record names, and marks them as unreconciled.
func (r *jobRecords) restoreNames(sh *shard, machines []string) {
	if sh.machines == nil {
		sh.machines = map[string]bool{}
	}
	for _, m := range machines {
		r.unreconciled[m] = true
		if r.shardOf[m] == nil {
			r.addName(sh, m, true)
		}
	}
}

// setNameLimits sets the maximum size of the names in each record.
func (r *jobRecords) setNameLimits(budget storage.MachineNameBudgetFunc) {
	available := budget(r.spec, r.format)
	r.main.nameLimit, r.partNameLimit = available.Main, available.Part
	for _, sh := range r.nameParts {
		sh.nameLimit = r.partNameLimit
	}
}

// addName adds a name to a record, which becomes dirty.
func (r *jobRecords) addName(sh *shard, machine string, durable bool) {
	sh.machines[machine] = durable
	sh.nameBytes += storage.MachineNameSize(machine)
	sh.dirty = true
	r.shardOf[machine] = sh
}

// dropName removes a name from its record. It does not mark the record as dirty, because a
// name that is not in use is harmless in the stored record.
func (r *jobRecords) dropName(machine string) {
	sh := r.shardOf[machine]
	delete(sh.machines, machine)
	sh.nameBytes -= storage.MachineNameSize(machine)
	delete(r.shardOf, machine)
}

// dropUnused removes the names in a record that are no longer in use.
func (r *jobRecords) dropUnused(sh *shard) {
	for _, m := range sortedNames(sh.machines) {
		if !r.inUse(m) {
			r.dropName(m)
		}
	}
}

// recordMachine adds a machine to the records unless one already names it, and reports whether
// it added the machine.
func (r *jobRecords) recordMachine(machine string) bool {
	if r.shardOf[machine] != nil {
		return false
	}
	r.addName(r.shardFor(machine), machine, false)
	return true
}

// shardFor selects the record for a new name: the one that got the last new name if it has
// space, else the record with the most space once unused names are removed. If less than a quarter
// of its space for names is free, shardFor adds a part. In FormatV1 only the main record has names.
func (r *jobRecords) shardFor(machine string) *shard {
	size := storage.MachineNameSize(machine)
	if r.format == storage.FormatV1 || r.openShard.nameBytes+size <= r.openShard.nameLimit {
		return r.openShard
	}
	best := r.shardWithMostSpace()
	if free := best.nameLimit - best.nameBytes; free < size || free < best.nameLimit/4 {
		best = r.newNamePart()
	}
	r.openShard = best
	return best
}

// shardWithMostSpace removes the unused names from all records, and returns the record with the
// most space for names.
func (r *jobRecords) shardWithMostSpace() *shard {
	best := r.main
	for n := 0; n <= len(r.nameParts); n++ {
		sh := r.main
		if n > 0 {
			sh = r.nameParts[n]
		}
		if sh == nil {
			continue
		}
		r.dropUnused(sh)
		if sh.nameLimit-sh.nameBytes > best.nameLimit-best.nameBytes {
			best = sh
		}
	}
	return best
}

// newNamePart adds a part for names with the lowest free number.
func (r *jobRecords) newNamePart() *shard {
	n := 1
	for r.nameParts[n] != nil {
		n++
	}
	sh := &shard{
		key:       storage.KeyJobPart(r.spec.ID, storage.PartMachineNames, n),
		machines:  map[string]bool{},
		nameLimit: r.partNameLimit,
	}
	r.nameParts[n] = sh
	return sh
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
		r.addName(r.shardFor(m), m, durable)
	}
}

// hasSpaceFor reports whether a record names the machine or has space for its name. From
// FormatV2 on there is always space, because parts can be added.
func (r *jobRecords) hasSpaceFor(machine string) bool {
	return r.format != storage.FormatV1 || r.main.nameBytes+storage.MachineNameSize(machine) <= r.main.nameLimit || r.shardOf[machine] != nil
}

// isDurable reports whether a stored record names the machine and no later write omits the name.
func (r *jobRecords) isDurable(machine string) bool {
	sh := r.shardOf[machine]
	return sh != nil && sh.machines[machine]
}

// namesToWrite returns the machines that the next write of a record names: those in use.
func (r *jobRecords) namesToWrite(sh *shard) []string {
	var out []string
	for m := range sh.machines {
		if r.inUse(m) {
			out = append(out, m)
		}
	}
	slices.Sort(out)
	return out
}

func sortedNames(machines map[string]bool) []string { return slices.Sorted(maps.Keys(machines)) }
