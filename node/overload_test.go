package node

import (
	"net/http"
	"testing"
	"time"

	"dunestand/internal/protocol"
	"dunestand/internal/standin"
)

// Controllers that hold as many jobs as fit into their memory refuse new ones at once,
// and say when to come back. All that they have accepted goes on, and service is
// resumed when jobs have ended.
func TestNewJobsAreRejectedBeforeMemoryRunsOut(t *testing.T) {
	const memoryMB = 0.1 // for 8 jobs
	simulate(t, deploymentOptions{memoryMB: memoryMB}, func(d *deployment) {
		var accepted []standin.JobInfo
		for len(accepted) < 100 {
			job := d.newJob(1, endlessRunTime)
			if status, _ := d.request(d.leader(), http.MethodPost, "/submissions", submissionOf(job)); status != http.StatusCreated {
				break
			}
			d.submit(job) // known by now
			accepted = append(accepted, job)
		}
		if len(accepted) < 2 || len(accepted) == 100 {
			t.Fatalf("%d jobs are accepted", len(accepted))
		}
		for node := range d.nodes {
			expectRejection(d, node)
			for _, job := range accepted {
				path := "/submissions/" + job.ID
				if status, _ := d.requestJob(node, job.ID, false, http.MethodGet, path, nil); status != http.StatusOK {
					t.Errorf("n-%d answers %d about a job that it knows", node, status)
				}
				if status, _ := d.requestJob(node, job.ID, true, http.MethodPost, "/submissions", submissionOf(job)); status != http.StatusOK {
					t.Errorf("n-%d answers %d to a repeat", node, status)
				}
			}
		}
		for node, job := range accepted[:2] {
			if !d.cancelConfirmed(node, job.ID) {
				t.Errorf("n-%d does not cancel while it is full", node)
			}
		}
		d.waitUntil("cancelled jobs have ended", func() bool { return d.runningTasks(accepted[:2]) == 0 })
		d.submit(d.newJob(1, time.Second)) // until it is accepted
		for _, job := range accepted[2:] {
			d.cancel(job.ID)
		}
		d.waitUntil("all is cancelled", func() bool {
			for _, job := range accepted {
				if d.invariants.LastStage(job.ID) != protocol.StageCancelled {
					return false
				}
			}
			return true
		})
	})
}

// expectRefusal has a controller refuse a new job in time for the user to come back.
func expectRejection(d *deployment, node int) {
	d.t.Helper()
	const atOnce = 500 * time.Millisecond
	asked := time.Now()
	status, _, header := d.requestWithHeader(node, http.MethodPost, "/submissions", submissionOf(d.newJob(1, time.Second)))
	if status != http.StatusTooManyRequests || header.Get("Retry-After") == "" {
		d.t.Errorf("n-%d answers %d to one job too many, Retry-After %q", node, status, header.Get("Retry-After"))
	}
	if took := time.Since(asked); took > atOnce {
		d.t.Errorf("n-%d takes %v to refuse a job", node, took)
	}
}
