package node

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"dunestand/internal/fake"
	"dunestand/internal/protocol"
)

// Runs of the history test, and jobs in each; half of the runs have five controllers.
const (
	historyRuns = 10
	historyJobs = 12
)

// Users poll all controllers concurrently, most densely around the end of a job, repeat its
// submission and cancel it, while responses of the store and of other controllers are slow
// or lost, partitions come and go and leaders stop. No response regresses.
func TestResponsesNeverRegress(t *testing.T) {
	jobs, terminal := 0, 0
	for seed := range uint64(historyRuns) {
		h := fake.NewHistory()
		simulate(t, deploymentOptions{controllers: 3 + 2*int(seed%2), seed: seed}, func(d *deployment) {
			d.runConcurrentUsers(h, rand.New(rand.NewPCG(seed, 11)))
		})
		jobs, terminal = jobs+h.Jobs(), terminal+h.TerminalJobs()
		lateRegressions := 0
		for _, r := range h.Regressions() {
			if r.Kind == fake.AfterTimeout {
				lateRegressions++
				continue
			}
			t.Errorf("seed %d: %v", seed, r)
		}
		if lateRegressions > 0 {
			t.Logf("seed %d: %d responses regressed after their users had given up", seed, lateRegressions)
		}
	}
	if want := historyRuns * historyJobs; jobs < want || terminal < want*9/10 {
		t.Errorf("%d jobs were polled and %d of them over, of %d", jobs, terminal, want)
	}
}

// runConcurrentUsers simulates the users and faults of one run.
func (d *deployment) runConcurrentUsers(h *fake.History, random *rand.Rand) {
	d.delayResponses(rand.New(rand.NewPCG(random.Uint64(), 1)))
	var jobs []*trackedJob
	for range historyJobs {
		job := d.newTrackedJob(h, 1+random.IntN(3), time.Duration(1500+random.IntN(4000))*time.Millisecond)
		jobs = append(jobs, job)
		userRandom := rand.New(rand.NewPCG(random.Uint64(), 2))
		job.pending.Go(func() { job.simulateUsers(userRandom) })
		d.sleep(time.Duration(random.IntN(2500)) * time.Millisecond)
		d.injectRandomFault(random)
	}
	d.sleep(8 * time.Second)
	d.update(func() { d.kvResponseDelay = nil })
	d.network.SetDelay(nil)
	d.clearFaults()
	for _, job := range jobs {
		job.pending.Wait()
	}
}

// injectRandomFault injects or ends at most one fault.
func (d *deployment) injectRandomFault(random *rand.Rand) {
	controller := random.IntN(len(d.controllers))
	switch random.IntN(6) {
	case 0:
		d.restart(controller, time.Duration(random.IntN(1500))*time.Millisecond)
	case 1:
		d.partitionPeers(controller, true)
	case 2:
		d.partitionPeers(controller, false)
	case 3:
		d.setKVRejection(controller, true)
		time.AfterFunc(time.Duration(500+random.IntN(5000))*time.Millisecond, func() { d.setKVRejection(controller, false) })
	}
}

// delayResponses delays a share of the responses of the store, whose requests have been
// carried out, of those between controllers and of those to users, the last for less than
// the time that controllers leave for the way to users.
func (d *deployment) delayResponses(random *rand.Rand) {
	randomDelay := func(share float64, longest time.Duration) <-chan time.Time {
		d.mu.Lock()
		defer d.mu.Unlock()
		if random.Float64() >= share {
			return noDelay()
		}
		return time.After(time.Duration(random.Int64N(int64(longest))))
	}
	d.update(func() {
		d.kvResponseDelay = func(_ int, r *http.Request, _ []byte) <-chan time.Time {
			if r.URL.Path == protocol.PathCommit {
				return randomDelay(0.25, 2500*time.Millisecond) // also beyond the leader's timeout
			}
			return randomDelay(0.15, 1200*time.Millisecond)
		}
	})
	d.network.SetDelay(func(from, to string) <-chan time.Time {
		switch {
		case strings.HasSuffix(to, meshPort):
			return randomDelay(0.15, 1500*time.Millisecond)
		case from == "user":
			return randomDelay(0.2, 350*time.Millisecond)
		}
		return noDelay()
	})
}

// simulateUsers simulates a job's users until they know of its end, and a little longer.
func (j *trackedJob) simulateUsers(random *rand.Rand) {
	d := j.deployment
	j.submitUntilAccepted()
	cancelAt := time.Now().Add(time.Duration(random.IntN(12_000)) * time.Millisecond) // often after the end
	started, pollsAfterEnd := false, 0
	for range 400 {
		running, controller := d.invariants.RunningTasks(j.info.ID), random.IntN(len(d.controllers))
		started = started || running > 0
		nearEnd := started && running == 0 // its users are about to be told of the end
		switch {
		case time.Now().After(cancelAt):
			cancelAt = cancelAt.Add(time.Minute)
			j.pending.Go(func() { j.cancel(controller) })
			nearEnd = true
		case nearEnd && random.IntN(4) == 0:
			j.pending.Go(func() { j.submit(controller) })
		}
		for target := range d.controllers {
			j.pending.Go(func() { j.poll(target) })
		}
		if d.invariants.LastStage(j.info.ID).IsTerminal() {
			if pollsAfterEnd++; pollsAfterEnd > 12 {
				return
			}
			nearEnd = true
		}
		pause := 300 * time.Millisecond
		if nearEnd {
			pause = 60 * time.Millisecond
		}
		d.sleep(pause)
	}
}
