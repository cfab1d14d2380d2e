package cluster

import (
	"maps"
	"slices"

	"dunestand/internal/storage"
)

// A job's records name every machine that may hold one of its tasks, so that a later leader
// asks there. Names are added before a start and left out of later writes once they are not
// in use any more.

// inUse reports whether a machine may hold a task of the job.
func (r *jobRecords) inUse(machine string) bool {
	return r.attempts[machine] > 0 || r.unreconciled[machine]
}

// attemptGone counts down the job's attempts on a machine.
func (r *jobRecords) attemptGone(machine string) {
	if r.attempts[machine]--; r.attempts[machine] == 0 {
		delete(r.attempts, machine)
	}
}

// restoreNames adds the names that were read from a record.
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

// setNameLimits sets the space for names in each record.
func (r *jobRecords) setNameLimits(budget storage.NameBudgetFunc) {
	available := budget(r.spec, r.format)
	r.main.nameLimit, r.partNameLimit = available.Main, available.Part
	for _, sh := range r.nameParts {
		sh.nameLimit = r.partNameLimit
	}
}

func (r *jobRecords) addName(sh *shard, machine string, durable bool) {
	sh.machines[machine] = durable
	sh.nameBytes += storage.NameSize(machine)
	sh.dirty = true
	r.shardOf[machine] = sh
}

// dropName removes a name. The record that holds it need not be written for that.
func (r *jobRecords) dropName(machine string) {
	sh := r.shardOf[machine]
	delete(sh.machines, machine)
	sh.nameBytes -= storage.NameSize(machine)
	delete(r.shardOf, machine)
}

// dropUnused removes the names in a record that are not in use any more.
func (r *jobRecords) dropUnused(sh *shard) {
	for _, m := range sortedNames(sh.machines) {
		if !r.inUse(m) {
			r.dropName(m)
		}
	}
}

// recordMachine adds a machine to the records to be written, and reports whether it was
// missing there.
func (r *jobRecords) recordMachine(machine string) bool {
	if r.shardOf[machine] != nil {
		return false
	}
	r.addName(r.shardFor(machine), machine, false)
	return true
}

// shardFor chooses a record for a new name: the one that got the last, else one
// in which names that are not needed any more leave space, else a new part.
func (r *jobRecords) shardFor(machine string) *shard {
	size := storage.NameSize(machine)
	if r.format == storage.FormatOld || r.openShard.nameBytes+size <= r.openShard.nameLimit {
		return r.openShard
	}
	best := r.emptiestShard()
	if free := best.nameLimit - best.nameBytes; free < size || free < best.nameLimit/4 {
		best = r.newNamePart()
	}
	r.openShard = best
	return best
}

// emptiestShard returns the record with the most space for names, after those not in use
// have been removed from all of them.
func (r *jobRecords) emptiestShard() *shard {
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

// newNamePart adds a further record for names, with the lowest free number.
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

// moveExcessNames moves the names that the job's own record has no space for to others.
func (r *jobRecords) moveExcessNames() {
	var excess []string
	kept := 0
	for _, m := range sortedNames(r.main.machines) {
		if !r.inUse(m) {
			r.dropName(m)
		} else if kept += storage.NameSize(m); kept > r.main.nameLimit {
			excess = append(excess, m)
		}
	}
	for _, m := range excess {
		durable := r.main.machines[m]
		r.dropName(m)
		r.addName(r.shardFor(m), m, durable)
	}
}

// hasSpaceFor reports whether a machine is named, or can be. In the new format there is
// always space, in a new part if need be.
func (r *jobRecords) hasSpaceFor(machine string) bool {
	return r.format != storage.FormatOld || r.main.nameBytes+storage.NameSize(machine) <= r.main.nameLimit || r.shardOf[machine] != nil
}

// isDurable reports whether a stored record names the machine and goes on to.
func (r *jobRecords) isDurable(machine string) bool {
	sh := r.shardOf[machine]
	return sh != nil && sh.machines[machine]
}

// namesToWrite returns the machines that a record is to name.
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
