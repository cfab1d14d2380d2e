package federation

import (
	"testing"

	"pgregory.net/rapid"

	"dunestand/internal/units"
)

func cpus(n float64) units.Amount { return units.AmountOf(n) }

func work(cpuSeconds float64) Work { return Work(cpuSeconds * 1000) }

func TestTimeToComplete(t *testing.T) {
	job := Demand{Tasks: 20, CPUs: cpus(1), RunTime: 10 * units.Second} // 200 processor seconds
	idle := Load{CPUs: cpus(10), QuotaFree: cpus(100)}
	for what, c := range map[string]struct {
		change func(*Load)
		want   units.Micros
	}{
		"idle":                 {func(*Load) {}, 20 * units.Second},
		"after a queue":        {func(l *Load) { l.Queued = work(300) }, 50 * units.Second},
		"image first":          {func(l *Load) { l.ImageFetch = 7 * units.Second }, 27 * units.Second},
		"team's limit":         {func(l *Load) { l.QuotaFree = cpus(4) }, 50 * units.Second},
		"no limit left":        {func(l *Load) { l.QuotaFree = 0 }, Never},
		"no less than a task":  {func(l *Load) { l.CPUs = cpus(1000) }, 10 * units.Second},
		"no machine":           {func(l *Load) { l.CPUs = 0 }, Never},
		"machines to come":     {func(l *Load) { l.CPUs, l.Provisioning = 0, coming(30, 20) }, 40 * units.Second},
		"more machines join":   {func(l *Load) { l.Provisioning = coming(10, 10) }, 15 * units.Second},
		"queue, then machines": {func(l *Load) { l.Queued, l.Provisioning = work(200), coming(10, 10) }, 25 * units.Second},
	} {
		load := idle
		c.change(&load)
		if got := load.TimeToComplete(job); got != c.want {
			t.Errorf("%s: %v s, want %v s", what, got.Seconds(), c.want.Seconds())
		}
	}
}

func coming(in, n float64) []ProvisioningCapacity {
	return []ProvisioningCapacity{{ReadyIn: units.Seconds(in), CPUs: cpus(n)}}
}

// More machines never make a forecast later, more work never sooner.
func TestForecastIsMonotonic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		amount := rapid.IntRange(0, 100)
		load := Load{
			CPUs:         cpus(float64(amount.Draw(t, "cpus"))),
			Queued:       work(float64(amount.Draw(t, "queued"))),
			QuotaFree:    cpus(float64(amount.Draw(t, "free"))),
			Provisioning: coming(float64(amount.Draw(t, "in")), float64(amount.Draw(t, "coming"))),
		}
		job := Demand{Tasks: rapid.IntRange(1, 50).Draw(t, "tasks"), CPUs: cpus(1), RunTime: units.Second}
		before := load.TimeToComplete(job)
		more, longer := load, job
		more.CPUs += cpus(5)
		longer.Tasks += 5
		if sooner := more.TimeToComplete(job); sooner > before {
			t.Fatalf("with more machines %d, before %d", sooner, before)
		}
		if later := load.TimeToComplete(longer); later < before {
			t.Fatalf("with more tasks %d, before %d", later, before)
		}
	})
}

func TestChooseTarget(t *testing.T) {
	c := loadExampleConfig(t)
	fast := Load{CPUs: cpus(100), QuotaFree: cpus(100)}
	slow := Load{CPUs: cpus(10), QuotaFree: cpus(100)}
	job := Candidate{
		Demand:          Demand{Tasks: 100, CPUs: cpus(1), RunTime: 10 * units.Second}, // 1000 processor seconds
		LocalCompletion: 300 * units.Second,
		TimeToDeadline:  200 * units.Second,
	}
	offers := []Offer{{Cell: "dye", Load: slow, Free: work(1000)}, {Cell: "recipes", Load: fast, Free: work(1000)}}
	for what, spoil := range map[string]struct {
		change func(*Candidate, []Offer)
		want   string
	}{
		"the soonest":           {func(*Candidate, []Offer) {}, "recipes"},
		"in time here":          {func(j *Candidate, _ []Offer) { j.LocalCompletion = j.TimeToDeadline }, ""},
		"moved enough":          {func(j *Candidate, _ []Offer) { j.Moves = 2 }, ""},
		"was there before":      {func(j *Candidate, _ []Offer) { j.Visited = []string{"recipes"} }, "dye"},
		"no room to promise":    {func(_ *Candidate, o []Offer) { o[1].Free-- }, "dye"},
		"an old offer":          {func(_ *Candidate, o []Offer) { o[1].Age = maxOfferAge + 1 }, "dye"},
		"itself":                {func(_ *Candidate, o []Offer) { o[1].Cell = "mill" }, "dye"},
		"not in time either":    {func(j *Candidate, _ []Offer) { j.TimeToDeadline = 9 * units.Second }, ""},
		"not sooner by so much": {func(j *Candidate, _ []Offer) { j.LocalCompletion, j.TimeToDeadline = 69*units.Second, 20*units.Second }, ""},
		"alike, by name":        {func(_ *Candidate, o []Offer) { o[0].Load = fast }, "dye"},
	} {
		changed := append([]Offer(nil), offers...)
		candidate := job
		spoil.change(&candidate, changed)
		if got := c.ChooseTarget(candidate, changed); got != spoil.want {
			t.Errorf("%s: %q, want %q", what, got, spoil.want)
		}
	}
}

func TestTimeToDeadline(t *testing.T) {
	c := loadExampleConfig(t) // six in the morning
	hour := 3600 * units.Second
	for _, w := range []struct{ now, deadline, want units.Micros }{
		{5 * hour, 0, hour},
		{6 * hour, 0, 24 * hour},
		{24*hour*20_000 + 22*hour, 0, 8 * hour},
		{22 * hour, 2 * hour, 2 * hour},
		{5 * hour, 2 * hour, hour},
	} {
		if got := c.TimeToDeadline(w.now, w.deadline); got != w.want {
			t.Errorf("at %v h with %v h: %v h, want %v h", w.now/hour, w.deadline/hour, got/hour, w.want/hour)
		}
	}
}

func TestEstimatesAreCorrectedByRunTimes(t *testing.T) {
	e := NewEstimateCorrection()
	for range minRatioSamples - 1 {
		e.Observe("loomplan", 10*units.Second, 20*units.Second)
	}
	if got := e.Corrected("loomplan", 10*units.Second); got != 10*units.Second {
		t.Errorf("after too few tasks: %v s", got.Seconds())
	}
	e.Observe("loomplan", 10*units.Second, 1000*units.Second) // beyond the range, not lost
	e.Observe("loomplan", 0, units.Second)
	if got := e.Corrected("loomplan", 30*units.Second).Seconds(); got < 59.9 || got > 60.1 {
		t.Errorf("tasks that take twice as long: %v s for 30 s", got)
	}
	if got := e.Corrected("rushorder", units.Second); got != units.Second {
		t.Errorf("of another class: %v s", got.Seconds())
	}
}
