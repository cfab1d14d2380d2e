package federation

import (
	"cmp"
	"math"
	"slices"

	"dunestand/internal/units"
)

// Work is an expected amount of CPU time, in thousandths of a CPU second.
type Work int64

// microsPerWork is one unit of Work in millionths of a CPU times microseconds.
const microsPerWork = 1e3 * 1e6

// Load is the report of a cell's leader about the load and expected capacity of the cell for
// one team. It is encoded in this form between cells.
type Load struct {
	// CPUs is the total number of CPUs of the working machines.
	CPUs units.Amount `cbor:"cpus"`
	// Provisioning lists the capacity of machines that were ordered and are not ready yet.
	Provisioning []ProvisioningCapacity `cbor:"coming,omitempty"`
	// Queued is the unfinished work that is scheduled before a new job.
	Queued Work `cbor:"queued"`
	// QuotaFree is the unused part of the team's quota limit, in CPUs.
	QuotaFree units.Amount `cbor:"free"`
	// ImageFetch is the time that a machine needs to fetch the job's image.
	ImageFetch units.Micros `cbor:"fetch"`
}

// ProvisioningCapacity is capacity that is expected to be ready after the time ReadyIn.
type ProvisioningCapacity struct {
	ReadyIn units.Micros `cbor:"in"`
	CPUs    units.Amount `cbor:"cpus"`
}

// Demand is the resource demand of a job.
type Demand struct {
	Tasks   int          // number of unfinished tasks
	CPUs    units.Amount // CPUs per task
	RunTime units.Micros // expected run time per task
}

// cpuTime returns the CPU time of all tasks, in millionths of a CPU times microseconds.
func (d Demand) cpuTime() float64 { return float64(d.Tasks) * float64(d.CPUs) * float64(d.RunTime) }

// Work returns the work of all tasks, rounded up.
func (d Demand) Work() Work { return Work(math.Ceil(d.cpuTime() / microsPerWork)) }

// Never is the forecast for a job that a cell cannot complete with its known capacity.
const Never units.Micros = math.MaxInt64

// TimeToComplete forecasts the time until a new job would be complete, or Never if the cell
// cannot run the job. The forecast assumes that the machines first process the queued work and
// then the job, with as many parallel tasks as the job has and the team's quota allows, and
// that provisioned machines join when they are ready. The result is at least the run time of
// one task plus the time to fetch the image.
func (l *Load) TimeToComplete(demand Demand) units.Micros {
	width := min(units.Amount(demand.Tasks)*demand.CPUs, l.QuotaFree)
	if demand.Tasks <= 0 || width < demand.CPUs {
		return Never
	}
	queued, work := float64(l.Queued)*microsPerWork, demand.cpuTime()
	cpus, now := l.CPUs, units.Micros(0)
	// The number of CPUs is constant between two arrivals of machines. The period after the
	// last arrival is unlimited.
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

// timeFor returns the time in microseconds that the CPUs need for work, which is given in
// millionths of a CPU times microseconds. It is infinite if there is work and no CPU.
func timeFor(work float64, cpus units.Amount) float64 {
	if work <= 0 {
		return 0
	}
	if cpus <= 0 {
		return math.Inf(1)
	}
	return work / float64(cpus)
}
