package federation

import (
	"cmp"
	"math"
	"slices"

	"dunestand/internal/units"
)

// Work is an expected use of CPUs, in thousandths of a CPU times seconds.
type Work int64

// microsPerWork is one Work in millionths of a CPU times microseconds.
const microsPerWork = 1e3 * 1e6

// Load is what a cell's leader says of the capacity in its next hours, for one team, as it
// is encoded between cells.
type Load struct {
	// CPUs are those of all machines that work.
	CPUs units.Amount `cbor:"cpus"`
	// Provisioning are machines that were ordered and are not up yet.
	Provisioning []ProvisioningCapacity `cbor:"coming,omitempty"`
	// Queued is unfinished work that goes before a new job.
	Queued Work `cbor:"queued"`
	// QuotaFree is what the team's quota limit leaves, in CPUs.
	QuotaFree units.Amount `cbor:"free"`
	// ImageFetch is how long a machine takes to fetch the job's image.
	ImageFetch units.Micros `cbor:"fetch"`
}

// ProvisioningCapacity is capacity that is expected to be up after a time.
type ProvisioningCapacity struct {
	ReadyIn units.Micros `cbor:"in"`
	CPUs    units.Amount `cbor:"cpus"`
}

// Demand is what a job asks for.
type Demand struct {
	Tasks   int          // that are not done
	CPUs    units.Amount // of each task
	RunTime units.Micros // expected of each task
}

// cpuTime returns the CPUs times the run time of all tasks, in millionths of a CPU times
// microseconds.
func (d Demand) cpuTime() float64 { return float64(d.Tasks) * float64(d.CPUs) * float64(d.RunTime) }

// Work returns the work of all tasks, rounded up.
func (d Demand) Work() Work { return Work(math.Ceil(d.cpuTime() / microsPerWork)) }

// Never is the forecast for a job that a cell cannot complete as things stand.
const Never units.Micros = math.MaxInt64

// TimeToComplete forecasts after how much time a new job would be complete, Never if the
// cell cannot run it: the machines first do what is queued, and then the job, as wide as its
// tasks and its team's quota allow, while machines that are being provisioned join. No job
// takes less than one of its tasks, and its image is fetched first.
func (l *Load) TimeToComplete(demand Demand) units.Micros {
	width := min(units.Amount(demand.Tasks)*demand.CPUs, l.QuotaFree)
	if demand.Tasks <= 0 || width < demand.CPUs {
		return Never
	}
	queued, work := float64(l.Queued)*microsPerWork, demand.cpuTime()
	cpus, now := l.CPUs, units.Micros(0)
	// Between two arrivals of machines the number of CPUs is constant. The last period has
	// no end.
	arrivals := slices.SortedFunc(slices.Values(l.Provisioning), func(a, b ProvisioningCapacity) int {
		return cmp.Compare(a.ReadyIn, b.ReadyIn)
	})
	for _, arrival := range append(arrivals, ProvisioningCapacity{ReadyIn: Never}) {
		period := float64(arrival.ReadyIn - now)
		drained := min(period, timeFor(queued, cpus))
		queued -= drained * float64(cpus)
		if cpus >= demand.CPUs {
			rate := min(cpus, width)
			if needed := timeFor(work, rate); drained+needed <= period {
				return max(now+units.Micros(drained+needed), demand.RunTime) + l.ImageFetch
			}
			work -= (period - drained) * float64(rate)
		}
		cpus, now = cpus+arrival.CPUs, arrival.ReadyIn
	}
	return Never
}

// timeFor returns how many microseconds CPUs take for work, which is in millionths of a CPU
// times microseconds: without CPUs, for ever.
func timeFor(work float64, cpus units.Amount) float64 {
	if work <= 0 {
		return 0
	}
	if cpus <= 0 {
		return math.Inf(1)
	}
	return work / float64(cpus)
}
