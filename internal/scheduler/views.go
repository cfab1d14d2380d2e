package scheduler

import (
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// Snapshot is all that a round of decisions looks at. Planning is a pure
// function of it: no clock, no input or output, no chance.
type Snapshot struct {
	Teams         []TeamView
	Machines      []MachineView
	Jobs          []JobView
	MaxPlacements int  // the most starts in this round
	Partial       bool // not all machines are in view: none is held for a job
}

// TeamView is a team's limit and what may be running for it.
type TeamView struct {
	GuaranteedQuota, QuotaLimit, Used units.Resources
	Freeing                           units.Resources // part of Used, held by tasks that were told to stop
	Blocked                           bool            // a job that goes first finds no room in the limit
}

// MachineView is a machine.
type MachineView struct {
	ID                     string
	InstanceType, Zone     string
	Spot                   bool
	Schedulable            bool // may be given work
	HeartbeatPending       bool // its report is being answered: a start reaches it now
	HalfSecondsToHeartbeat int  // a start reaches it with its next report, in so many half seconds
	Slow                   bool
	Reserved               bool // its room is kept for a job that goes before the rest
	Capacity, Free         units.Resources
	Freeing                units.Resources // held by tasks that were told to stop
	Headroom               units.Resources // part of the free room, for replicas of services alone
	FetchRate              units.Amount    // GB a second
	HasImage               func(name string) bool
	// Victims lists the tasks that could be stopped; nil if none may be. It is
	// asked once, and only if room has to be made; the list is the planner's.
	Victims func() []Victim
}

// JobView is a job that has pending tasks.
type JobView struct {
	Spec              *protocol.JobSpec
	Team              int
	WithinGuarantee   bool // within its team's guarantee
	MissesDeadline    bool // cannot be in time any more
	AwaitsCompletions bool // tasks that end by themselves may still make room in time
	Starved           bool // has waited too long for its first task to begin
	Rank              float64
	SubmittedAt       int64 // settles ties: the earlier submission first
	Pending           int
	LiveTasks         int            // tasks that may be on machines
	LiveByZone        map[string]int // the same by zone, for jobs that care
	LiveByMachine     map[int]int    // and by machine, for services
	Avoid             func(machine string) bool
}

// Victim is a task that could be stopped to make room.
type Victim struct {
	Ref      int // the caller's own number for it
	Team     int
	Priority protocol.Priority
	Request  units.Resources
	LostWork units.Micros // the work that is lost by stopping it
	Job      *JobView     // what it would be planned as, once stopped
}
