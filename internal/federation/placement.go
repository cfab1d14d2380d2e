package federation

import (
	"slices"

	"dunestand/internal/units"
)

// Offer is the latest report of another cell about its load and capacity.
type Offer struct {
	Cell string
	Load Load
	// Free is the unreserved capacity of the cell.
	Free Work
	// Age is an upper bound on the time since the offer was sent.
	Age units.Micros
}

// maxOfferAge is the age beyond which an offer is ignored: the cell may have reserved its
// capacity for other cells since then, or may be partitioned.
const maxOfferAge = 15 * units.Second

// Candidate is a job considered for a transfer.
type Candidate struct {
	Demand Demand
	// LocalCompletion is the forecast time until its own cell completes the job.
	LocalCompletion units.Micros
	// TimeToDeadline is the time until the job should be complete.
	TimeToDeadline units.Micros
	// Moves is the number of transfers of the job so far. Visited lists the cells that have
	// held the job.
	Moves   int
	Visited []string
}

// ChooseTarget returns the cell to which a job should be transferred, or "" if it should stay.
// A job is transferred only if its own cell is not expected to meet the deadline, and another
// cell is expected to meet it and to complete the job sooner by at least Margin. A job is not
// transferred to a cell that it has visited, nor more than MaxMoves times. Of several cells,
// the one with the earliest forecast completion is chosen, and of equal ones the first by
// name.
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

// TimeToDeadline returns the time until a job should be complete: the time until the next
// CompleteByHour, or untilDeadline if that is shorter. untilDeadline is the time until the
// job's own deadline, 0 if it has none. now is wall-clock time.
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
