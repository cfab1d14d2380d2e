package fake

import (
	"fmt"
	"maps"
	"slices"

	"dunestand/internal/protocol"
)

// Violations returns the first violations, at most maxViolations, in the order of detection.
func (c *InvariantChecker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.violations)
}

// StartsAfterCancel returns the number of tasks that started after the cancellation of their job
// was confirmed. Such a start is not a violation if the task ends within the cancel timeout.
func (c *InvariantChecker) StartsAfterCancel() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.startsAfterCancel
}

// Starts returns the number of task starts.
func (c *InvariantChecker) Starts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.starts
}

// RunningTasks returns the number of running tasks of a job.
func (c *InvariantChecker) RunningTasks(job string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for task := range c.placements {
		if task.job == job {
			n++
		}
	}
	return n
}

// LastStage returns the stage of a submitted job in the last response about it; "": no response
// has reported a stage.
func (c *InvariantChecker) LastStage(job string) protocol.JobStage {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobs[job].lastStage
}

// ConfirmedCancellations returns the number of jobs that a response has reported as cancelled.
func (c *InvariantChecker) ConfirmedCancellations() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, j := range c.jobs {
		if !j.cancelConfirmedAt.IsZero() {
			n++
		}
	}
	return n
}

// UnfinishedJobs describes, ordered by ID, the accepted jobs that the last response did not
// report in a terminal state.
func (c *InvariantChecker) UnfinishedJobs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		if j := c.jobs[id]; j.accepted && !j.lastStage.IsTerminal() {
			out = append(out, fmt.Sprintf("%s: %d of %d tasks completed, last reported stage %q", id, len(j.done), j.Tasks, j.lastStage))
		}
	}
	return out
}
