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

// rankCandidates lists the machines that have room for the job, the best
// first.
func (p *planner) rankCandidates(j *JobView) []candidate {
	p.candidates = p.candidates[:0]
	for k := range p.snapshot.Machines {
		m := &p.snapshot.Machines[k]
		if m.Reserved || m.freeFor(j).Fits(j.Spec.Request) == 0 || !p.feasible(k, j) {
			continue
		}
		p.candidates = append(p.candidates, candidate{machine: k, score: scoreMachine(j, k, m)})
	}
	slices.SortFunc(p.candidates, func(a, b candidate) int {
		return cmp.Or(a.score.compare(&b.score), cmp.Compare(a.machine, b.machine))
	})
	return p.candidates
}

// scoreMachine scores machine k of the snapshot for a job.
func scoreMachine(j *JobView, k int, m *MachineView) score {
	s := score{
		slow:             m.Slow,
		hasImage:         m.HasImage(j.Spec.Image),
		heartbeatPending: m.HeartbeatPending,
		freeCPU:          m.Free.CPU,
		startDelay:       int64(m.HalfSecondsToHeartbeat),
	}
	service := j.Spec.Kind == protocol.Service
	if service {
		// Replicas go to different zones, then to different machines.
		s.liveInZone, s.liveOnMachine = j.LiveByZone[m.Zone], j.LiveByMachine[k]
	}
	switch {
	case s.hasImage:
		// Many may hold it, in a large fleet with room: the soonest reached.
		s.startDelayFirst = true
	case service:
		// Each second counts: the one on which the replica is up soonest.
		s.startDelayFirst, s.startDelay = true, m.startDelay(j.Spec.ImageSize)
	}
	return s
}

// startDelay is when a task with an image of that size would run on the machine, in
// half seconds, image fetch included.
func (m *MachineView) startDelay(image units.Amount) int64 {
	wait := min(int64(m.HalfSecondsToHeartbeat), 1) // it is woken
	if m.FetchRate <= 0 {
		return wait
	}
	return wait + int64(2*image/m.FetchRate)
}
