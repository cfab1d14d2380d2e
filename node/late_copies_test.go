package node

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"dunestand/internal/fake"
	"dunestand/internal/protocol"
)

// briefRestart is a downtime of less than a second.
const briefRestart = 400 * time.Millisecond

// copyTest is a deployment with one machine in each zone, a job on one of them and a service on both.
type copyTest struct {
	*deployment
	job     fake.JobInfo
	machine *fake.Machine // on which the job started
}

// startJobs submits the job, waits until its tasks run, and then submits the service. Its replicas start
// while the next heartbeats are seconds away, so the machines are woken by pushes.
func (c *copyTest) startJobs(runTime time.Duration) {
	c.job = c.newJob(int(machineCPUs)-1, runTime)
	c.submit(c.job)
	c.waitUntilRunning(c.job)
	c.machine = c.busyMachines()[0]
	service := c.newJob(len(zones), endlessRunTime)
	service.Service, service.ZoneSpread = true, true
	c.submit(service)
	c.waitUntilRunning(service)
}

// waitUntilRunning waits until all tasks of a job run.
func (c *copyTest) waitUntilRunning(job fake.JobInfo) {
	c.waitUntil("the tasks run", func() bool { return c.invariants.RunningTasks(job.ID) == job.Tasks })
}

// moveTasks has an urgent job preempt the job's tasks, which then start on the other machine.
func (c *copyTest) moveTasks() {
	urgent := c.newJob(int(machineCPUs)-1, endlessRunTime)
	urgent.Priority, urgent.Zone = protocol.Production, c.machine.Zone
	c.submit(urgent)
	c.waitUntilRunning(urgent)
	c.waitUntilRunning(c.job)
}

// deliverCopies delivers all pushes that machines have received once more and gives tasks time to start.
func (c *copyTest) deliverCopies() (executed int) {
	for _, m := range c.allMachines() {
		executed += m.DeliverPushCopies()
	}
	c.sleep(3 * time.Second)
	return executed
}

// restartMachines has all machines come back after a brief downtime.
func (d *deployment) restartMachines() {
	for _, m := range d.allMachines() {
		m.Restart(briefRestart)
	}
}

// Copies of all that was pushed to a machine reach it once more, after its tasks have ended, moved or been
// cancelled, and after controllers or machines have come back within a second. No attempt may start a
// second time. Starts are never pushed, and a copy of a heartbeat response reaches no worker.
func TestLateCopiesOfCommandsStartNoTask(t *testing.T) {
	before := []struct {
		name string
		do   func(c *copyTest)
	}{
		{"tasks run", func(*copyTest) {}},
		{"tasks done and forgotten", func(c *copyTest) {
			c.waitUntil("the job is done", func() bool { return c.invariants.LastStage(c.job.ID) == protocol.StageDone })
			c.sleep(5 * time.Second)
		}},
		{"tasks moved", (*copyTest).moveTasks},
		{"tasks cancelled", func(c *copyTest) { c.cancelAll([]fake.JobInfo{c.job}) }},
	}
	then := []struct {
		name string
		do   func(c *copyTest)
	}{
		{"at once", func(*copyTest) {}},
		{"new leader", func(c *copyTest) { c.restart(c.leader(), briefRestart) }},
		{"all controllers back", func(c *copyTest) { c.restartAll(briefRestart) }},
		{"machines back", func(c *copyTest) {
			c.restartMachines()
			c.sleep(briefRestart)
		}},
		{"machines and controllers back", func(c *copyTest) {
			c.restartMachines()
			c.restartAll(briefRestart)
		}},
		{"new session", func(c *copyTest) {
			c.machine.InjectFault(fake.Fault{HeartbeatsLost: true})
			c.sleep(workerLease + time.Second)
			c.machine.InjectFault(fake.Fault{})
		}},
	}
	executed := 0
	for _, b := range before {
		for _, a := range then {
			t.Run(b.name+", "+a.name, func(t *testing.T) {
				options := deploymentOptions{machines: 2, heartbeatInterval: 4 * time.Second, cancelTimeout: hangCancelTimeout}
				simulate(t, options, func(d *deployment) {
					c := &copyTest{deployment: d}
					runTime := endlessRunTime
					if b.name == "tasks done and forgotten" {
						runTime = 2 * time.Second
					}
					c.startJobs(runTime)
					b.do(c)
					a.do(c)
					executed += c.deliverCopies()
					c.sleep(2 * workerLease)
					executed += c.deliverCopies()
					c.cancelRunning()
				})
			})
		}
	}
	if executed < len(before)*len(then) {
		t.Errorf("only %d copies were executed", executed)
	}
}

// cancelRunning cancels the jobs that have running tasks.
func (c *copyTest) cancelRunning() {
	var last int
	c.update(func() { last = c.jobCount })
	for i := range last {
		if id := fmt.Sprintf("j-%06d", i+1); !c.invariants.LastStage(id).IsTerminal() {
			c.cancel(id)
		}
	}
}

// Machines and controllers come back within a second, and then late copies of heartbeats arrive that the
// machines sent before. They do not show the tasks that run since. A leader once took these tasks for
// lost, as the copies have later sequence numbers, and started them on other machines as well.
func TestLateCopiesOfHeartbeatsFromBeforeRestartHideNoTask(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			simulate(t, deploymentOptions{machines: 4, seed: seed}, func(d *deployment) {
				copies := map[string]func(controller string){}
				for _, m := range d.allMachines() {
					deliver := m.CaptureHeartbeat()
					copies[m.ID] = func(controller string) { deliver(d.ctx, controller) }
				}
				d.restartMachines()
				d.restartAll(briefRestart)
				jobs := d.startEndlessJobs(1, int(machineCPUs))
				leader := d.controllers[d.leader()].name
				for _, m := range slices.Clone(d.busyMachines()) {
					copies[m.ID](leader)
				}
				d.sleep(workerLease)
				d.cancelAll(jobs)
			})
		})
	}
}
