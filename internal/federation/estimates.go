package federation

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"dunestand/internal/units"
)

// EstimateCorrection corrects user estimates of task run times by the observed run times of
// tasks of the same class. It is not safe for concurrent use.
type EstimateCorrection struct {
	ratios map[string]*hdrhistogram.Histogram // ratios of run time to estimate, by class
}

const (
	// ratioScale is the stored value of a ratio of 1: histograms take only integers.
	ratioScale = 1000
	// minRatio and maxRatio clamp stored ratios to the range 0.1 to 10.
	minRatio = 100
	maxRatio = 10_000
	// ratioDigits is the number of significant digits of stored ratios.
	ratioDigits = 3
	// ratioQuantile is the percentage of tasks that complete within the corrected estimate.
	ratioQuantile = 80
	// minRatioSamples is the minimum number of observed tasks of a class for its estimates to
	// be corrected.
	minRatioSamples = 10
)

// NewEstimateCorrection returns a correction without observations.
func NewEstimateCorrection() *EstimateCorrection {
	return &EstimateCorrection{ratios: map[string]*hdrhistogram.Histogram{}}
}

// Observe records the estimated and the actual run time of a task of a class. It ignores
// tasks for which either is 0 or negative.
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
	_ = histogram.RecordValue(int64(min(max(ratio, minRatio), maxRatio))) // fails only outside the range of the histogram
}

// Corrected returns the run time within which 80 % of the tasks of a class with this estimate
// complete, or the estimate itself if too few tasks of the class were observed.
func (e *EstimateCorrection) Corrected(class string, estimate units.Micros) units.Micros {
	histogram := e.ratios[class]
	if histogram == nil || histogram.TotalCount() < minRatioSamples {
		return estimate
	}
	return estimate.Fraction(histogram.ValueAtQuantile(ratioQuantile), ratioScale)
}
