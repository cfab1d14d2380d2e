package federation

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"dunestand/internal/units"
)

// EstimateCorrection corrects owners' estimates of run times by how long tasks of the same
// class took. It is not safe for concurrent use.
type EstimateCorrection struct {
	ratios map[string]*hdrhistogram.Histogram // of run time to estimate, by class
}

const (
	// ratioScale is what a ratio of 1 is kept as: ratios are integers, in thousandths.
	ratioScale = 1000
	// minRatio and maxRatio bound the ratios: a tenth to tenfold.
	minRatio = 100
	maxRatio = 10_000
	// ratioDigits is how many significant digits a ratio is kept with.
	ratioDigits = 3
	// ratioQuantile is how many tasks in a hundred take no longer than the corrected
	// estimate.
	ratioQuantile = 80
	// minRatioSamples is how many tasks of a class are seen before it is corrected.
	minRatioSamples = 10
)

// NewEstimateCorrection returns a correction that has seen no task.
func NewEstimateCorrection() *EstimateCorrection {
	return &EstimateCorrection{ratios: map[string]*hdrhistogram.Histogram{}}
}

// Observe records how long a task of a class took, and what was estimated. Values that are
// not above 0 are ignored.
func (e *EstimateCorrection) Observe(class string, estimate, took units.Micros) {
	if estimate <= 0 || took <= 0 {
		return
	}
	histogram := e.ratios[class]
	if histogram == nil {
		histogram = hdrhistogram.New(1, maxRatio, ratioDigits)
		e.ratios[class] = histogram
	}
	ratio := float64(took) / float64(estimate) * ratioScale
	_ = histogram.RecordValue(int64(min(max(ratio, minRatio), maxRatio))) // fails only out of its range
}

// Corrected returns the run time that four in five tasks of a class with an estimate do not
// exceed, or the estimate itself while too few tasks were seen.
func (e *EstimateCorrection) Corrected(class string, estimate units.Micros) units.Micros {
	histogram := e.ratios[class]
	if histogram == nil || histogram.TotalCount() < minRatioSamples {
		return estimate
	}
	return estimate.Fraction(histogram.ValueAtQuantile(ratioQuantile), ratioScale)
}
