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
type RuleChecker struct {
	mu       sync.Mutex
	cancel   time.Duration
	limit    float64 // processors of the only team
	jobs     map[string]*checkedJob
	on       map[taskName]map[string]*MachineInfo // machines that a task is on
	broken   []string
	late     int // starts after a confirmed cancellation
	attempts int
}

type taskName struct {
	job   string
	index int
}

// JobInfo is a job as its user describes it.
type JobInfo struct {
	ID      string
	Tasks   int
	CPUs    float64
	Runs    time.Duration // of the last task; the others run a part of it
	OneZone bool
	Spread  bool
	Zone    string // the only allowed one; "": any
	Urgency string
	Fetch   time.Duration // of its image; 0: the usual
}

// MachineInfo is where a task is.
type MachineInfo struct{ ID, Zone string }

type checkedJob struct {
	JobInfo
	known     bool // its user was told that it is accepted
	asked     bool // its user wants it cancelled
	told      protocol.JobStage
	confirmed time.Time
	answered  time.Time // when its user was last answered
	done      map[int]bool
}

// NewRuleChecker holds a team to a limit of processors, and cancelled tasks to a time.
func NewRuleChecker(limit float64, cancel time.Duration) *RuleChecker {
	return &RuleChecker{
		cancel: cancel,
		limit:  limit,
		jobs:   map[string]*checkedJob{},
		on:     map[taskName]map[string]*MachineInfo{},
	}
}

func (r *RuleChecker) breach(format string, args ...any) {
	if len(r.broken) < 20 {
		r.broken = append(r.broken, fmt.Sprintf(format, args...))
	}
}

// Submitted notes that a user sends a job.
func (r *RuleChecker) Submitted(j JobInfo) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.jobs[j.ID] == nil {
		r.jobs[j.ID] = &checkedJob{JobInfo: j, done: map[int]bool{}, answered: time.Now()}
	}
}

// Asked notes that a user wants a job cancelled.
func (r *RuleChecker) Asked(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs[id].asked = true
}

// Job describes a job to a worker, and tells whether it was submitted.
func (r *RuleChecker) Job(id string) (JobInfo, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if j := r.jobs[id]; j != nil {
		return j.JobInfo, true
	}
	return JobInfo{}, false
}

// Answered holds an answer to a user against what was told before.
func (r *RuleChecker) Answered(id string, repeat bool, status int, stage protocol.JobStage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[id]
	if j == nil {
		if status == 200 {
			r.breach("invented: %s", id)
		}
		return
	}
	switch {
	case status == 404 && j.known, (status == 400 || status == 422) && repeat && j.known:
		r.breach("forgotten: %s is answered %d", id, status)
	case status != 200 && status != 201:
		return
	}
	j.answered = time.Now()
	if status == 200 || status == 201 {
		j.known = true
	}
	if j.told.IsTerminal() && stage != j.told {
		r.breach("went_back: %s was called %s, now %s", id, j.told, stage)
	}
	switch {
	case stage == protocol.StageDone && len(j.done) < j.Tasks:
		r.breach("not_done: %s is called done with %d of %d tasks", id, len(j.done), j.Tasks)
	case stage == protocol.StageCancelled && !j.asked:
		r.breach("went_back: %s is called cancelled, which nobody asked for", id)
	case stage == protocol.StageCancelled && j.confirmed.IsZero():
		j.confirmed = time.Now()
	}
	j.told = stage
}

// Started holds the start of a task on a machine against the rules.
func (r *RuleChecker) Started(job string, index int, m *MachineInfo) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j, name := r.jobs[job], taskName{job, index}
	r.attempts++
	for other := range r.on[name] {
		r.breach("ran_twice: %s/%d starts on %s while it is on %s", job, index, m.ID, other)
	}
	if !j.confirmed.IsZero() {
		r.late++
	}
	zones := map[string]int{}
	used := j.CPUs
	for other, machines := range r.on {
		for _, at := range machines {
			used += r.jobs[other.job].CPUs
			if other.job == job {
				zones[at.Zone]++
			}
		}
	}
	if used > r.limit {
		r.breach("quota: %g processors with %s/%d, of %g", used, job, index, r.limit)
	}
	if j.Zone != "" && j.Zone != m.Zone || j.OneZone && len(zones) > 0 && zones[m.Zone] == 0 || j.Spread && zones[m.Zone]+1 > (j.Tasks+1)/2 {
		r.breach("wrong_place: %s/%d in zone %s, the others %v", job, index, m.Zone, zones)
	}
	if r.on[name] == nil {
		r.on[name] = map[string]*MachineInfo{}
	}
	r.on[name][m.ID] = m
}

// Ended notes that a task is not on a machine any more.
func (r *RuleChecker) Ended(job string, index int, machine string, done bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	name := taskName{job, index}
	delete(r.on[name], machine)
	if len(r.on[name]) == 0 {
		delete(r.on, name)
	}
	if done {
		r.jobs[job].done[index] = true
	}
}

// Look holds what is on machines against the cancellations told to users.
func (r *RuleChecker) Look() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, machines := range r.on {
		j := r.jobs[name.job]
		if !j.confirmed.IsZero() && time.Since(j.confirmed) > r.cancel {
			for id := range machines {
				r.breach("ran_cancelled: %s/%d is on %s %v after its user was told", name.job, name.index, id, time.Since(j.confirmed))
			}
		}
	}
}

// Broken lists the rules that were broken.
func (r *RuleChecker) Broken() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.broken)
}

// LateStarts counts starts of tasks whose users had been told of the cancellation.
func (r *RuleChecker) LateStarts() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.late
}

// Starts counts all starts.
func (r *RuleChecker) Starts() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.attempts
}

// On counts the tasks of a job that are on machines.
func (r *RuleChecker) On(job string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for name := range r.on {
		if name.job == job {
			n++
		}
	}
	return n
}

// Told gives what the user of a job was told last.
func (r *RuleChecker) Told(job string) protocol.JobStage {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.jobs[job].told
}

// Confirmed counts the jobs whose users were told that they are cancelled.
func (r *RuleChecker) Confirmed() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, j := range r.jobs {
		if !j.confirmed.IsZero() {
			n++
		}
	}
	return n
}

// Open lists the accepted jobs whose users have not been told of their end.
func (r *RuleChecker) Open() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for _, id := range slices.Sorted(maps.Keys(r.jobs)) {
		if j := r.jobs[id]; j.known && !j.told.IsTerminal() {
			out = append(out, fmt.Sprintf("%s: %d of %d done, told %q", id, len(j.done), j.Tasks, j.told))
		}
	}
	return out
}
