package node

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"dunestand/internal/protocol"
	"dunestand/internal/standin"
)

// Days of the history test, and jobs on each; half of the days have five controllers.
const (
	historyRuns = 10
	historyJobs = 12
)

// Users ask all controllers at once, again and again and most densely around the end of
// a job, repeat its submission and cancel, while answers of the state service and of
// other controllers are slow or lost, links are cut and leaders end. No answer goes back.
func TestResponsesNeverRegress(t *testing.T) {
	jobs, finals := 0, 0
	for seed := range uint64(historyRuns) {
		h := standin.NewHistory()
		simulate(t, deploymentOptions{nodes: 3 + 2*int(seed%2), seed: seed}, func(d *deployment) {
			d.runConcurrentUsers(h, rand.New(rand.NewPCG(seed, 11)))
		})
		jobs, finals = jobs+h.Jobs(), finals+h.TerminalJobs()
		late := 0
		for _, r := range h.Regressions() {
			if r.Kind == standin.AfterTimeout {
				late++
				continue
			}
			t.Errorf("seed %d: %v", seed, r)
		}
		if late > 0 {
			t.Logf("seed %d: %d answers went back after their users had given up", seed, late)
		}
	}
	if want := historyRuns * historyJobs; jobs < want || finals < want*9/10 {
		t.Errorf("%d jobs were asked about and %d of them over, of %d", jobs, finals, want)
	}
}

// impatientUsers plays a day's users and troubles.
func (d *deployment) runConcurrentUsers(h *standin.History, random *rand.Rand) {
	d.delayResponses(rand.New(rand.NewPCG(random.Uint64(), 1)))
	var jobs []*trackedJob
	for range historyJobs {
		j := d.newTrackedJob(h, 1+random.IntN(3), time.Duration(1500+random.IntN(4000))*time.Millisecond)
		jobs = append(jobs, j)
		users := rand.New(rand.NewPCG(random.Uint64(), 2))
		j.background(func() { j.simulateUsers(users) })
		d.sleep(time.Duration(random.IntN(2500)) * time.Millisecond)
		d.injectRandomFault(random)
	}
	d.sleep(8 * time.Second)
	d.update(func() { d.kvResponseDelay = nil })
	d.network.SetDelay(nil)
	d.clearFaults()
	for _, j := range jobs {
		j.pending.Wait()
	}
}

// trouble brings about at most one further trouble.
func (d *deployment) injectRandomFault(random *rand.Rand) {
	node := random.IntN(len(d.nodes))
	switch random.IntN(6) {
	case 0:
		d.restart(node, time.Duration(random.IntN(1500))*time.Millisecond)
	case 1:
		d.partitionPeers(node, true)
	case 2:
		d.partitionPeers(node, false)
	case 3:
		d.rejectKV(node, true)
		time.AfterFunc(time.Duration(500+random.IntN(5000))*time.Millisecond, func() { d.rejectKV(node, false) })
	}
}

// slowAnswers holds up a share of the answers of the state service, which have been
// carried out, and of what controllers answer one another and, for less than
// the time that is left for the way to users, them.
func (d *deployment) delayResponses(random *rand.Rand) {
	draw := func(share float64, longest time.Duration) <-chan time.Time {
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
				return draw(0.25, 2500*time.Millisecond) // also beyond the leader's patience
			}
			return draw(0.15, 1200*time.Millisecond)
		}
	})
	d.network.SetDelay(func(from, to string) <-chan time.Time {
		switch {
		case strings.HasSuffix(to, meshPort):
			return draw(0.15, 1500*time.Millisecond)
		case from == "user":
			return draw(0.2, 350*time.Millisecond)
		}
		return noDelay()
	})
}

// live plays a job's users until they know of its end, and a little longer.
func (j *trackedJob) simulateUsers(random *rand.Rand) {
	j.submitUntilAccepted()
	cancelAt := time.Now().Add(time.Duration(random.IntN(12_000)) * time.Millisecond) // often after the end
	started, askedMore := false, 0
	for range 400 {
		on, some := j.deployment.invariants.RunningTasks(j.info.ID), random.IntN(len(j.deployment.nodes))
		started = started || on > 0
		near := started && on == 0 // its tasks are over, and its users are about to hear
		switch {
		case time.Now().After(cancelAt):
			cancelAt = cancelAt.Add(time.Minute)
			j.background(func() { j.cancel(some) })
			near = true
		case near && random.IntN(4) == 0:
			j.background(func() { j.submit(some) })
		}
		for node := range j.deployment.nodes {
			j.background(func() { j.poll(node) })
		}
		if j.deployment.invariants.LastStage(j.info.ID).Final() {
			if askedMore++; askedMore > 12 {
				return
			}
			near = true
		}
		pause := 300 * time.Millisecond
		if near {
			pause = 60 * time.Millisecond
		}
		j.deployment.sleep(pause)
	}
}
