package federation

import (
	"testing"

	"pgregory.net/rapid"

	"dunestand/internal/units"
)

func cpus(n float64) units.Amount { return units.AmountOf(n) }

func work(cpuSeconds float64) Work { return Work(cpuSeconds * 1000) }

func TestTimeToCompleteCoversQueueQuotaAndProvisioning(t *testing.T) {
	job := Demand{Tasks: 20, CPUs: cpus(1), RunTime: 10 * units.Second} // 200 CPU seconds
	idle := Load{CPUs: cpus(10), QuotaFree: cpus(100)}
	for name, c := range map[string]struct {
		change func(*Load)
		want   units.Micros
	}{
		"idle":                  {func(*Load) {}, 20 * units.Second},
		"after a queue":         {func(l *Load) { l.Queued = work(300) }, 50 * units.Second},
		"image fetch":           {func(l *Load) { l.ImageFetch = 7 * units.Second }, 27 * units.Second},
		"team's quota":          {func(l *Load) { l.QuotaFree = cpus(4) }, 50 * units.Second},
		"no quota left":         {func(l *Load) { l.QuotaFree = 0 }, Never},
		"at least one task":     {func(l *Load) { l.CPUs = cpus(1000) }, 10 * units.Second},
		"no machine":            {func(l *Load) { l.CPUs = 0 }, Never},
		"machines provisioning": {func(l *Load) { l.CPUs, l.Provisioning = 0, provisioning(30, 20) }, 40 * units.Second},
		"more machines join":    {func(l *Load) { l.Provisioning = provisioning(10, 10) }, 15 * units.Second},
		"queue, then machines":  {func(l *Load) { l.Queued, l.Provisioning = work(200), provisioning(10, 10) }, 25 * units.Second},
	} {
		t.Run(name, func(t *testing.T) {
			load := idle
			c.change(&load)
			if got := load.TimeToComplete(job); got != c.want {
				t.Errorf("forecast is %v s, want %v s", got.Seconds(), c.want.Seconds())
			}
		})
	}
}

func provisioning(in, n float64) []ProvisioningCapacity {
	return []ProvisioningCapacity{{ReadyIn: units.Seconds(in), CPUs: cpus(n)}}
}

// More machines never delay the forecast completion, and more tasks never advance it.
func TestForecastIsMonotonic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		amount := rapid.IntRange(0, 100)
		load := Load{
			CPUs:         cpus(float64(amount.Draw(t, "cpus"))),
			Queued:       work(float64(amount.Draw(t, "queued"))),
			QuotaFree:    cpus(float64(amount.Draw(t, "free"))),
			Provisioning: provisioning(float64(amount.Draw(t, "in")), float64(amount.Draw(t, "coming"))),
		}
		job := Demand{Tasks: rapid.IntRange(1, 50).Draw(t, "tasks"), CPUs: cpus(1), RunTime: units.Second}
		before := load.TimeToComplete(job)
		more, longer := load, job
		more.CPUs += cpus(5)
		longer.Tasks += 5
		if sooner := more.TimeToComplete(job); sooner > before {
			t.Fatalf("forecast with more machines is %d, later than %d", sooner, before)
		}
		if later := load.TimeToComplete(longer); later < before {
			t.Fatalf("forecast with more tasks is %d, sooner than %d", later, before)
		}
	})
}
