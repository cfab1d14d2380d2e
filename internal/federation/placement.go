package federation

import (
	"slices"

	"dunestand/internal/units"
)

// Offer is what another cell has last said of itself.
type Offer struct {
	Cell string
	Load Load
	// Free is the capacity that it can still reserve.
	Free Work
	// Age is how long ago the offer was sent, at the most.
	Age units.Micros
}

// maxOfferAge is the age beyond which an offer is not relied on: the cell may have reserved
// its capacity for others since, or be partitioned.
const maxOfferAge = 15 * units.Second

// Candidate is a job that may be handed over.
type Candidate struct {
	Demand Demand
	// LocalCompletion is after how much time its own cell is expected to complete it.
	LocalCompletion units.Micros
	// TimeToDeadline is after how much time it is to be complete.
	TimeToDeadline units.Micros
	// Moves is how often it was handed over; Visited are the cells that have had it.
	Moves   int
	Visited []string
}

// ChooseTarget returns the cell that a job is to be handed to, "" if it is to stay. It stays
// while its own cell is expected to complete it in time, and unless another cell is expected
// to, and sooner by the margin. A job never returns to a cell that has had it, and moves a
// bounded number of times. Of equal offers the cell that comes first by name is chosen.
func (c *Config) ChooseTarget(job Candidate, offers []Offer) string {
	if job.LocalCompletion <= job.TimeToDeadline || job.Moves >= c.MaxMoves {
		return ""
	}
	best, bestCompletion := "", Never
	for _, offer := range offers {
		if offer.Cell == c.Self || slices.Contains(job.Visited, offer.Cell) || offer.Age > maxOfferAge {
			continue
		}
		if offer.Free < job.Demand.Work() {
			continue
		}
		completion := offer.Load.TimeToComplete(job.Demand)
		if completion > job.TimeToDeadline || completion > job.LocalCompletion-c.Margin {
			continue
		}
		if completion < bestCompletion || completion == bestCompletion && offer.Cell < best {
			best, bestCompletion = offer.Cell, completion
		}
	}
	return best
}

// TimeToDeadline returns after how much time a job is to be complete: at the next
// CompleteByHour, or after untilDeadline if that is sooner and not 0, which stands for a job
// without a deadline. now is wall-clock time.
func (c *Config) TimeToDeadline(now, untilDeadline units.Micros) units.Micros {
	const hour, day = 3600 * units.Second, 24 * 3600 * units.Second
	left := (units.Micros(c.CompleteByHour)*hour - now%day + day) % day
	if left == 0 {
		left = day
	}
	if untilDeadline != 0 {
		left = min(left, untilDeadline)
	}
	return left
}
