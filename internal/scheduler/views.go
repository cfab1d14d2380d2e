package scheduler

import (
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// Snapshot is the complete input of Plan, which is a pure function of it: it uses no clock, no
// input or output and no random numbers. Plan modifies the views while it decides.
type Snapshot struct {
	Teams         []TeamView
	Machines      []MachineView
	Jobs          []JobView
	MaxPlacements int  // maximum number of tasks to place in this cycle
	Partial       bool // some machines are left out, so Plan makes no reservations
}

// TeamView is a team's quota and usage.
type TeamView struct {
	GuaranteedQuota units.Resources
	QuotaLimit      units.Resources
	Used            units.Resources // by tasks that may be running
	Freeing         units.Resources // part of Used, held by tasks that are being stopped
	Services        units.Resources // part of Used, held by replicas of services
	Blocked         bool            // a job's next task exceeds QuotaLimit, so the team's later jobs wait
}

// MachineView is a machine's capacity and the properties that placement depends on.
type MachineView struct {
	ID                     string
	InstanceType           string
	Zone                   string
	Spot                   bool
	Schedulable            bool // may be given work
	HeartbeatPending       bool // its heartbeat is being handled, so a start is delivered at once
	HalfSecondsToHeartbeat int  // time until its next heartbeat, whose response delivers a start
	Slow                   bool // runs tasks slower than other machines do
	Reserved               bool // its free capacity is reserved for a job of this cycle
	Capacity               units.Resources
	Free                   units.Resources
	Freeing                units.Resources // held by tasks that are being stopped
	Services               units.Resources // held by replicas of services
	Headroom               units.Resources // reserved for replicas and starved jobs; may exceed Free
	FetchRate              units.Amount    // image download rate in GB per second; 0 if unknown
	HasImage               func(name string) bool
	// Victims returns the tasks that could be preempted; it is nil if none may be. Plan calls it
	// at most once, and only if capacity has to be freed. Plan owns the returned slice.
	Victims func() []Victim
}

// Victim is a task that could be preempted.
type Victim struct {
	Ref      int // identifies the victim in Preemption; assigned by the creator of the snapshot
	Team     int // index in Snapshot.Teams
	Priority protocol.Priority
	Request  units.Resources
	LostWork units.Micros // run time that preemption would lose
	Job      *JobView     // the victim's job, for its scheduling order once the victim waits again
}

// JobView is a job and the properties that its placement depends on.
type JobView struct {
	Spec              *protocol.JobSpec
	Team              int            // index in Snapshot.Teams
	WithinGuarantee   bool           // within its team's guaranteed quota
	MissesDeadline    bool           // expected to miss every deadline
	AwaitsCompletions bool           // waits for running tasks to complete before preempting any
	Starved           bool           // has waited too long for its first task to start
	WaitedLong        bool           // its pending tasks have waited for longWait
	Rank              float64        // by the policy; lower ranks come first
	SubmittedAt       int64          // time of day in microseconds; breaks ties, earlier first
	Pending           int            // tasks to be placed
	LiveTasks         int            // tasks that may be on machines
	LiveByZone        map[string]int // live tasks by zone; nil if placement does not depend on it
	LiveByMachine     map[int]int    // live tasks by index in Snapshot.Machines; nil unless a service
	// Avoid reports whether the job must not be placed on the machine with the given ID.
	Avoid func(machine string) bool
	// FailedOn reports whether a task of the job has failed on the machine with the given ID. If it
	// is nil, none has.
	FailedOn func(machine string) bool

	onlyZone string // the zone to which a gang is limited while Plan tries to place it there; "": none
}
