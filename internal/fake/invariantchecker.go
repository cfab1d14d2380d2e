package fake

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"dunestand/internal/protocol"
)

// InvariantChecker checks the protocol's invariants against the tasks that machines run and the
// responses that users receive. It does not use the controllers' state. Each violation begins
// with the protocol's name of the violated rule.
type InvariantChecker struct {
	mu                sync.Mutex
	cancelTimeout     time.Duration // limit from a confirmed cancellation to the end of all tasks
	quotaLimit        float64       // CPUs of the only team
	jobs              map[string]*checkedJob
	placements        map[taskID]map[string]*MachineInfo // machines that run a task, by ID
	attempts          map[attemptID]bool                 // attempts that a machine has been told to start
	violations        []string
	startsAfterCancel int
	starts            int
}

type taskID struct {
	job   string
	index int
}

type attemptID struct {
	task   taskID
	number uint64
}

// JobInfo is the part of a job's submission that machines and checks need.
type JobInfo struct {
	ID           string
	Tasks        int
	CPUs         float64       // per task
	RunTime      time.Duration // of the last task; task i of n runs for (i+1)/n of it
	ZoneAffinity bool          // all tasks run in one zone
	ZoneSpread   bool          // at most half of the tasks, rounded up, run in one zone
	Zone         string        // the only zone allowed; "": any
	Priority     protocol.Priority
	ImageFetch   time.Duration // 0: the machine's default
	Service      bool          // its tasks run until it is cancelled
}

// MachineInfo identifies a machine and its zone.
type MachineInfo struct{ ID, Zone string }

type checkedJob struct {
	JobInfo
	accepted          bool // a response has confirmed that the job exists
	cancelRequested   bool
	lastStage         protocol.JobStage // in the last response about the job
	cancelConfirmedAt time.Time         // when a response first said cancelled; zero: never
	done              map[int]bool      // indexes of the completed tasks
}

// maxViolations limits the violations that are kept, so that the first are easy to find.
const maxViolations = 20

// NewInvariantChecker returns a checker for a single team. quotaLimit is the team's quota limit
// in CPUs; cancelTimeout is the time within which all tasks of a job must end after a
// response has confirmed the job's cancellation.
func NewInvariantChecker(quotaLimit float64, cancelTimeout time.Duration) *InvariantChecker {
	return &InvariantChecker{
		cancelTimeout: cancelTimeout,
		quotaLimit:    quotaLimit,
		jobs:          map[string]*checkedJob{},
		placements:    map[taskID]map[string]*MachineInfo{},
		attempts:      map[attemptID]bool{},
	}
}

func (c *InvariantChecker) recordViolationLocked(format string, args ...any) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, fmt.Sprintf(format, args...))
	}
}

// JobSubmitted records that a user submits a job. It must be called before the first request
// about the job is sent. Repeated calls for the same ID have no effect.
func (c *InvariantChecker) JobSubmitted(j JobInfo) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.jobs[j.ID] == nil {
		c.jobs[j.ID] = &checkedJob{JobInfo: j, done: map[int]bool{}}
	}
}

// CancelRequested records that a user requests the cancellation of a submitted job. It must be
// called before the request is sent.
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

// ResponseReceived checks a response that a user received about a job. duplicate is true if the
// request was a repeated submission.
func (c *InvariantChecker) ResponseReceived(id string, duplicate bool, status int, stage protocol.JobStage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	if j == nil {
		if status == http.StatusOK {
			c.recordViolationLocked("invented: %s is reported but was never submitted", id)
		}
		return
	}
	invalid := status == http.StatusBadRequest || status == http.StatusUnprocessableEntity
	switch accepted := status == http.StatusOK || status == http.StatusCreated; {
	case accepted:
		j.accepted = true
	case j.accepted && (status == http.StatusNotFound || invalid && duplicate):
		c.recordViolationLocked("forgotten: accepted job %s gets status %d", id, status)
	default:
		return // the response does not tell the state of the job
	}
	c.checkStageLocked(j, stage)
	j.lastStage = stage
}

// checkStageLocked checks the stage in a response against the job's tasks, its cancel request
// and the last stage.
func (c *InvariantChecker) checkStageLocked(j *checkedJob, stage protocol.JobStage) {
	if j.lastStage.IsTerminal() && stage != j.lastStage {
		c.recordViolationLocked("went_back: %s was reported as %s, now as %s", j.ID, j.lastStage, stage)
	}
	switch {
	case stage == protocol.StageDone && len(j.done) < j.Tasks:
		c.recordViolationLocked("not_done: %s is reported as done with %d of %d tasks completed", j.ID, len(j.done), j.Tasks)
	case stage == protocol.StageCancelled && !j.cancelRequested:
		c.recordViolationLocked("went_back: %s is reported as cancelled without a cancel request", j.ID)
	case stage == protocol.StageCancelled && j.cancelConfirmedAt.IsZero():
		j.cancelConfirmedAt = time.Now()
	}
}

// AttemptStarted records and checks that a machine carries out the start of an attempt. Leaders give each
// start a number of its own, so a second start of an attempt is a copy of a command.
func (c *InvariantChecker) AttemptStarted(job string, index int, number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := attemptID{taskID{job, index}, number}
	if c.attempts[id] {
		c.recordViolationLocked("started_again: attempt %d of %s/%d is started a second time", number, job, index)
	}
	c.attempts[id] = true
}

// TaskStarted records and checks the start of a submitted job's task on a machine.
func (c *InvariantChecker) TaskStarted(job string, index int, m *MachineInfo) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j, id := c.jobs[job], taskID{job, index}
	c.starts++
	for other := range c.placements[id] {
		c.recordViolationLocked("ran_twice: %s/%d starts on %s while it runs on %s", job, index, m.ID, other)
	}
	if !j.cancelConfirmedAt.IsZero() {
		c.startsAfterCancel++
	}
	zones := map[string]int{} // number of the job's other running tasks by zone
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
		c.recordViolationLocked("quota: %g CPUs in use with %s/%d, limit %g", used, job, index, c.quotaLimit)
	}
	if !j.mayStartIn(m.Zone, zones) {
		c.recordViolationLocked("wrong_place: %s/%d starts in zone %s, other tasks by zone %v", job, index, m.Zone, zones)
	}
	if c.placements[id] == nil {
		c.placements[id] = map[string]*MachineInfo{}
	}
	c.placements[id][m.ID] = m
}

// mayStartIn reports whether a further task may start in a zone. others is the number of the
// job's running tasks by zone.
func (j *JobInfo) mayStartIn(zone string, others map[string]int) bool {
	switch {
	case j.Zone != "" && j.Zone != zone,
		j.ZoneAffinity && len(others) > 0 && others[zone] == 0,
		j.ZoneSpread && others[zone]+1 > (j.Tasks+1)/2:
		return false
	}
	return true
}

// TaskEnded records that a task no longer runs on a machine. done reports that it completed.
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

// CheckCancellations checks that no task still runs when the cancel timeout has passed since the
// cancellation of its job was confirmed. It sees only the tasks that run when it is called, so
// callers must repeat it at short intervals.
func (c *InvariantChecker) CheckCancellations() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for task, machines := range c.placements {
		confirmed := c.jobs[task.job].cancelConfirmedAt
		if confirmed.IsZero() || time.Since(confirmed) <= c.cancelTimeout {
			continue
		}
		for id := range machines {
			c.recordViolationLocked("ran_cancelled: %s/%d runs on %s %v after the cancellation was confirmed", task.job, task.index, id, time.Since(confirmed))
		}
	}
}
