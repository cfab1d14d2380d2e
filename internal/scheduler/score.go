package scheduler

import (
	"cmp"
	"slices"

	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// candidate is a machine that has room for a job; the largest key goes first.
type candidate struct {
	machine int
	key     [7]int64
}

// rankCandidates lists the machines that have room for the job, the best
// first.
func (p *planner) rankCandidates(j *JobView) []candidate {
	p.candidates = p.candidates[:0]
	for k := range p.snapshot.Machines {
		m := &p.snapshot.Machines[k]
		if m.Reserved || m.freeFor(j).Fits(j.Spec.Request) == 0 || !p.usable(k, j) {
			continue
		}
		c := candidate{machine: k, key: [7]int64{5: int64(m.Free.CPU), 6: -int64(m.HalfSecondsToHeartbeat)}}
		service := j.Spec.Kind == protocol.Service
		if service {
			// Replicas go to different zones, then to different machines.
			c.key[0], c.key[1] = -int64(j.LiveByZone[m.Zone]), -int64(j.LiveByMachine[k])
		}
		if !m.Slow {
			c.key[2] = 1
		}
		switch {
		case m.HasImage(j.Spec.Image):
			// Many may hold it, in a large fleet with room: the soonest reached.
			c.key[3], c.key[5], c.key[6] = 1, c.key[6], c.key[5]
		case service:
			// Each second counts: the one on which the replica is up soonest.
			c.key[5], c.key[6] = -m.startDelay(j.Spec.ImageSize), c.key[5]
		}
		if m.HeartbeatPending {
			c.key[4] = 1
		}
		p.candidates = append(p.candidates, c)
	}
	slices.SortFunc(p.candidates, func(a, b candidate) int {
		return cmp.Or(-slices.Compare(a.key[:], b.key[:]), cmp.Compare(a.machine, b.machine))
	})
	return p.candidates
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
