package federation

import (
	"slices"
	"testing"

	"dunestand/internal/units"
)

func TestChooseTargetPicksSoonestEligibleCell(t *testing.T) {
	config := loadExampleConfig(t)
	fast := Load{CPUs: cpus(100), QuotaFree: cpus(100)}
	slow := Load{CPUs: cpus(10), QuotaFree: cpus(100)}
	job := Candidate{
		Demand:          Demand{Tasks: 100, CPUs: cpus(1), RunTime: 10 * units.Second}, // 1000 CPU seconds
		LocalCompletion: 300 * units.Second,
		TimeToDeadline:  200 * units.Second,
	}
	offers := []Offer{{Cell: "dye", Load: slow, Free: work(1000)}, {Cell: "recipes", Load: fast, Free: work(1000)}}
	for name, c := range map[string]struct {
		change func(*Candidate, []Offer)
		want   string
	}{
		"soonest cell":       {func(*Candidate, []Offer) {}, "recipes"},
		"local deadline met": {func(j *Candidate, _ []Offer) { j.LocalCompletion = j.TimeToDeadline }, ""},
		"move limit reached": {func(j *Candidate, _ []Offer) { j.Moves = 2 }, ""},
		"visited before":     {func(j *Candidate, _ []Offer) { j.Visited = []string{"recipes"} }, "dye"},
		"no free capacity":   {func(_ *Candidate, o []Offer) { o[1].Free-- }, "dye"},
		"outdated offer":     {func(_ *Candidate, o []Offer) { o[1].Age = maxOfferAge + 1 }, "dye"},
		"own cell":           {func(_ *Candidate, o []Offer) { o[1].Cell = "mill" }, "dye"},
		"deadline missed":    {func(j *Candidate, _ []Offer) { j.TimeToDeadline = 9 * units.Second }, ""},
		"below margin":       {func(j *Candidate, _ []Offer) { j.LocalCompletion, j.TimeToDeadline = 69*units.Second, 20*units.Second }, ""},
		"equal, by name":     {func(_ *Candidate, o []Offer) { o[0].Load = fast }, "dye"},
	} {
		t.Run(name, func(t *testing.T) {
			candidate, offers := job, slices.Clone(offers)
			c.change(&candidate, offers)
			if got := config.ChooseTarget(candidate, offers); got != c.want {
				t.Errorf("target is %q, want %q", got, c.want)
			}
		})
	}
}

func TestTimeToDeadlineIsTheSoonerDeadline(t *testing.T) {
	config := loadExampleConfig(t) // CompleteByHour is 6
	hour := 3600 * units.Second
	for _, c := range []struct{ now, untilDeadline, want units.Micros }{
		{5 * hour, 0, hour},
		{6 * hour, 0, 24 * hour},
		{24*hour*20_000 + 22*hour, 0, 8 * hour},
		{22 * hour, 2 * hour, 2 * hour},
		{5 * hour, 2 * hour, hour},
	} {
		if got := config.TimeToDeadline(c.now, c.untilDeadline); got != c.want {
			t.Errorf("at %v h with %v h until the deadline: %v h, want %v h", c.now/hour, c.untilDeadline/hour, got/hour, c.want/hour)
		}
	}
}
