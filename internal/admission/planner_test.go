package admission

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// One team submits ten times its share while another submits its usual volume. All jobs of the
// usual volume are admitted; the flood gets its own share and the capacity that is left over.
func TestFloodLeavesTheOtherTeamItsShare(t *testing.T) {
	sim := newSimulation(t, Options{Horizon: testHorizon}, testTeams("mill", "dye"))
	const seconds = 300
	// The work of each job is 100 CPU seconds; the guaranteed quota of a team does one job per
	// second.
	flood := testJobs(0, seconds*10, "mill", "bulk", 10, 10)
	usual := testJobs(100_000, seconds*8/10, "dye", "lot", 10, 10)
	users := append(arrivals(flood, units.Second, seconds*units.Second), arrivals(usual, units.Second, seconds*units.Second)...)
	gaveUp := sim.run(users, (seconds+60)*units.Second)
	if gaveUp["dye"] > 0 {
		t.Errorf("users gave up on %d jobs of the usual volume", gaveUp["dye"])
	}
	const perSecond = 100_000 // Work that the guaranteed quota of a team does per second
	usualWork := Work(len(usual)) * perSecond
	if got := sim.admittedBy("dye"); got != usualWork {
		t.Errorf("%d of %d are admitted of the usual volume", got, usualWork)
	}
	// The admitted work is what the fleet can do in the elapsed time, and one horizon ahead.
	rest := Work((seconds+60)*2*perSecond) - usualWork
	ahead := Work(testHorizon/units.Second) * 2 * perSecond
	if got := sim.admittedBy("mill"); got < rest*9/10 || got > rest+ahead*11/10 {
		t.Errorf("%d are admitted of the flood; %d can be done, %d ahead", got, rest, ahead)
	}
}

// Two teams submit more than their shares: each gets one half, within 5% of the total.
// Configured weights make no difference, because guaranteed quotas are served first.
func TestEqualFloodsGetEqualShares(t *testing.T) {
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
			const seconds = 300
			users := arrivals(testJobs(0, seconds*10, "mill", "bulk", 10, 10), units.Second, seconds*units.Second)
			users = append(users, arrivals(testJobs(100_000, seconds*3, "dye", "lot", 10, 10), units.Second, seconds*units.Second)...)
			sim.run(users, seconds*units.Second)
			mill, dye := float64(sim.admittedBy("mill")), float64(sim.admittedBy("dye"))
			if got := dye / (mill + dye); got < test.dye-0.05 || got > test.dye+0.05 {
				t.Errorf("weights %v: dye has %.3f of the admitted work", test.weights, got)
			}
		})
	}
}

// Within a team that submits more than its share, neither other classes nor large jobs are
// starved by the class with the most jobs, and every job of a small class is admitted.
func TestClassesAndLargeJobsAreNotStarved(t *testing.T) {
	sim := newSimulation(t, Options{Horizon: testHorizon}, testTeams("mill", "dye"))
	const seconds = 400
	users := arrivals(testJobs(0, seconds*10, "mill", "bulk", 10, 10), units.Second, seconds*units.Second)
	// Each of these jobs takes more than the team's share of a horizon, so they are large.
	huge := arrivals(testJobs(200_000, 8, "mill", "huge", 130, 100), 20*units.Second, seconds*units.Second)
	mixed := arrivals(testJobs(300_000, 8, "mill", "bulk", 130, 100), 25*units.Second, seconds*units.Second)
	few := arrivals(testJobs(400_000, 40, "mill", "few", 5, 10), 30*units.Second, seconds*units.Second)
	// These users retry for longer, because the test checks whether they are admitted at all.
	for _, u := range slices.Concat(huge, mixed, few) {
		u.until += 600 * units.Second
	}
	dye := arrivals(testJobs(500_000, seconds*2, "dye", "lot", 10, 10), units.Second, seconds*units.Second)
	sim.run(slices.Concat(users, huge, mixed, few, dye), (seconds+100)*units.Second)
	for name, want := range map[string]int{"mill/few": 40, "mill/huge": 2, "mill/bulk": 50} {
		if sim.jobs[name] < want {
			t.Errorf("%s: %d are admitted, want %d", name, sim.jobs[name], want)
		}
	}
	largeBulk := sim.admitted[Flow{Team: "mill", Class: "bulk", Band: BandLarge}]
	if largeBulk == 0 {
		t.Error("no large job of the flooding class is admitted")
	}
	for _, u := range few {
		if !u.done {
			t.Errorf("%s of the small class still waits", u.job.ID)
		}
	}
}

// A team that was idle gets its whole guaranteed quota at once, however large the backlog of
// other teams is.
func TestIdleTeamGetsItsGuaranteedQuotaAtOnce(t *testing.T) {
	sim := newSimulation(t, Options{Horizon: testHorizon}, testTeams("mill", "dye"))
	sim.run(arrivals(testJobs(0, 3000, "mill", "bulk", 10, 10), units.Second, 100*units.Second), 100*units.Second)
	taken := sim.backlog[Flow{Team: "mill", Class: "bulk"}]
	if all := WorkOf(1, sim.capacity[CPU], testHorizon); taken < all*8/10 {
		t.Fatalf("the flood has taken only %d of %d", taken, all)
	}
	for i := range 95 { // the guaranteed quota does 100 of these jobs within the horizon
		if d := sim.submit(testJob(10_000+i, "dye", "lot", 10, 10)); d.Verdict != Admit {
			t.Fatalf("job %d within the guarantee: %v, %v", i, d.Verdict, d.Reason)
		}
	}
}

// planInterval is the time between two plans.
const planInterval = 500 * units.Millisecond

// A window moves around the whole ring, so every job is admitted, whatever its ID.
func TestMovingWindowAdmitsEveryJob(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, Options{Horizon: testHorizon}, testTeams("mill"))
		id := rapid.IntRange(0, 999_999).Draw(t, "id")
		share := rapid.IntRange(5, 60).Draw(t, "share in percent")
		job := testJob(id, "mill", "bulk", 1, 10)
		flow, _ := sim.plans.LatestPlan().Classify(job)
		full := WorkOf(1, sim.capacity[CPU], testHorizon)
		start, next := sim.now, sim.now
		for ; ; sim.now += planInterval {
			// Another waiting job keeps the demand so high that the window covers only
			// the drawn share of the ring.
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
			if limit := windowDwell*units.Micros(100/share+2) + maxRetry; sim.now-start > limit {
				t.Fatalf("not admitted after %.0f s with %d%% of the ring at a time", (sim.now - start).Seconds(), share)
			}
		}
	})
}

// The work of a team that overstates or understates run times is computed from the run times
// of its tasks.
func TestEstimatesAreCorrected(t *testing.T) {
	for _, test := range []struct {
		name     string
		estimate float64 // in seconds; the tasks run for 10 s
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

// A decision depends on the plan and the job alone: a controller that decodes the plan from its
// record agrees with the leader that encoded it, and repeated decisions are equal.
func TestDecisionsAgreeOnAllControllers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, Options{Horizon: testHorizon}, testTeams("mill", "dye", "ink"))
		for i := range rapid.IntRange(0, 300).Draw(t, "jobs before") {
			sim.submit(drawJob(t, i))
		}
		plan := sim.publishPlan()
		raw, leaderPlan, err := Encode(plan, rapid.IntRange(900, 8000).Draw(t, "bytes"))
		if err != nil {
			t.Fatal(err)
		}
		readPlan, err := Decode(raw)
		if err != nil {
			t.Fatal(err)
		}
		first := map[string]Decision{}
		for i := range 50 {
			job := drawJob(t, 1000+i%25)
			leaderDecision, readerDecision := leaderPlan.Decide(job), readPlan.Decide(job)
			if leaderDecision != readerDecision || leaderDecision != leaderPlan.Decide(job) {
				t.Fatalf("the leader decides %v, a reader of the record %v", leaderDecision, readerDecision)
			}
			known, again := first[job.ID]
			if sameFlow := known.Flow == leaderDecision.Flow && known.Cost == leaderDecision.Cost; again && sameFlow && known != leaderDecision {
				t.Fatalf("the first decision is %v, a later one %v", known, leaderDecision)
			}
			first[job.ID] = leaderDecision
			if leaderDecision.Verdict == Wait && (leaderDecision.RetryAfter < minRetry || leaderDecision.RetryAfter > maxRetry) {
				t.Fatalf("a job is to be retried after %v, out of range", leaderDecision.RetryAfter.Duration())
			}
		}
	})
}

// drawJob draws a job whose ID has the number n.
func drawJob(t *rapid.T, n int) *protocol.JobSpec {
	job := testJob(n, rapid.SampledFrom([]string{"mill", "dye", "ink"}).Draw(t, "team"),
		rapid.SampledFrom([]string{"bulk", "lot", "rush"}).Draw(t, "class"),
		rapid.IntRange(1, 2000).Draw(t, "tasks"), float64(rapid.IntRange(1, 100).Draw(t, "seconds")))
	job.Request.GPU = units.AmountOf(float64(rapid.IntRange(0, 1).Draw(t, "GPUs")))
	return job
}

// The retries of waiting users are spread: no tenth of a second gets more than a tenth of them.
func TestRetriesAreSpread(t *testing.T) {
	sim := newSimulation(t, Options{Horizon: testHorizon}, testTeams("mill"))
	flow, _ := sim.plans.LatestPlan().Classify(testJob(0, "mill", "bulk", 10, 10))
	sim.backlog[flow] = MaxWork / 4
	sim.waiting.Add("j-1", Decision{Flow: flow, Cost: 1000}, sim.now)
	sim.publishPlan()
	const jobs = 4000
	retriesPerTenth := map[units.Micros]int{}
	for i := range jobs {
		d := sim.submit(testJob(i, "mill", "bulk", 10, 10))
		if d.Verdict != Wait {
			t.Fatalf("%v", d)
		}
		retriesPerTenth[d.RetryAfter/(100*units.Millisecond)]++
	}
	for at, n := range retriesPerTenth {
		if n > jobs/10 {
			t.Errorf("%d of %d retry after %d tenths of a second", n, jobs, at)
		}
	}
}
