package node

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"dunestand/internal/config"
	"dunestand/internal/fake"
	"dunestand/internal/fake/admissioncheck"
	"dunestand/internal/protocol"
)

// shortHorizonPolicy returns a policy with an admission horizon so short that a few users overload
// the fleet.
func shortHorizonPolicy(t *testing.T) *config.Policy {
	t.Helper()
	policy, err := config.ParsePolicy("test", "admission_horizon_s = 10", config.DefaultPolicy())
	if err != nil {
		t.Fatal(err)
	}
	return policy
}

const admissionActive = "dunestand_admission_active 1"

// metricsContain reports whether the metrics of a controller contain a line.
func (d *deployment) metricsContain(controller int, line string) bool {
	r := d.request(controller, http.MethodGet, metricsPath, nil)
	return r.status == http.StatusOK && bytes.Contains(r.body, []byte(line+"\n"))
}

// runFloodUser submits a job until it is accepted, for a minute at most, and then polls it until
// it is in a terminal state.
func (d *deployment) runFloodUser(job fake.JobInfo) {
	if err := d.admission.RegisterSubmission(submissionOf(job)); err != nil {
		d.t.Error(err)
		return
	}
	d.invariants.JobSubmitted(job)
	user, _ := strconv.Atoi(strings.TrimPrefix(job.ID, "j-"))
	began := time.Now()
	for try := 0; d.ctx.Err() == nil && time.Since(began) < time.Minute; try++ {
		if d.submitChecked(user, (user+try)%len(d.controllers), job) {
			for next := user; !d.invariants.LastStage(job.ID).IsTerminal() && d.ctx.Err() == nil; next++ {
				d.sleep(3 * time.Second)
				d.poll(next%len(d.controllers), job.ID)
			}
			return
		}
	}
}

// submitChecked submits a job once, checks the response and, if the job is not accepted, sleeps
// for the response's Retry-After time. It reports whether the job is accepted.
func (d *deployment) submitChecked(user, controller int, job fake.JobInfo) bool {
	sent := time.Now()
	r := d.request(controller, http.MethodPost, protocol.PathSubmit, submissionOf(job))
	d.checkResponse(job.ID, false, r)
	kind, plan := admissioncheck.ClassifyResponse(r.status, r.body)
	d.admission.ResponseReceived(user, job.ID, sent, kind, plan)
	if kind == admissioncheck.Accepted {
		return true
	}
	retryAfter := time.Second
	if seconds, err := strconv.Atoi(r.header.Get("Retry-After")); err == nil {
		retryAfter = time.Duration(seconds) * time.Second
	}
	d.sleep(retryAfter)
	return false
}

// The plan takes effect only once every controller has it enabled, and jobs are admitted without
// it until then. No job is lost while the controllers disable it again one after the other.
func TestAdmissionPlanIsInactiveUntilAllControllersEnableIt(t *testing.T) {
	enabled := shortHorizonPolicy(t)
	disabled := map[int]bool{2: true}
	simulate(t, deploymentOptions{policy: func(controller int) *config.Policy {
		if disabled[controller] {
			return nil
		}
		return enabled
	}}, func(d *deployment) {
		const manyTasks = 60
		d.submit(d.newJob(manyTasks, 100*time.Millisecond))
		if keys := d.kv.Keys("admission/"); len(keys) > 0 || !d.metricsContain(0, "dunestand_admission_held_back 1") {
			t.Errorf("the admission plan is not held back while a controller has it disabled: keys %v", keys)
		}
		delete(disabled, 2)
		d.restart(2, time.Second)
		d.waitUntil("the admission plan is active on all controllers", func() bool {
			return d.metricsContain(0, admissionActive) && d.metricsContain(1, admissionActive) && d.metricsContain(2, admissionActive)
		})
		d.waitUntil("a plan is stored", func() bool { return len(d.kv.Keys("admission/plan")) == 1 })
		d.submit(d.newJob(2, time.Second))
		for controller := range d.controllers {
			disabled[controller] = true
			d.restart(controller, time.Second)
		}
		for range 5 {
			d.submit(d.newJob(manyTasks, 10*time.Millisecond))
		}
	})
}

// While users flood the fleet, controllers restart, are partitioned one way and are rejected by
// the key-value store, responses are lost and transactions are applied late. Responses stay
// consistent about which jobs are accepted or deferred, and every job ends.
func TestAdmissionStaysConsistentUnderFaults(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			policy := shortHorizonPolicy(t)
			options := deploymentOptions{controllers: 5, seed: seed, policy: func(int) *config.Policy { return policy }}
			simulate(t, options, func(d *deployment) {
				d.admission = admissioncheck.New(d.kv)
				d.waitUntil("the admission plan is active", func() bool { return d.metricsContain(0, admissionActive) })
				d.runFlood()
				deferred, plans := d.admission.DeferredResponses(), d.admission.StoredPlans()
				if deferred == 0 || plans < 10 {
					t.Errorf("%d deferred responses, %d plans", deferred, plans)
				}
				for _, violation := range d.admission.Violations() {
					t.Error(violation)
				}
				t.Logf("%d accepted, %d deferred responses, %d plans", len(d.admission.DurableJobs()), deferred, plans)
			})
		})
	}
}

// runFlood starts users over two minutes and meanwhile injects one controller fault after the
// other.
func (d *deployment) runFlood() {
	const users, every = 600, 200 * time.Millisecond
	d.background.Go(func() {
		for range users {
			job := d.newJob(4, 2*time.Second)
			d.background.Go(func() { d.runFloodUser(job) })
			d.sleep(every)
		}
	})
	end := time.Now().Add(users*every + 15*time.Second)
	for time.Now().Before(end) {
		d.injectControllerFault()
		d.sleep(time.Duration(1+d.randomBelow(4)) * time.Second)
	}
	d.clearFaults()
	d.sleep(time.Minute) // until the last users have given up
}

// injectControllerFault injects a random fault of a controller or the key-value store and returns
// after it has ended, some seconds later.
func (d *deployment) injectControllerFault() {
	duration := time.Duration(1+d.randomBelow(14)) * time.Second
	controller := d.randomBelow(len(d.controllers))
	switch d.randomBelow(6) {
	case 0:
		d.restart(d.leaderOr(controller), 200*time.Millisecond)
	case 1:
		d.setKVRejection(controller, true)
		d.sleep(duration)
		d.setKVRejection(controller, false)
	case 2:
		d.partitionPeersOneWay(controller, true)
		d.sleep(duration)
		d.partitionPeersOneWay(controller, false)
	case 3:
		d.update(func() { d.lateCommitShare = 0.2 })
		d.sleep(duration)
		d.update(func() { d.lateCommitShare = 0 })
	case 4:
		d.update(func() { d.kvDelay = 400 * time.Millisecond })
		d.sleep(duration)
		d.update(func() { d.kvDelay = 0 })
	case 5:
		leader := d.leaderOr(controller)
		d.setKVRejection(leader, true)
		d.sleep(duration)
		d.setKVRejection(leader, false)
	}
}
