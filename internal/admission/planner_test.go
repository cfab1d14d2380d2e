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
	sim := newSimulation(t, Options{Horizon: testHorizon}, testTeams("mill", "dye"))
	const lasts = 300
	// Each job is 100 units of work; a team can do one a second.
	flood := testJobs(0, lasts*10, "mill", "bulk", 10, 10)
	usual := testJobs(100_000, lasts*8/10, "dye", "lot", 10, 10)
	users := append(arrivals(flood, units.Second, lasts*units.Second), arrivals(usual, units.Second, lasts*units.Second)...)
	gaveUp := sim.run(users, (lasts+60)*units.Second)
	if gaveUp["dye"] > 0 {
		t.Errorf("%d jobs of the usual volume were given up", gaveUp["dye"])
	}
	const perSecond = 100_000 // Work of a team
	usualWork := Work(len(usual)) * perSecond
	if got := sim.admittedBy("dye"); got != usualWork {
		t.Errorf("%d of %d are admitted of the usual volume", got, usualWork)
	}
	// What was admitted is what the fleet can do, and one horizon ahead.
	rest := Work((lasts+60)*2*perSecond) - usualWork
	ahead := Work(testHorizon/units.Second) * 2 * perSecond
	if got := sim.admittedBy("mill"); got < rest*9/10 || got > rest+ahead*11/10 {
		t.Errorf("%d are admitted of the flood; %d can be done, %d ahead", got, rest, ahead)
	}
}

// Two teams flood: each gets its half within a twentieth. Configured weights change nothing,
// since guaranteed quotas go first.
func TestFloodsAreSharedByWeight(t *testing.T) {
	for _, test := range []struct {
		name    string
		weights map[string]float64
		dye     float64
	}{
		{"weights by guaranteed quotas", nil, 0.5},
		{"configured weights", map[string]float64{"mill": 1, "dye": 3}, 0.5},
	} {
		t.Run(test.name, func(t *testing.T) {
			sim := newSimulation(t, Options{Horizon: testHorizon, TeamShares: test.weights}, testTeams("mill", "dye"))
			const lasts = 300
			users := arrivals(testJobs(0, lasts*10, "mill", "bulk", 10, 10), units.Second, lasts*units.Second)
			users = append(users, arrivals(testJobs(100_000, lasts*3, "dye", "lot", 10, 10), units.Second, lasts*units.Second)...)
			sim.run(users, lasts*units.Second)
			mill, dye := float64(sim.admittedBy("mill")), float64(sim.admittedBy("dye"))
			if got := dye / (mill + dye); got < test.dye-0.05 || got > test.dye+0.05 {
				t.Errorf("weights %v: dye has %.3f of what is admitted", test.weights, got)
			}
		})
	}
}

// Within a team that floods, neither classes nor the largest jobs of a class starve, and
// the wait of a class for its next admission is bounded.
func TestClassesAndLargeJobsAreNotStarved(t *testing.T) {
	sim := newSimulation(t, Options{Horizon: testHorizon}, testTeams("mill", "dye"))
	const lasts = 400
	users := arrivals(testJobs(0, lasts*10, "mill", "bulk", 10, 10), units.Second, lasts*units.Second)
	// Two thirds of the team's share of a horizon each: large ones.
	huge := arrivals(testJobs(200_000, 8, "mill", "huge", 130, 100), 20*units.Second, lasts*units.Second)
	mixed := arrivals(testJobs(300_000, 8, "mill", "bulk", 130, 100), 25*units.Second, lasts*units.Second)
	few := arrivals(testJobs(400_000, 40, "mill", "few", 5, 10), 30*units.Second, lasts*units.Second)
	// These users are patient: what counts is whether they are admitted at all.
	for _, u := range slices.Concat(huge, mixed, few) {
		u.until += 600 * units.Second
	}
	dye := arrivals(testJobs(500_000, lasts*2, "dye", "lot", 10, 10), units.Second, lasts*units.Second)
	sim.run(slices.Concat(users, huge, mixed, few, dye), (lasts+100)*units.Second)
	for name, want := range map[string]int{"mill/few": 40, "mill/huge": 2, "mill/bulk": 50} {
		if sim.jobs[name] < want {
			t.Errorf("%s: %d are admitted, want %d", name, sim.jobs[name], want)
		}
	}
	largeBulk := sim.admitted[Cell{Team: "mill", Class: "bulk", Band: Large}]
	if largeBulk == 0 {
		t.Error("no large job of the flooding class is admitted")
	}
	for _, u := range few {
		if !u.done {
			t.Errorf("%s of the small class still waits", u.job.ID)
		}
	}
}

// An idle team gets its whole guaranteed quota at once, however much others have taken.
func TestIdleTeamGetsItsGuaranteedQuotaAtOnce(t *testing.T) {
	sim := newSimulation(t, Options{Horizon: testHorizon}, testTeams("mill", "dye"))
	sim.run(arrivals(testJobs(0, 3000, "mill", "bulk", 10, 10), units.Second, 100*units.Second), 100*units.Second)
	taken := sim.backlog[Cell{Team: "mill", Class: "bulk"}]
	if all := WorkOf(1, sim.capacity[CPU], testHorizon); taken < all*8/10 {
		t.Fatalf("the flood has taken only %d of %d", taken, all)
	}
	for i := range 95 { // of the 100 that are guaranteed
		if d := sim.submit(testJob(10_000+i, "dye", "lot", 10, 10)); d.Verdict != Admit {
			t.Fatalf("job %d within the guarantee: %v, %v", i, d.Verdict, d.Reason)
		}
	}
}

// planInterval is the time between two plans.
const planInterval = 500 * units.Millisecond

// A window goes round the whole ring: every job is admitted, whatever its ID.
func TestMovingWindowAdmitsEveryJob(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, Options{Horizon: testHorizon}, testTeams("mill"))
		id := rapid.IntRange(0, 999_999).Draw(t, "id")
		share := rapid.IntRange(5, 60).Draw(t, "share in percent")
		job := testJob(id, "mill", "bulk", 1, 10)
		flow, _ := sim.plans.LatestPlan().Classify(job)
		full := WorkOf(1, sim.capacity[CPU], testHorizon)
		began, next := sim.now, sim.now
		for ; ; sim.now += planInterval {
			// Somebody else always offers as much as takes the rest of the ring.
			sim.backlog[flow] = full / 2
			sim.waiting.Add("j-1", Decision{Flow: flow, Cost: full / 2 * 100 / Work(share)}, sim.now)
			sim.publishPlan()
			if sim.now < next {
				continue
			}
			d := sim.submit(job)
			if d.Verdict == Admit {
				break
			}
			next = sim.now + d.RetryAfter
			if limit := windowDwell*units.Micros(100/share+2) + maxRetry; sim.now-began > limit {
				t.Fatalf("not admitted after %.0f s with %d%% of the ring at a time", (sim.now - began).Seconds(), share)
			}
		}
	})
}

// Jobs of a team that overstates or understates run times are admitted by the time that its
// tasks really take.
func TestEstimatesAreCorrected(t *testing.T) {
	for _, test := range []struct {
		name     string
		estimate float64 // seconds; the tasks run for 10
	}{
		{"too low", 2.5},
		{"too high", 40},
	} {
		t.Run(test.name, func(t *testing.T) {
			sim := newSimulation(t, Options{Horizon: testHorizon}, testTeams("mill", "dye"))
			for range 200 {
				sim.corrections.RecordRun("mill", units.Seconds(test.estimate), 10*units.Second)
			}
			sim.publishPlan()
			_, cost := sim.plans.LatestPlan().Classify(testJob(1, "mill", "bulk", 10, test.estimate))
			if want := Work(100_000); cost < want*95/100 || cost > want*105/100 {
				t.Errorf("estimate %v: the work is %d, want %d", test.estimate, cost, want)
			}
		})
	}
}

// A decision depends on the plan and the job alone: controllers that read the plan from its
// record agree with the one that made it, in any order and each time.
func TestDecisionsAgreeOnAllControllers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, Options{Horizon: testHorizon}, testTeams("mill", "dye", "ink"))
		for i := range rapid.IntRange(0, 300).Draw(t, "jobs before") {
			sim.submit(drawJob(t, i))
		}
		plan := sim.publishPlan()
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
			if sameFlow := known.Flow == here.Flow && known.Cost == here.Cost; again && sameFlow && known != here {
				t.Fatalf("%v, and later %v", known, here)
			}
			first[job.ID] = here
			if here.Verdict == Wait && (here.RetryAfter < minRetry || here.RetryAfter > maxRetry) {
				t.Fatalf("a job is to be asked for again after %v", here.RetryAfter.Duration())
			}
		}
	})
}

// drawJob draws the job with a number.
func drawJob(t *rapid.T, n int) *protocol.JobSpec {
	job := testJob(n, rapid.SampledFrom([]string{"mill", "dye", "ink"}).Draw(t, "team"),
		rapid.SampledFrom([]string{"bulk", "lot", "rush"}).Draw(t, "class"),
		rapid.IntRange(1, 2000).Draw(t, "tasks"), float64(rapid.IntRange(1, 100).Draw(t, "seconds")))
	job.Request.GPU = units.AmountOf(float64(rapid.IntRange(0, 1).Draw(t, "GPUs")))
	return job
}

// Users that are told to retry do not all retry in the same second.
func TestRetriesAreSpread(t *testing.T) {
	sim := newSimulation(t, Options{Horizon: testHorizon}, testTeams("mill"))
	flow, _ := sim.plans.LatestPlan().Classify(testJob(0, "mill", "bulk", 10, 10))
	sim.backlog[flow] = MaxWork / 4
	sim.waiting.Add("j-1", Decision{Flow: flow, Cost: 1000}, sim.now)
	sim.publishPlan()
	const jobs = 4000
	perTenth := map[units.Micros]int{}
	for i := range jobs {
		d := sim.submit(testJob(i, "mill", "bulk", 10, 10))
		if d.Verdict != Wait {
			t.Fatalf("%v", d)
		}
		perTenth[d.RetryAfter/(100*units.Millisecond)]++
	}
	for at, n := range perTenth {
		if n > jobs/10 {
			t.Errorf("%d of %d retry after %d tenths of a second", n, jobs, at)
		}
	}
}
