package scheduler

import (
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// Snapshot is all that a cycle decides on. Planning is a pure function of it: no clock, no
// input or output, no chance. Plan changes the views as it decides.
type Snapshot struct {
	Teams         []TeamView
	Machines      []MachineView
	Jobs          []JobView
	MaxPlacements int  // the most tasks to be placed in this cycle
	Partial       bool // not all machines are in view: none is reserved for a job
}

// TeamView is a team's quota and its usage.
type TeamView struct {
	GuaranteedQuota units.Resources
	QuotaLimit      units.Resources
	Used            units.Resources // by tasks that may be running
	Freeing         units.Resources // part of Used, held by tasks that are being stopped
	Blocked         bool            // a job that goes first does not fit the limit: the rest waits
}

// MachineView is a machine.
type MachineView struct {
	ID                     string
	InstanceType           string
	Zone                   string
	Spot                   bool
	Schedulable            bool // may be given work
	HeartbeatPending       bool // its heartbeat is being answered: a start reaches it now
	HalfSecondsToHeartbeat int  // a start reaches it with its next heartbeat, in so many half seconds
	Slow                   bool // slower than its siblings
	Reserved               bool // its free capacity is kept for a job that goes before the rest
	Capacity               units.Resources
	Free                   units.Resources
	Freeing                units.Resources // held by tasks that are being stopped
	Headroom               units.Resources // part of Free, for replicas of services alone
	FetchRate              units.Amount    // of images, in GB a second
	HasImage               func(name string) bool
	// Victims lists the tasks that could be preempted; nil if none may be. It is
	// called once, and only if capacity has to be freed; the list is the planner's.
	Victims func() []Victim
}

// Victim is a task that could be preempted.
type Victim struct {
	Ref      int // the caller's own number for it
	Team     int // place in the snapshot
	Priority protocol.Priority
	Request  units.Resources
	LostWork units.Micros // the work that is lost by stopping it
	Job      *JobView     // what it would be planned as, once stopped
}

// JobView is a job that has pending tasks.
type JobView struct {
	Spec              *protocol.JobSpec
	Team              int            // place in the snapshot
	WithinGuarantee   bool           // within its team's guaranteed quota
	MissesDeadline    bool           // cannot be in time any more
	AwaitsCompletions bool           // tasks that end by themselves may still make room in time
	Starved           bool           // has waited too long for its first task to begin
	Rank              float64        // by the policy: the lower rank first
	SubmittedAt       int64          // settles ties: the earlier submission first
	Pending           int            // tasks to be placed
	LiveTasks         int            // tasks that may be on machines
	LiveByZone        map[string]int // the same by zone, for jobs whose placement depends on it
	LiveByMachine     map[int]int    // and by the machine's place in the snapshot, for services
	// Avoid reports whether the job must not be placed on a machine.
	Avoid func(machine string) bool
}
