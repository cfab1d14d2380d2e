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
	// Provisioning are machines that are rented and not up yet.
	Provisioning []ProvisioningCapacity `cbor:"coming,omitempty"`
	// Queued is unfinished work that goes before a new job.
	Queued Work `cbor:"queued"`
	// QuotaFree is what the team's limit leaves.
	QuotaFree units.Amount `cbor:"free"`
	// ImageFetch is how long a machine takes to fetch the job's image.
	ImageFetch units.Micros `cbor:"fetch"`
}

// ProvisioningCapacity are processors that are expected to be up after a time.
type ProvisioningCapacity struct {
	ReadyIn units.Micros `cbor:"in"`
	CPUs    units.Amount `cbor:"cpus"`
}

// Demand is what a job asks for.
type Demand struct {
	Tasks   int
	CPUs    units.Amount // of each task
	RunTime units.Micros // expected of each task
}

// Never is the forecast of a job that a cell cannot complete as things stand.
const Never units.Micros = math.MaxInt64

// workUnit is one Work, a thousandth of a processor for a second, in millionths of
// a processor times microseconds.
const workUnit = 1e3 * 1e6

// Work gives the work of a job.
func (d Demand) Work() Work {
	return Work(math.Ceil(float64(d.Tasks) * float64(d.CPUs) * float64(d.RunTime) / workUnit))
}

// TimeToComplete forecasts in how much time a new job would be complete: the machines first do
// what is queued, and then the job, as wide as its tasks and its team's limit allow, while
// machines that are coming join. Its last task takes its whole run time.
func (l *Load) TimeToComplete(d Demand) units.Micros {
	width := min(units.Amount(d.Tasks)*d.CPUs, l.QuotaFree)
	if d.Tasks <= 0 || width < d.CPUs {
		return Never
	}
	queued := float64(l.Queued) * workUnit
	work := float64(d.Tasks) * float64(d.CPUs) * float64(d.RunTime)
	cpus, at := l.CPUs, units.Micros(0)
	coming := slices.SortedFunc(slices.Values(l.Provisioning), func(a, b ProvisioningCapacity) int { return cmp.Compare(a.ReadyIn, b.ReadyIn) })
	for _, step := range append(coming, ProvisioningCapacity{ReadyIn: Never}) {
		span := float64(step.ReadyIn - at)
		drained := min(span, drainTime(queued, cpus))
		queued -= drained * float64(cpus)
		rate := min(cpus, width)
		if took := drainTime(work, rate); cpus >= d.CPUs && drained+took <= span {
			return l.withImageFetch(at+units.Micros(drained+took), d)
		}
		if cpus >= d.CPUs {
			work -= (span - drained) * float64(rate)
		}
		cpus, at = cpus+step.CPUs, step.ReadyIn
	}
	return Never
}

// withImageFetch adds the image's fetch; no job ends sooner than one of its tasks.
func (l *Load) withImageFetch(end units.Micros, d Demand) units.Micros {
	return max(end, d.RunTime) + l.ImageFetch
}

func drainTime(work float64, cpus units.Amount) float64 {
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

// EstimateCorrection corrects owners' estimates by what tasks took, by class.
type EstimateCorrection struct {
	ratios map[string]*hdrhistogram.Histogram
}

// The ratios of run time to estimate are kept in thousandths, from a tenth to tenfold.
const (
	ratioScale      = 1000
	minRatio        = 100
	maxRatio        = 10_000
	ratioDigits     = 3
	ratioQuantile   = 80
	minRatioSamples = 10
)

// NewEstimateCorrection begins without any task seen.
func NewEstimateCorrection() *EstimateCorrection {
	return &EstimateCorrection{ratios: map[string]*hdrhistogram.Histogram{}}
}

// Observe takes in that a task of a class took so long.
func (e *EstimateCorrection) Observe(class string, estimate, took units.Micros) {
	if estimate <= 0 || took <= 0 {
		return
	}
	h := e.ratios[class]
	if h == nil {
		h = hdrhistogram.New(1, maxRatio, ratioDigits)
		e.ratios[class] = h
	}
	ratio := float64(took) / float64(estimate) * ratioScale
	_ = h.RecordValue(int64(min(max(ratio, minRatio), maxRatio))) // within its range
}

// Corrected gives the run time that four in five tasks of a class keep.
func (e *EstimateCorrection) Corrected(class string, estimate units.Micros) units.Micros {
	h := e.ratios[class]
	if h == nil || h.TotalCount() < minRatioSamples {
		return estimate
	}
	return estimate.Share(h.ValueAtQuantile(ratioQuantile), ratioScale)
}
