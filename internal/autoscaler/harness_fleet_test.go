package autoscaler

import (
	"io"
	"log/slog"
	"slices"
	"testing"

	"dunestand/internal/cluster"
	"dunestand/internal/config"
	"dunestand/internal/failuredetector"
	"dunestand/internal/fake"
	"dunestand/internal/loop"
	"dunestand/internal/protocol"
	"dunestand/internal/push"
	"dunestand/internal/scheduler"
	"dunestand/internal/sorted"
	"dunestand/internal/storage"
	"dunestand/internal/telemetry"
	"dunestand/internal/units"
)

// Instance types of a simulatedFleet.
var (
	smallType = protocol.InstanceType{Name: "small", CPUs: 4, MemoryGB: 16, Price: 1, SpotPrice: 0.3, BootSeconds: 15, Zones: []string{"a", "b", "c"}}
	largeType = protocol.InstanceType{Name: "large", CPUs: 32, MemoryGB: 128, Price: 7, SpotPrice: 2, BootSeconds: 35, Zones: []string{"a", "b", "c"}}
)

// simulationStep is the time between two steps of a simulatedFleet.
const simulationStep = autoscaleInterval

// simulatedFleet runs the autoscaler and the scheduler of one leader with simulated machines, users
// and cloud, step by step on a fake clock. Its methods hold no lock, since it has one goroutine.
type simulatedFleet struct {
	t        testing.TB
	as       *Autoscaler
	clock    *fake.Clock
	offered  map[Offering]int // machines that the cloud has left
	rented   int              // machines rented so far
	bootedAt map[string]units.Micros
	lost     map[string]bool // machines that send no heartbeats any more
	deaf     map[string]bool // machines whose heartbeats arrive and that hear no response
	faulty   map[string]bool // machines on which every task fails
	failing  map[string]bool // jobs whose tasks fail on every machine
	runTimes map[string]units.Micros
	failures int // failed attempts so far
}

// newSimulatedFleet returns a fleet without machines whose cloud has the offered ones. The team's quota
// limit is in CPUs.
func newSimulatedFleet(t testing.TB, quotaLimit float64, offered map[Offering]int) *simulatedFleet {
	f := &simulatedFleet{
		t:        t,
		clock:    &fake.Clock{Now: 100 * units.Second},
		offered:  offered,
		bootedAt: map[string]units.Micros{},
		lost:     map[string]bool{},
		deaf:     map[string]bool{},
		faulty:   map[string]bool{},
		failing:  map[string]bool{},
		runTimes: map[string]units.Micros{},
	}
	settings := fake.Settings()
	settings.Fleet.Zones = smallType.Zones
	settings.Fleet.Teams = []config.Team{{Name: "team", GuaranteedCPUs: 1, LimitCPUs: quotaLimit}}
	f.elect(7, settings)
	return f
}

// elect replaces the leader by a new one with a later token, which knows no jobs and machines.
func (f *simulatedFleet) elect(token uint64, settings *config.Settings) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	state := cluster.NewState(settings.Fleet.Teams, settings.Fleet.KVLimits)
	state.Restored = true
	state.UpgradeFormat(storage.FormatV2, f.clock.Now)
	state.SetInstanceTypes([]protocol.InstanceType{smallType, largeType})
	leadership := &fake.Leadership{FencingToken: token}
	detector := failuredetector.New(failuredetector.Deps{
		State:            state,
		Leadership:       leadership,
		Settings:         settings,
		Clock:            f.clock,
		Log:              log,
		ElectedAt:        f.clock.Now,
		UnreachablePeers: func() int { return 0 },
		PeerReachable:    func() bool { return true },
		WriteSignal:      loop.NewSignal(),
	})
	pusher := push.NewCommandPusher(push.CommandPusherDeps{State: state, Leadership: leadership, Settings: settings, Log: log, Token: token})
	policy, err := config.ParsePolicy("test.policy", "reserve_cpus = 0", config.DefaultPolicy())
	if err != nil {
		f.t.Fatal(err)
	}
	f.as = New(Deps{
		State:      state,
		Leadership: leadership,
		Detector:   detector,
		Scheduler: scheduler.New(scheduler.Deps{
			State:       state,
			Detector:    detector,
			Pusher:      pusher,
			Settings:    settings,
			Policy:      policy,
			Clock:       f.clock,
			Log:         log,
			Metrics:     telemetry.NewMetrics(),
			Tracer:      cluster.NewAttemptTracer(log),
			Token:       token,
			WriteSignal: loop.NewSignal(),
		}),
		Settings:    settings,
		Policy:      policy,
		Clock:       f.clock,
		Log:         log,
		Token:       token,
		ElectedAt:   f.clock.Now,
		CycleSignal: loop.NewSignal(),
	})
	f.as.provisioning.listReadAt = f.clock.Now
}

// changeLeader replaces the leader by a new one that has restored the unfinished jobs. It learns of the
// machines and their tasks from the list and the first heartbeats, which come at once.
func (f *simulatedFleet) changeLeader() {
	former := f.as
	f.elect(former.Token+1, former.Settings)
	for _, m := range former.State.SortedMachines() {
		f.as.State.EnsureMachine(m.ID, m.InstanceType, m.Zone, m.Spot, f.clock.Now).LaunchedAt = m.LaunchedAt
	}
	for _, job := range former.State.JobsBySubmission() {
		f.restore(job)
	}
	f.commitWrites()
}

// restore adds a former leader's job and the attempts that are on machines which are not lost.
func (f *simulatedFleet) restore(former *cluster.Job) {
	job := f.as.State.NewJob(former.Spec, former.Submitted, f.clock.Now)
	f.commitWrites()
	for task := range former.Spec.Tasks {
		if former.IsDone(task) {
			f.as.State.TaskDone(job, task, f.clock.Now)
		}
	}
	for attempt := range former.LiveAttempts.All() {
		if !f.lost[attempt.Machine.ID] {
			adopted := f.as.State.Adopt(job, attempt.Index, attempt.Number, f.as.State.Machines[attempt.Machine.ID], f.clock.Now)
			adopted.Stage, adopted.RunningSince, job.Started = cluster.Running, f.clock.Now, true
		}
	}
}

// addMachine adds a machine that is up, and returns its ID.
func (f *simulatedFleet) addMachine(offering Offering) string {
	id := machineID(len(f.bootedAt))
	f.as.State.EnsureMachine(id, offering.InstanceType, offering.Zone, offering.Spot, f.clock.Now)
	f.bootedAt[id] = f.clock.Now
	return id
}

func machineID(number int) string {
	return "i-" + string(rune('a'+number/26)) + string(rune('a'+number%26)) + "0000"
}

// submit adds a durable job. Tasks of a service run until the job is cancelled.
func (f *simulatedFleet) submit(spec protocol.JobSpec, runTime units.Micros) *cluster.Job {
	spec.Class, spec.Team, spec.Image = "c", "team", "i"
	f.runTimes[spec.ID] = runTime
	job := f.as.State.NewJob(spec, f.clock.Now, f.clock.Now)
	f.commitWrites()
	return job
}

func (f *simulatedFleet) commitWrites() {
	for {
		batch := f.as.State.BuildWriteBatch("7-1", make([]uint64, storage.Buckets), cluster.BatchLimits{Background: true}, f.clock.Now)
		if batch == nil {
			return
		}
		f.as.State.BatchCommitted(batch, 1)
	}
}

// run simulates the fleet for a duration.
func (f *simulatedFleet) run(duration units.Micros) {
	for end := f.clock.Now + duration; f.clock.Now < end; {
		f.step()
	}
}

// runUntil simulates the fleet until a condition holds, and fails the test if it does not in time.
func (f *simulatedFleet) runUntil(limit units.Micros, description string, condition func() bool) {
	f.t.Helper()
	for end := f.clock.Now + limit; !condition(); f.step() {
		if f.clock.Now >= end {
			f.t.Fatalf("not within %v: %s", limit.Duration(), description)
		}
	}
}

func (f *simulatedFleet) step() {
	f.clock.Now += simulationStep
	now := f.clock.Now
	for _, m := range slices.Clone(f.as.State.SortedMachines()) {
		if bootedAt, known := f.bootedAt[m.ID]; known && now >= bootedAt && !f.lost[m.ID] {
			m.Registered, m.LastHeartbeat = true, now
			if !f.deaf[m.ID] {
				m.FencingToken = f.as.Token
			}
			m.Stage = protocol.MachineRunning
			f.runTasks(m)
		}
	}
	f.as.Detector.ExpireWorkerLeases(now)
	f.scaleIn()
	f.scaleOut()
	f.as.Scheduler.RunCycle(now, nil)
	f.commitWrites()
}

// runTasks advances the tasks on a machine.
func (f *simulatedFleet) runTasks(m *cluster.Machine) {
	now, outcomes := f.clock.Now, &f.as.State.Outcomes
	for _, attempt := range m.SortedAttempts() {
		job := attempt.Job
		switch {
		case attempt.Stopping:
			f.as.State.RemoveAttempt(attempt, now)
		case f.faulty[m.ID] || f.failing[job.Spec.ID]:
			f.failures++
			if job.IsService() {
				outcomes.ReplicaEnded(attempt, true, now)
			} else {
				outcomes.AttemptFailed(attempt, now)
			}
			f.as.State.RemoveAttempt(attempt, now)
		case attempt.Stage != cluster.Running:
			attempt.Stage, attempt.RunningSince, job.Started = cluster.Running, now, true
		case job.IsService():
			outcomes.ReplicaSteady(attempt, now)
		case now-attempt.RunningSince >= f.runTimes[job.Spec.ID]:
			outcomes.AttemptCompleted(attempt, now)
			f.as.State.TaskDone(job, attempt.Index, now)
			f.as.State.RemoveAttempt(attempt, now)
		}
	}
}

// scaleIn releases the machines that the autoscaler chooses.
func (f *simulatedFleet) scaleIn() {
	for _, id := range f.as.MachinesToRelease(f.clock.Now) {
		if m := f.as.State.Machines[id]; m != nil {
			f.remove(m)
		}
		f.as.State.Released.Add(id, f.clock.Now)
	}
}

// remove removes a machine that is gone. The cloud has it on offer again.
func (f *simulatedFleet) remove(m *cluster.Machine) {
	f.offered[offeringOf(m)]++
	f.as.removeMachine(m, f.clock.Now)
}

// scaleOut carries out the autoscaler's requests, as Autoscaler.scaleOut does.
func (f *simulatedFleet) scaleOut() {
	for range maxScaleOutPasses {
		requests := f.as.planRequests(f.clock.Now)
		if len(requests) == 0 {
			return
		}
		for _, request := range requests {
			f.rent(request)
		}
	}
}

func (f *simulatedFleet) rent(request protocol.ScaleOutRequest) {
	offering := Offering{request.InstanceType, request.Zone, request.Spot}
	count := min(request.Count, f.offered[offering])
	f.as.updateCapacityBackoff(offering, count < request.Count, f.clock.Now)
	f.offered[offering] -= count
	f.rented += count
	for range count {
		id := f.addMachine(offering)
		f.as.State.Machines[id].Stage = protocol.MachineBooting
		f.bootedAt[id] += f.as.bootTime(f.as.State.Machines[id])
	}
}

// runningByZone returns the number of a job's live tasks by zone, on machines that are not lost.
func (f *simulatedFleet) runningByZone(job *cluster.Job) map[string]int {
	zones := map[string]int{}
	for attempt := range job.LiveAttempts.All() {
		if !f.lost[attempt.Machine.ID] && attempt.Stage == cluster.Running {
			zones[attempt.Machine.Zone]++
		}
	}
	return zones
}

// running returns the number of a job's running tasks.
func (f *simulatedFleet) running(job *cluster.Job) int {
	total := 0
	zones := f.runningByZone(job)
	for _, zone := range sorted.Keys(zones) {
		total += zones[zone]
	}
	return total
}
