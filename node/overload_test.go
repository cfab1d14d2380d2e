package node

import (
	"net/http"
	"testing"
	"time"

	"dunestand/internal/fake"
	"dunestand/internal/protocol"
)

// Controllers whose memory is full of jobs reject new ones at once and say when to retry. All
// accepted jobs continue, and new ones are accepted once jobs have ended.
func TestNewJobsAreRejectedBeforeMemoryRunsOut(t *testing.T) {
	const memoryMB = 0.1 // for 8 jobs
	simulate(t, deploymentOptions{memoryMB: memoryMB}, func(d *deployment) {
		accepted := fillMemory(d)
		for controller := range d.controllers {
			expectRejection(d, controller)
			for _, job := range accepted {
				if status, _ := d.poll(controller, job.ID); status != http.StatusOK {
					t.Errorf("%s: status %d about a known job", d.controllers[controller].name, status)
				}
				if status := d.submitOnce(controller, job.ID, true, submissionOf(job)); status != http.StatusOK {
					t.Errorf("%s: status %d for a duplicate", d.controllers[controller].name, status)
				}
			}
		}
		for controller, job := range accepted[:2] {
			if !d.cancelConfirmed(controller, job.ID) {
				t.Errorf("%s does not cancel while memory is full", d.controllers[controller].name)
			}
		}
		d.waitUntil("cancelled jobs have ended", func() bool { return d.runningTasks(accepted[:2]) == 0 })
		d.submit(d.newJob(1, time.Second)) // until it is accepted
		for _, job := range accepted[2:] {
			d.cancel(job.ID)
		}
		d.waitUntil("all jobs are reported as cancelled", func() bool {
			for _, job := range accepted {
				if d.invariants.LastStage(job.ID) != protocol.StageCancelled {
					return false
				}
			}
			return true
		})
	})
}

// fillMemory submits jobs that end only by cancellation until one is rejected, and returns the
// accepted ones.
func fillMemory(d *deployment) []fake.JobInfo {
	d.t.Helper()
	const maxJobs = 100
	var accepted []fake.JobInfo
	for len(accepted) < maxJobs {
		job := d.newJob(1, endlessRunTime)
		if r := d.request(d.leader(), http.MethodPost, protocol.PathSubmit, submissionOf(job)); r.status != http.StatusCreated {
			break
		}
		d.submit(job) // already accepted; registers the job with the invariant checker and polls it
		accepted = append(accepted, job)
	}
	if len(accepted) < 2 || len(accepted) == maxJobs {
		d.t.Fatalf("%d jobs are accepted", len(accepted))
	}
	return accepted
}

// expectRejection checks that a controller rejects a new job at once and says when to retry.
func expectRejection(d *deployment, controller int) {
	d.t.Helper()
	const maxRejectionTime = 500 * time.Millisecond
	sent, name := time.Now(), d.controllers[controller].name
	r := d.request(controller, http.MethodPost, protocol.PathSubmit, submissionOf(d.newJob(1, time.Second)))
	if r.status != http.StatusTooManyRequests || r.header.Get("Retry-After") == "" {
		d.t.Errorf("%s: status %d for a job that exceeds the memory, Retry-After %q", name, r.status, r.header.Get("Retry-After"))
	}
	if took := time.Since(sent); took > maxRejectionTime {
		d.t.Errorf("%s takes %v to reject a job", name, took)
	}
}
