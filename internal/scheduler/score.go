package scheduler

import (
	"cmp"
	"slices"

	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// candidate is a machine that has room for a job's tasks.
type candidate struct {
	machine int // place in the snapshot
	score   score
}

// score says how good a machine is for a job's tasks. Its fields stand in the order in which
// they are compared, but for the last two: startDelayFirst swaps these.
type score struct {
	liveInZone       int  // the service's replicas in the zone; 0 for other jobs
	liveOnMachine    int  // and on the machine; 0 for other jobs
	slow             bool // the machine is slower than its siblings
	hasImage         bool
	heartbeatPending bool // a start reaches the machine at once
	freeCPU          units.Amount
	startDelay       int64 // half seconds until a start reaches the machine, or until the replica is up
	startDelayFirst  bool  // startDelay goes before freeCPU
}

// compare orders scores, the better one first. Scores that agree in hasImage agree in
// startDelayFirst, too, as they are of one job.
func (s *score) compare(other *score) int {
	if c := cmp.Compare(s.liveInZone, other.liveInZone); c != 0 {
		return c
	}
	if c := cmp.Compare(s.liveOnMachine, other.liveOnMachine); c != 0 {
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

// rankCandidates returns the machines that have room for the job, the best one first: the one
// that holds the image, else the one with most free capacity (docs/design.md); among several
// that hold it, the one whose heartbeat comes soonest, since starts travel with the responses,
// and then the one with most free capacity. A slow machine comes last. The slice is valid
// until the next call.
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

// scoreMachine scores a machine of the snapshot for a job.
func scoreMachine(job *JobView, machine int, m *MachineView) score {
	s := score{
		slow:             m.Slow,
		hasImage:         m.HasImage(job.Spec.Image),
		heartbeatPending: m.HeartbeatPending,
		freeCPU:          m.Free.CPU,
		startDelay:       int64(m.HalfSecondsToHeartbeat),
	}
	service := job.Spec.Kind == protocol.Service
	if service {
		// Replicas go to different zones, then to different machines.
		s.liveInZone, s.liveOnMachine = job.LiveByZone[m.Zone], job.LiveByMachine[machine]
	}
	switch {
	case s.hasImage:
		// Many may hold it, in a large fleet with free capacity: prefer the earliest heartbeat.
		s.startDelayFirst = true
	case service:
		// Each second counts: the one on which the replica is up soonest.
		s.startDelayFirst, s.startDelay = true, m.startDelay(job.Spec.ImageSize)
	}
	return s
}

// maxPushDelay is how long a replica's start takes to reach its machine, in half seconds: a
// push makes the machine send a heartbeat (package push).
const maxPushDelay = 1

// startDelay returns when a replica with an image of that size would run on the machine, in
// half seconds from now, image fetch included.
func (m *MachineView) startDelay(image units.Amount) int64 {
	delay := min(int64(m.HalfSecondsToHeartbeat), maxPushDelay)
	if m.FetchRate <= 0 {
		return delay
	}
	return delay + int64(2*image/m.FetchRate) // half seconds
}
