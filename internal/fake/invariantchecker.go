package fake

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"dunestand/internal/protocol"
)

// InvariantChecker checks the protocol's invariants against what machines do and what users
// are told. It knows nothing of the controllers' state. Violations begin with the name that
// the protocol gives to the broken rule.
type InvariantChecker struct {
	mu                sync.Mutex
	cancelTimeout     time.Duration // from a confirmed cancellation to the end of all tasks
	quotaLimit        float64       // processors of the only team
	jobs              map[string]*checkedJob
	placements        map[taskID]map[string]*MachineInfo // machines that run a task, by ID
	violations        []string
	startsAfterCancel int
	starts            int
}

type taskID struct {
	job   string
	index int
}

// JobInfo is a job as its user describes it.
type JobInfo struct {
	ID           string
	Tasks        int
	CPUs         float64       // of a task
	RunTime      time.Duration // of the last task; task i of n takes (i+1)/n of it
	ZoneAffinity bool          // all tasks run in one zone
	ZoneSpread   bool          // at most half of the tasks, rounded up, run in one zone
	Zone         string        // the only allowed one; "": any
	Priority     protocol.Priority
	ImageFetch   time.Duration // 0: the machine's default
}

// MachineInfo is where a task runs.
type MachineInfo struct{ ID, Zone string }

type checkedJob struct {
	JobInfo
	accepted          bool // its user was told so
	cancelRequested   bool
	lastStage         protocol.JobStage // that its user was told
	cancelConfirmedAt time.Time         // zero: never
	done              map[int]bool      // by task
}

// maxViolations is how many violations are kept; more would bury the first.
const maxViolations = 20

// NewInvariantChecker returns a checker for one team with a quota limit in processors, and
// the time in which the tasks of a cancelled job must have ended.
func NewInvariantChecker(quotaLimit float64, cancelTimeout time.Duration) *InvariantChecker {
	return &InvariantChecker{
		cancelTimeout: cancelTimeout,
		quotaLimit:    quotaLimit,
		jobs:          map[string]*checkedJob{},
		placements:    map[taskID]map[string]*MachineInfo{},
	}
}

func (c *InvariantChecker) violatedLocked(format string, args ...any) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, fmt.Sprintf(format, args...))
	}
}

// JobSubmitted records that a user submits a job. It comes before the first request about
// the job.
func (c *InvariantChecker) JobSubmitted(j JobInfo) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.jobs[j.ID] == nil {
		c.jobs[j.ID] = &checkedJob{JobInfo: j, done: map[int]bool{}}
	}
}

// CancelRequested records that a user wants a submitted job cancelled.
func (c *InvariantChecker) CancelRequested(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id].cancelRequested = true
}

// Job returns a job's description and reports whether it was submitted.
func (c *InvariantChecker) Job(id string) (JobInfo, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j := c.jobs[id]; j != nil {
		return j.JobInfo, true
	}
	return JobInfo{}, false
}

// ResponseReceived checks a response to a user about a job. duplicate marks a submission
// that was repeated.
func (c *InvariantChecker) ResponseReceived(id string, duplicate bool, status int, stage protocol.JobStage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	if j == nil {
		if status == http.StatusOK {
			c.violatedLocked("invented: %s", id)
		}
		return
	}
	invalid := status == http.StatusBadRequest || status == http.StatusUnprocessableEntity
	switch accepted := status == http.StatusOK || status == http.StatusCreated; {
	case accepted:
		j.accepted = true
	case j.accepted && (status == http.StatusNotFound || invalid && duplicate):
		c.violatedLocked("forgotten: %s gets status %d", id, status)
	default:
		return // it says nothing about the job
	}
	c.checkStageLocked(j, stage)
	j.lastStage = stage
}

// checkStageLocked checks a stage that a user is told against the job and the last stage.
func (c *InvariantChecker) checkStageLocked(j *checkedJob, stage protocol.JobStage) {
	if j.lastStage.IsTerminal() && stage != j.lastStage {
		c.violatedLocked("went_back: %s was called %s, now %s", j.ID, j.lastStage, stage)
	}
	switch {
	case stage == protocol.StageDone && len(j.done) < j.Tasks:
		c.violatedLocked("not_done: %s is called done with %d of %d tasks", j.ID, len(j.done), j.Tasks)
	case stage == protocol.StageCancelled && !j.cancelRequested:
		c.violatedLocked("went_back: %s is called cancelled, which nobody requested", j.ID)
	case stage == protocol.StageCancelled && j.cancelConfirmedAt.IsZero():
		j.cancelConfirmedAt = time.Now()
	}
}

// TaskStarted checks the start of a submitted job's task on a machine.
func (c *InvariantChecker) TaskStarted(job string, index int, m *MachineInfo) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j, id := c.jobs[job], taskID{job, index}
	c.starts++
	for other := range c.placements[id] {
		c.violatedLocked("ran_twice: %s/%d starts on %s while it is on %s", job, index, m.ID, other)
	}
	if !j.cancelConfirmedAt.IsZero() {
		c.startsAfterCancel++
	}
	zones := map[string]int{} // the job's other tasks, by zone
	used := j.CPUs
	for other, machines := range c.placements {
		for _, at := range machines {
			used += c.jobs[other.job].CPUs
			if other.job == job {
				zones[at.Zone]++
			}
		}
	}
	if used > c.quotaLimit {
		c.violatedLocked("quota: %g processors with %s/%d, of %g", used, job, index, c.quotaLimit)
	}
	if !j.mayStartIn(m.Zone, zones) {
		c.violatedLocked("wrong_place: %s/%d in zone %s, the others %v", job, index, m.Zone, zones)
	}
	if c.placements[id] == nil {
		c.placements[id] = map[string]*MachineInfo{}
	}
	c.placements[id][m.ID] = m
}

// mayStartIn reports whether a further task may start in a zone while so many others run in
// each zone.
func (j *JobInfo) mayStartIn(zone string, others map[string]int) bool {
	switch {
	case j.Zone != "" && j.Zone != zone,
		j.ZoneAffinity && len(others) > 0 && others[zone] == 0,
		j.ZoneSpread && others[zone]+1 > (j.Tasks+1)/2:
		return false
	}
	return true
}

// TaskEnded records that a task no longer runs on a machine. done: it has completed.
func (c *InvariantChecker) TaskEnded(job string, index int, machine string, done bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := taskID{job, index}
	delete(c.placements[id], machine)
	if len(c.placements[id]) == 0 {
		delete(c.placements, id)
	}
	if done {
		c.jobs[job].done[index] = true
	}
}

// CheckCancellations checks that no task runs for longer than the timeout after its job was
// called cancelled. It is called at short intervals.
func (c *InvariantChecker) CheckCancellations() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for task, machines := range c.placements {
		confirmed := c.jobs[task.job].cancelConfirmedAt
		if confirmed.IsZero() || time.Since(confirmed) <= c.cancelTimeout {
			continue
		}
		for id := range machines {
			c.violatedLocked("ran_cancelled: %s/%d is on %s %v after its user was told", task.job, task.index, id, time.Since(confirmed))
		}
	}
}
