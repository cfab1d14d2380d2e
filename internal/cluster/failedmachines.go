package cluster

import "dunestand/internal/units"

// FailedMachines holds the machines on which attempts of a job failed, by ID. The job avoids such a
// machine for a time that doubles with each further failure: the machine may be faulty for good or
// only for a while, and it may be the only one that fits.
type FailedMachines map[string]machineFailure

// machineFailure is the last failure of a job on a machine.
type machineFailure struct {
	avoidFor   units.Micros // after the failure
	avoidUntil units.Micros // steady time
}

// Bounds of the time for which a job avoids a machine. A job that fits nowhere else is to be retried
// well within the 90 s after which a job counts as left waiting.
const (
	minAvoidance = 15 * units.Second
	maxAvoidance = 60 * units.Second
)

// maxAvoidedMachines is the number of machines up to which a job avoids those on which its
// attempts failed. If they failed on more machines, the cause is the job rather than a machine.
const maxAvoidedMachines = 2

// add records a failure on a machine. Further failures while the machine is avoided are of attempts
// that started before, and do not prolong the time.
func (f FailedMachines) add(machine string, now units.Micros) {
	last, failedBefore := f[machine]
	if failedBefore && now < last.avoidUntil {
		return
	}
	avoidFor := min(max(2*last.avoidFor, minAvoidance), maxAvoidance)
	f[machine] = machineFailure{avoidFor: avoidFor, avoidUntil: now + avoidFor}
}

// Has reports whether an attempt failed on the machine.
func (f FailedMachines) Has(machine string) bool {
	_, failed := f[machine]
	return failed
}

// Avoided reports whether no task of the job may be placed on the machine now.
func (f FailedMachines) Avoided(machine string, now units.Micros) bool {
	return len(f) <= maxAvoidedMachines && now < f[machine].avoidUntil
}
