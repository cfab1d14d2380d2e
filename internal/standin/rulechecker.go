package standin

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"dunestand/internal/protocol"
)

// RuleChecker holds the protocol's rules against what machines do and what users
// are told. It knows nothing of what the controllers think.
type InvariantChecker struct {
	mu                sync.Mutex
	cancelTimeout     time.Duration
	quotaLimit        float64 // processors of the only team
	jobs              map[string]*checkedJob
	placements        map[taskID]map[string]*MachineInfo // machines that a task is on
	violations        []string
	startsAfterCancel int // starts after a confirmed cancellation
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
	CPUs         float64
	RunTime      time.Duration // of the last task; the others run a part of it
	ZoneAffinity bool
	AntiAffinity bool
	Zone         string // the only allowed one; "": any
	Priority     string
	ImageFetch   time.Duration // of its image; 0: the usual
}

// MachineInfo is where a task is.
type MachineInfo struct{ ID, Zone string }

type checkedJob struct {
	JobInfo
	accepted          bool // its user was told that it is accepted
	cancelRequested   bool // its user wants it cancelled
	lastStage         protocol.Stage
	cancelConfirmedAt time.Time
	answered          time.Time // when its user was last answered
	done              map[int]bool
}

// NewRuleChecker holds a team to a limit of processors, and cancelled tasks to a time.
func NewInvariantChecker(quotaLimit float64, cancelTimeout time.Duration) *InvariantChecker {
	return &InvariantChecker{
		cancelTimeout: cancelTimeout,
		quotaLimit:    quotaLimit,
		jobs:          map[string]*checkedJob{},
		placements:    map[taskID]map[string]*MachineInfo{},
	}
}

func (r *InvariantChecker) violated(format string, args ...any) {
	if len(r.violations) < 20 {
		r.violations = append(r.violations, fmt.Sprintf(format, args...))
	}
}

// Submitted notes that a user sends a job.
func (r *InvariantChecker) JobSubmitted(j JobInfo) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.jobs[j.ID] == nil {
		r.jobs[j.ID] = &checkedJob{JobInfo: j, done: map[int]bool{}, answered: time.Now()}
	}
}

// Asked notes that a user wants a job cancelled.
func (r *InvariantChecker) CancelRequested(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs[id].cancelRequested = true
}

// Job describes a job to a worker, and tells whether it was submitted.
func (r *InvariantChecker) Job(id string) (JobInfo, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if j := r.jobs[id]; j != nil {
		return j.JobInfo, true
	}
	return JobInfo{}, false
}

// Answered holds an answer to a user against what was told before.
func (r *InvariantChecker) ResponseReceived(id string, duplicate bool, status int, stage protocol.Stage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[id]
	if j == nil {
		if status == 200 {
			r.violated("invented: %s", id)
		}
		return
	}
	switch {
	case status == 404 && j.accepted, (status == 400 || status == 422) && duplicate && j.accepted:
		r.violated("forgotten: %s is answered %d", id, status)
	case status != 200 && status != 201:
		return
	}
	j.answered = time.Now()
	if status == 200 || status == 201 {
		j.accepted = true
	}
	if j.lastStage.Final() && stage != j.lastStage {
		r.violated("went_back: %s was called %s, now %s", id, j.lastStage, stage)
	}
	switch {
	case stage == protocol.StageDone && len(j.done) < j.Tasks:
		r.violated("not_done: %s is called done with %d of %d tasks", id, len(j.done), j.Tasks)
	case stage == protocol.StageCancelled && !j.cancelRequested:
		r.violated("went_back: %s is called cancelled, which nobody asked for", id)
	case stage == protocol.StageCancelled && j.cancelConfirmedAt.IsZero():
		j.cancelConfirmedAt = time.Now()
	}
	j.lastStage = stage
}

// Started holds the start of a task on a machine against the rules.
func (r *InvariantChecker) TaskStarted(job string, index int, m *MachineInfo) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j, name := r.jobs[job], taskID{job, index}
	r.starts++
	for other := range r.placements[name] {
		r.violated("ran_twice: %s/%d starts on %s while it is on %s", job, index, m.ID, other)
	}
	if !j.cancelConfirmedAt.IsZero() {
		r.startsAfterCancel++
	}
	zones := map[string]int{}
	used := j.CPUs
	for other, machines := range r.placements {
		for _, at := range machines {
			used += r.jobs[other.job].CPUs
			if other.job == job {
				zones[at.Zone]++
			}
		}
	}
	if used > r.quotaLimit {
		r.violated("quota: %g processors with %s/%d, of %g", used, job, index, r.quotaLimit)
	}
	if j.Zone != "" && j.Zone != m.Zone || j.ZoneAffinity && len(zones) > 0 && zones[m.Zone] == 0 || j.AntiAffinity && zones[m.Zone]+1 > (j.Tasks+1)/2 {
		r.violated("wrong_place: %s/%d in zone %s, the others %v", job, index, m.Zone, zones)
	}
	if r.placements[name] == nil {
		r.placements[name] = map[string]*MachineInfo{}
	}
	r.placements[name][m.ID] = m
}

// Ended notes that a task is not on a machine any more.
func (r *InvariantChecker) TaskEnded(job string, index int, machine string, done bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	name := taskID{job, index}
	delete(r.placements[name], machine)
	if len(r.placements[name]) == 0 {
		delete(r.placements, name)
	}
	if done {
		r.jobs[job].done[index] = true
	}
}

// Look holds what is on machines against the cancellations told to users.
func (r *InvariantChecker) CheckCancellations() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, machines := range r.placements {
		j := r.jobs[name.job]
		if !j.cancelConfirmedAt.IsZero() && time.Since(j.cancelConfirmedAt) > r.cancelTimeout {
			for id := range machines {
				r.violated("ran_cancelled: %s/%d is on %s %v after its user was told", name.job, name.index, id, time.Since(j.cancelConfirmedAt))
			}
		}
	}
}

// Broken lists the rules that were broken.
func (r *InvariantChecker) Violations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.violations)
}

// LateStarts counts starts of tasks whose users had been told of the cancellation.
func (r *InvariantChecker) StartsAfterCancel() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.startsAfterCancel
}

// Starts counts all starts.
func (r *InvariantChecker) Starts() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.starts
}

// On counts the tasks of a job that are on machines.
func (r *InvariantChecker) RunningTasks(job string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for name := range r.placements {
		if name.job == job {
			n++
		}
	}
	return n
}

// Told gives what the user of a job was told last.
func (r *InvariantChecker) LastStage(job string) protocol.Stage {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.jobs[job].lastStage
}

// Confirmed counts the jobs whose users were told that they are cancelled.
func (r *InvariantChecker) ConfirmedCancellations() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, j := range r.jobs {
		if !j.cancelConfirmedAt.IsZero() {
			n++
		}
	}
	return n
}

// Open lists the accepted jobs whose users have not been told of their end.
func (r *InvariantChecker) UnfinishedJobs() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for _, id := range slices.Sorted(maps.Keys(r.jobs)) {
		if j := r.jobs[id]; j.accepted && !j.lastStage.Final() {
			out = append(out, fmt.Sprintf("%s: %d of %d done, told %q", id, len(j.done), j.Tasks, j.lastStage))
		}
	}
	return out
}

// Unanswered lists the accepted jobs that are not over and about which no question
// was answered for a time.
func (r *InvariantChecker) Unanswered(d time.Duration) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for _, id := range slices.Sorted(maps.Keys(r.jobs)) {
		if j := r.jobs[id]; j.accepted && !j.lastStage.Final() && time.Since(j.answered) > d {
			out = append(out, id)
		}
	}
	return out
}
