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

// historyRuns is the number of runs of the history test, half of them with five controllers;
// historyJobs is the number of jobs in each run.
const (
	historyRuns = 10
	historyJobs = 12
)

// Users poll all controllers concurrently, most often around the end of a job, repeat its
// submission and cancel it, while responses of the key-value store and of other controllers are
// slow or lost, partitions start and end, and leaders stop. No response regresses.
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
		t.Errorf("%d jobs were polled and %d of them ended, of %d", jobs, terminal, want)
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

// injectRandomFault starts or ends at most one fault.
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

// delayResponses delays a share of three kinds of responses: from the key-value store, which has
// executed the request by then, between controllers, and to users. The delay to users is shorter
// than the time that controllers reserve for a response to reach its user.
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
				return randomDelay(0.25, 2500*time.Millisecond) // some delays exceed the timeout of the leader
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

// simulateUsers simulates the users of a job until its end has been reported, and for some polls
// after that.
func (j *trackedJob) simulateUsers(random *rand.Rand) {
	d := j.deployment
	j.submitUntilAccepted()
	cancelAt := time.Now().Add(time.Duration(random.IntN(12_000)) * time.Millisecond) // often after the job has ended
	started, pollsAfterEnd := false, 0
	for range 400 {
		running, controller := d.invariants.RunningTasks(j.info.ID), random.IntN(len(d.controllers))
		started = started || running > 0
		nearEnd := started && running == 0 // the end of the job is about to be reported
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
