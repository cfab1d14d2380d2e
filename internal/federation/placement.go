package federation

import (
	"slices"

	"dunestand/internal/units"
)

// Offer is what another cell said of itself last.
type Offer struct {
	Cell string
	Load Load
	// Free is what it can still promise.
	Free Work
	// Age is how long ago it was sent, at the most.
	Age units.Micros
}

// Candidate is a job that may be handed over.
type Candidate struct {
	Demand Demand
	// LocalCompletion is the forecast of its own cell.
	LocalCompletion units.Micros
	// TimeToDeadline is in how much time it is to be complete.
	TimeToDeadline units.Micros
	// Moves is how often it was handed over; Visited are the cells that had it.
	Moves   int
	Visited []string
}

// maxOfferAge is the age from which an offer is not relied on.
const maxOfferAge = 15 * units.Second

// ChooseTarget gives the cell that a job is to be handed to, "" if it is to stay: it stays while
// its own cell is expected to complete it in time, and where no other is expected to, sooner
// by the margin. A job never goes to a cell that had it, and moves a bounded number of times.
func (c *Config) ChooseTarget(job Candidate, offers []Offer) string {
	if job.LocalCompletion <= job.TimeToDeadline || job.Moves >= c.MaxMoves {
		return ""
	}
	best, bestFinish := "", Never
	for _, offer := range offers {
		if offer.Cell == c.Self || slices.Contains(job.Visited, offer.Cell) || offer.Age > maxOfferAge {
			continue
		}
		if offer.Free < job.Demand.Work() {
			continue
		}
		finish := offer.Load.TimeToComplete(job.Demand)
		if finish > job.TimeToDeadline || finish > job.LocalCompletion-c.Margin {
			continue
		}
		if finish < bestFinish || finish == bestFinish && offer.Cell < best {
			best, bestFinish = offer.Cell, finish
		}
	}
	return best
}

// TimeToDeadline is in how much time a job is to be complete: at the hour of the cells file, or at
// its own deadline, 0 if it has none, where that is sooner. now is the time of day.
func (c *Config) TimeToDeadline(now, deadlineIn units.Micros) units.Micros {
	const hour, day = 3600 * units.Second, 24 * 3600 * units.Second
	due := (units.Micros(c.CompleteByHour)*hour - now%day + day) % day
	if due == 0 {
		due = day
	}
	if deadlineIn != 0 {
		due = min(due, deadlineIn)
	}
	return due
}
