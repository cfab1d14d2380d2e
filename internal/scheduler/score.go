package scheduler

import (
	"cmp"
	"slices"

	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// candidate is a machine on which at least one of a job's tasks fits.
type candidate struct {
	machine int // index in Snapshot.Machines
	score   score
}

// score rates a machine for a job's tasks. The fields are listed in the order in which they
// are compared; startDelayFirst swaps freeCPU and startDelay.
type score struct {
	liveInZone       int  // the service's replicas in the zone; 0 for other jobs
	liveOnMachine    int  // the service's replicas on the machine; 0 for other jobs
	failed           bool // a task of the job has failed on the machine
	slow             bool // the machine runs tasks slower than other machines do
	hasImage         bool
	heartbeatPending bool // a start is delivered at once
	freeCPU          units.Amount
	startDelay       int64 // half seconds until a start is delivered, or until a replica runs (scoreMachine)
	startDelayFirst  bool  // compare startDelay before freeCPU
}

// compare returns a negative number if s is the better score, a positive one if other is, and
// 0 if they are equal. Both must be scores for the same job: then those with the same hasImage
// also have the same startDelayFirst.
func (s *score) compare(other *score) int {
	if c := cmp.Compare(s.liveInZone, other.liveInZone); c != 0 {
		return c
	}
	if c := cmp.Compare(s.liveOnMachine, other.liveOnMachine); c != 0 {
		return c
	}
	if c := compareBools(s.failed, other.failed); c != 0 {
		return c
	}
	if c := compareBools(s.slow, other.slow); c != 0 {
		return c
	}
	if c := -compareBools(s.hasImage, other.hasImage); c != 0 {
		return c
	}
	if c := -compareBools(s.heartbeatPending, other.heartbeatPending); c != 0 {
		return c
	}
	byFreeCPU, byStartDelay := -cmp.Compare(s.freeCPU, other.freeCPU), cmp.Compare(s.startDelay, other.startDelay)
	if s.startDelayFirst {
		return cmp.Or(byStartDelay, byFreeCPU)
	}
	return cmp.Or(byFreeCPU, byStartDelay)
}

// rankCandidates returns the machines on which at least one of the job's tasks fits, the best
// first by score.compare. Machines on which the job failed come after all others, and slow ones
// before them, except that a service's replicas are spread first. Of the others, machines that hold
// the image come first, and those with the most free capacity next (docs/design.md). Machines that
// hold the image are ordered by their next heartbeat, whose response delivers a start, and then by
// free capacity. The slice is valid until the next call.
func (p *planner) rankCandidates(job *JobView) []candidate {
	p.candidates = p.candidates[:0]
	for i := range p.snapshot.Machines {
		m := &p.snapshot.Machines[i]
		if m.Reserved || m.freeFor(job).CountFitting(job.Spec.Request) == 0 || !p.feasible(i, job) {
			continue
		}
		p.candidates = append(p.candidates, candidate{machine: i, score: scoreMachine(job, i, m)})
	}
	slices.SortFunc(p.candidates, func(a, b candidate) int {
		return cmp.Or(a.score.compare(&b.score), cmp.Compare(a.machine, b.machine))
	})
	return p.candidates
}

// scoreMachine returns the score of the machine m, with the given index in the snapshot, for a
// job.
func scoreMachine(job *JobView, machine int, m *MachineView) score {
	s := score{
		failed:           job.FailedOn != nil && job.FailedOn(m.ID),
		slow:             m.Slow,
		hasImage:         m.HasImage(job.Spec.Image),
		heartbeatPending: m.HeartbeatPending,
		freeCPU:          m.Free.CPU,
		startDelay:       int64(m.HalfSecondsToHeartbeat),
	}
	service := job.Spec.Kind == protocol.Service
	if service {
		// Replicas are spread over zones first, then over machines.
		s.liveInZone, s.liveOnMachine = job.LiveByZone[m.Zone], job.LiveByMachine[machine]
	}
	switch {
	case s.hasImage:
		// In a large fleet with free capacity many machines may hold the image. The one with
		// the most free capacity may send its heartbeat seconds later than others.
		s.startDelayFirst = true
	case service:
		// A replica is to run within seconds, so image download time matters more than free
		// capacity.
		s.startDelayFirst, s.startDelay = true, m.startDelay(job.Spec.ImageSize)
	}
	return s
}

// maxPushDelay is the longest time, in half seconds, that a replica's start takes to reach its
// machine: a push makes the machine send a heartbeat at once (package push).
const maxPushDelay = 1

// startDelay returns the time until a replica would run on the machine, in half seconds,
// including the download of its image of the given size in GB.
func (m *MachineView) startDelay(image units.Amount) int64 {
	delay := min(int64(m.HalfSecondsToHeartbeat), maxPushDelay)
	if m.FetchRate <= 0 {
		return delay
	}
	return delay + int64(2*image/m.FetchRate) // half seconds
}
