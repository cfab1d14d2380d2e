package federation

import (
	"cmp"
	"math"
	"slices"

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

// Work is a job's expected use of processors, in thousandths of a processor times seconds.
type Work int64
