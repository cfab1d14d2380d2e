package fake

import (
	"fmt"
	"maps"
	"slices"

	"dunestand/internal/protocol"
)

// Violations returns the first violations found.
func (c *InvariantChecker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.violations)
}

// StartsAfterCancel counts the starts of tasks whose users had been told of the
// cancellation. Only those that run for too long are violations.
func (c *InvariantChecker) StartsAfterCancel() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.startsAfterCancel
}

// Starts counts all starts of tasks.
func (c *InvariantChecker) Starts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.starts
}

// RunningTasks counts the tasks of a job that run.
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

// LastStage returns the stage that the user of a submitted job was told last; "": none.
func (c *InvariantChecker) LastStage(job string) protocol.JobStage {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobs[job].lastStage
}

// ConfirmedCancellations counts the jobs whose users were told that they are cancelled.
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

// UnfinishedJobs describes the accepted jobs whose users have not been told of their end.
func (c *InvariantChecker) UnfinishedJobs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		if j := c.jobs[id]; j.accepted && !j.lastStage.IsTerminal() {
			out = append(out, fmt.Sprintf("%s: %d of %d done, told %q", id, len(j.done), j.Tasks, j.lastStage))
		}
	}
	return out
}
