package admission

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// One team submits ten times what it may do, the other its usual volume. The other one
// loses nothing, and the flood gets the rest: its own share and what is left over.
func TestFloodLeavesTheOtherTeamItsShare(t *testing.T) {
	f := newFleet(Options{Horizon: testHorizon}, testTeams("mill", "dye"))
	const lasts = 300
	// Each job is 100 units of work; a team can do one a second.
	flood := jobsOf(0, lasts*10, "mill", "bulk", 10, 10)
	usual := jobsOf(100_000, lasts*8/10, "dye", "lot", 10, 10)
	users := append(arrivals(flood, units.Second, lasts*units.Second), arrivals(usual, units.Second, lasts*units.Second)...)
	gaveUp := f.load(users, (lasts+60)*units.Second)
	if gaveUp["dye"] > 0 {
		t.Errorf("%d jobs of the usual volume were given up", gaveUp["dye"])
	}
	const perSecond = 100_000 // Work of a team
	usualWork := Work(len(usual)) * perSecond
	if got := f.admittedBy("dye"); got != usualWork {
		t.Errorf("%d of %d are admitted of the usual volume", got, usualWork)
	}
	// What was admitted is what the fleet can do, and one horizon ahead.
	rest := Work((lasts+60)*2*perSecond) - usualWork
	ahead := Work(testHorizon/units.Second) * 2 * perSecond
	if got := f.admittedBy("mill"); got < rest*9/10 || got > rest+ahead*11/10 {
		t.Errorf("%d are admitted of the flood; %d can be done, %d ahead", got, rest, ahead)
	}
}

// Both teams flood: each gets its half within a twentieth, and so do weights other than
// the guarantees.
func TestFloodsAreSharedByWeight(t *testing.T) {
	for _, c := range []struct {
		shares map[string]float64
		dye    float64
	}{{nil, 0.5}, {map[string]float64{"mill": 1, "dye": 3}, 0.5}} { // guarantees go before weights
		f := newFleet(Options{Horizon: testHorizon, TeamShares: c.shares}, testTeams("mill", "dye"))
		const lasts = 300
		users := arrivals(jobsOf(0, lasts*10, "mill", "bulk", 10, 10), units.Second, lasts*units.Second)
		users = append(users, arrivals(jobsOf(100_000, lasts*3, "dye", "lot", 10, 10), units.Second, lasts*units.Second)...)
		f.load(users, lasts*units.Second)
		mill, dye := float64(f.admittedBy("mill")), float64(f.admittedBy("dye"))
		if got := dye / (mill + dye); got < c.dye-0.05 || got > c.dye+0.05 {
			t.Errorf("shares %v: dye has %.3f of what is admitted", c.shares, got)
		}
	}
}

// Within a team that floods, neither classes nor the largest jobs of a class starve, and
// the wait of a class for its next admission is bounded.
func TestClassesAndLargeJobsAreNotStarved(t *testing.T) {
	f := newFleet(Options{Horizon: testHorizon}, testTeams("mill", "dye"))
	const lasts = 400
	users := arrivals(jobsOf(0, lasts*10, "mill", "bulk", 10, 10), units.Second, lasts*units.Second)
	// Two thirds of the team's share of a horizon each: large ones.
	huge := arrivals(jobsOf(200_000, 8, "mill", "huge", 130, 100), 20*units.Second, lasts*units.Second)
	mixed := arrivals(jobsOf(300_000, 8, "mill", "bulk", 130, 100), 25*units.Second, lasts*units.Second)
	few := arrivals(jobsOf(400_000, 40, "mill", "few", 5, 10), 30*units.Second, lasts*units.Second)
	// These users are patient: what counts is whether their turn comes.
	for _, u := range slices.Concat(huge, mixed, few) {
		u.until += 600 * units.Second
	}
	dye := arrivals(jobsOf(500_000, lasts*2, "dye", "lot", 10, 10), units.Second, lasts*units.Second)
	f.load(slices.Concat(users, huge, mixed, few, dye), (lasts+100)*units.Second)
	for name, want := range map[string]int{"mill/few": 40, "mill/huge": 2, "mill/bulk": 50} {
		if f.jobs[name] < want {
			t.Errorf("%s: %d are admitted, want %d", name, f.jobs[name], want)
		}
	}
	largeBulk := f.admitted[Cell{Team: "mill", Class: "bulk", Band: Large}]
	if largeBulk == 0 {
		t.Error("no large job of the flooding class is admitted")
	}
	for _, u := range few {
		if !u.over {
			t.Errorf("%s of the small class still waits", u.job.ID)
		}
	}
}

// An idle team finds its whole guarantee at once, however much others have taken.
func TestShareComesBackAtOnce(t *testing.T) {
	f := newFleet(Options{Horizon: testHorizon}, testTeams("mill", "dye"))
	f.load(arrivals(jobsOf(0, 3000, "mill", "bulk", 10, 10), units.Second, 100*units.Second), 100*units.Second)
	taken := f.backlog[Cell{Team: "mill", Class: "bulk"}]
	if all := WorkOf(1, f.capacity[CPU], testHorizon); taken < all*8/10 {
		t.Fatalf("the flood has taken only %d of %d", taken, all)
	}
	for i := range 95 { // of the 100 that are guaranteed
		if d := f.offer(testJob(10_000+i, "dye", "lot", 10, 10)); d.Verdict != Admit {
			t.Fatalf("job %d within the guarantee: %v, %v", i, d.Verdict, d.Reason)
		}
	}
}

// planPause is the time between two plans.
const planPause = 500 * units.Millisecond

// A window goes once around the ring: every job is admitted in its turn, whatever its id.
func TestWindowComesRound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(Options{Horizon: testHorizon}, testTeams("mill"))
		id := rapid.IntRange(0, 999_999).Draw(t, "id")
		share := rapid.IntRange(5, 60).Draw(t, "share in percent")
		job := testJob(id, "mill", "bulk", 1, 10)
		cell, _ := f.keeper.Reckoning().Classify(job)
		full := WorkOf(1, f.capacity[CPU], testHorizon)
		began, next := f.now, f.now
		for ; ; f.now += planPause {
			// Somebody else always offers as much as takes the rest of the ring.
			f.backlog[cell] = full / 2
			f.waiting.Add("j-1", Decision{Cell: cell, Cost: full / 2 * 100 / Work(share)}, f.now)
			f.publish()
			if f.now < next {
				continue
			}
			d := f.offer(job)
			if d.Verdict == Admit {
				break
			}
			next = f.now + d.RetryAfter
			if most := Dwell*units.Micros(100/share+2) + mostRetry; f.now-began > most {
				t.Fatalf("not admitted after %.0f s with %d%% of the ring at a time", (f.now - began).Seconds(), share)
			}
		}
	})
}

// A team that overstates its run times, or understates them, is admitted by what its
// tasks take.
func TestEstimatesAreCorrected(t *testing.T) {
	for _, stated := range []float64{2.5, 40} { // they take 10
		f := newFleet(Options{Horizon: testHorizon}, testTeams("mill", "dye"))
		for range 200 {
			f.corrections.Observe("mill", units.Seconds(stated), 10*units.Second)
		}
		f.publish()
		_, cost := f.keeper.Reckoning().Classify(testJob(1, "mill", "bulk", 10, stated))
		if want := Work(100_000); cost < want*95/100 || cost > want*105/100 {
			t.Errorf("estimate %v: the work is %d, want %d", stated, cost, want)
		}
	}
}

// A plan and a job decide, nothing else: controllers that got the plan from its record
// agree with the one that made it, in any order and again and again.
func TestDecisionsAreTheSameEverywhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(Options{Horizon: testHorizon}, testTeams("mill", "dye", "ink"))
		for i := range rapid.IntRange(0, 300).Draw(t, "jobs before") {
			f.offer(drawJob(t, i))
		}
		plan := f.publish()
		raw, own, err := Encode(plan, rapid.IntRange(900, 8000).Draw(t, "bytes"))
		if err != nil {
			t.Fatal(err)
		}
		other, err := Decode(raw)
		if err != nil {
			t.Fatal(err)
		}
		first := map[string]Decision{}
		for i := range 50 {
			job := drawJob(t, 1000+i%25)
			here, there := own.Decide(job), other.Decide(job)
			if here != there || here != own.Decide(job) {
				t.Fatalf("%v here, %v there", here, there)
			}
			known, again := first[job.ID]
			if sameCell := known.Cell == here.Cell && known.Cost == here.Cost; again && sameCell && known != here {
				t.Fatalf("%v, and later %v", known, here)
			}
			first[job.ID] = here
			if here.Verdict == Wait && (here.RetryAfter < leastRetry || here.RetryAfter > mostRetry) {
				t.Fatalf("a job is to come back after %v", here.RetryAfter.Duration())
			}
		}
	})
}

func drawJob(t *rapid.T, n int) *protocol.JobSpec {
	job := testJob(n, rapid.SampledFrom([]string{"mill", "dye", "ink"}).Draw(t, "team"),
		rapid.SampledFrom([]string{"bulk", "lot", "rush"}).Draw(t, "class"),
		rapid.IntRange(1, 2000).Draw(t, "tasks"), float64(rapid.IntRange(1, 100).Draw(t, "seconds")))
	job.Request.GPU = units.AmountOf(float64(rapid.IntRange(0, 1).Draw(t, "cards")))
	return job
}

// Jobs that are told to come back do not come back in one second.
func TestRetriesAreSpread(t *testing.T) {
	f := newFleet(Options{Horizon: testHorizon}, testTeams("mill"))
	cell, _ := f.keeper.Reckoning().Classify(testJob(0, "mill", "bulk", 10, 10))
	f.backlog[cell] = MaxWork / 4
	f.waiting.Add("j-1", Decision{Cell: cell, Cost: 1000}, f.now)
	f.publish()
	const jobs = 4000
	perTenth := map[units.Micros]int{}
	for i := range jobs {
		d := f.offer(testJob(i, "mill", "bulk", 10, 10))
		if d.Verdict != Wait {
			t.Fatalf("%v", d)
		}
		perTenth[d.RetryAfter/(100*units.Millisecond)]++
	}
	for at, n := range perTenth {
		if n > jobs/10 {
			t.Errorf("%d of %d come back at %d tenths of a second", n, jobs, at)
		}
	}
}
