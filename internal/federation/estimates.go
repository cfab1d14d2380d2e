package federation

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"dunestand/internal/units"
)

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
