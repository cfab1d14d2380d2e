package federation

import (
	"cmp"
	"math"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dunestand/internal/units"
)

// Load is what a cell's leader knows of the room in its next hours, for one team.
type Load struct {
	// CPUs are the processors of machines that work.
	CPUs units.Amount `cbor:"cpus"`
	// Coming are machines that are rented and not up yet.
	Coming []ComingMachines `cbor:"coming,omitempty"`
	// Queued is unfinished work that goes before a new job.
	Queued Work `cbor:"queued"`
	// TeamFree is what the team's limit leaves.
	TeamFree units.Amount `cbor:"free"`
	// Fetch is how long a machine takes to fetch the job's image.
	Fetch units.Micros `cbor:"fetch"`
}

// ComingMachines are processors that are expected to be up after a time.
type ComingMachines struct {
	In   units.Micros `cbor:"in"`
	CPUs units.Amount `cbor:"cpus"`
}

// Demand is what a job asks for.
type Demand struct {
	Tasks int
	CPUs  units.Amount // of each task
	Run   units.Micros // expected of each task
}

// Never is the forecast of a job that a cell cannot complete as things stand.
const Never units.Micros = math.MaxInt64

// microCPUSeconds is one Work, a thousandth of a processor for a second, in millionths of
// a processor times microseconds.
const microCPUSeconds = 1e3 * 1e6

// WorkOf gives the work of a job.
func (d Demand) WorkOf() Work {
	return Work(math.Ceil(float64(d.Tasks) * float64(d.CPUs) * float64(d.Run) / microCPUSeconds))
}

// FinishIn forecasts in how much time a new job would be complete: the machines first do
// what is queued, and then the job, as wide as its tasks and its team's limit allow, while
// machines that are coming join. Its last task takes its whole run time.
func (l *Load) FinishIn(d Demand) units.Micros {
	width := min(units.Amount(d.Tasks)*d.CPUs, l.TeamFree)
	if d.Tasks <= 0 || width < d.CPUs {
		return Never
	}
	queued := float64(l.Queued) * microCPUSeconds
	work := float64(d.Tasks) * float64(d.CPUs) * float64(d.Run)
	cpus, at := l.CPUs, units.Micros(0)
	coming := slices.SortedFunc(slices.Values(l.Coming), func(a, b ComingMachines) int { return cmp.Compare(a.In, b.In) })
	for _, step := range append(coming, ComingMachines{In: Never}) {
		span := float64(step.In - at)
		drained := min(span, duration(queued, cpus))
		queued -= drained * float64(cpus)
		rate := min(cpus, width)
		if took := duration(work, rate); cpus >= d.CPUs && drained+took <= span {
			return l.atLeast(at+units.Micros(drained+took), d)
		}
		if cpus >= d.CPUs {
			work -= (span - drained) * float64(rate)
		}
		cpus, at = cpus+step.CPUs, step.In
	}
	return Never
}

// atLeast adds the image's fetch; no job ends sooner than one of its tasks.
func (l *Load) atLeast(end units.Micros, d Demand) units.Micros { return max(end, d.Run) + l.Fetch }

func duration(work float64, cpus units.Amount) float64 {
	if work <= 0 {
		return 0
	}
	if cpus <= 0 {
		return math.Inf(1)
	}
	return work / float64(cpus)
}

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
	// Here is the forecast of its own cell.
	Here units.Micros
	// Due is in how much time it is to be complete.
	Due units.Micros
	// Moved is how often it was handed over; Visited are the cells that had it.
	Moved   int
	Visited []string
}

// staleOffer is the age from which an offer is not relied on.
const staleOffer = 15 * units.Second

// Choose gives the cell that a job is to be handed to, "" if it is to stay: it stays while
// its own cell is expected to complete it in time, and where no other is expected to, sooner
// by the margin. A job never goes to a cell that had it, and moves a bounded number of times.
func (c *Cells) Choose(job Candidate, offers []Offer) string {
	if job.Here <= job.Due || job.Moved >= c.Moves {
		return ""
	}
	best, bestFinish := "", Never
	for _, offer := range offers {
		if offer.Cell == c.Self || slices.Contains(job.Visited, offer.Cell) || offer.Age > staleOffer {
			continue
		}
		if offer.Free < job.Demand.WorkOf() {
			continue
		}
		finish := offer.Load.FinishIn(job.Demand)
		if finish > job.Due || finish > job.Here-c.Margin {
			continue
		}
		if finish < bestFinish || finish == bestFinish && offer.Cell < best {
			best, bestFinish = offer.Cell, finish
		}
	}
	return best
}

// DueIn is in how much time a job is to be complete: at the hour of the cells file, or at
// its own deadline, 0 if it has none, where that is sooner. now is the time of day.
func (c *Cells) DueIn(now, deadlineIn units.Micros) units.Micros {
	const hour, day = 3600 * units.Second, 24 * 3600 * units.Second
	due := (units.Micros(c.CompleteBy)*hour - now%day + day) % day
	if due == 0 {
		due = day
	}
	if deadlineIn != 0 {
		due = min(due, deadlineIn)
	}
	return due
}

// Estimates corrects owners' estimates by what tasks took, by class.
type Estimates struct {
	ratios map[string]*hdrhistogram.Histogram
}

// The ratios of run time to estimate are kept in thousandths, from a tenth to tenfold.
const (
	exactRatio      = 1000
	leastRatio      = 100
	mostRatio       = 10_000
	ratioDigits     = 3
	ratioQuantile   = 80
	ratiosUntilUsed = 10
)

// NewEstimates begins without any task seen.
func NewEstimates() *Estimates { return &Estimates{ratios: map[string]*hdrhistogram.Histogram{}} }

// Note takes in that a task of a class took so long.
func (e *Estimates) Note(class string, estimate, took units.Micros) {
	if estimate <= 0 || took <= 0 {
		return
	}
	h := e.ratios[class]
	if h == nil {
		h = hdrhistogram.New(1, mostRatio, ratioDigits)
		e.ratios[class] = h
	}
	ratio := float64(took) / float64(estimate) * exactRatio
	_ = h.RecordValue(int64(min(max(ratio, leastRatio), mostRatio))) // within its range
}

// Expected gives the run time that four in five tasks of a class keep.
func (e *Estimates) Expected(class string, estimate units.Micros) units.Micros {
	h := e.ratios[class]
	if h == nil || h.TotalCount() < ratiosUntilUsed {
		return estimate
	}
	return estimate.Share(h.ValueAtQuantile(ratioQuantile), exactRatio)
}
