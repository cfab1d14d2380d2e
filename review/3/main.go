// Command 3 lets one machine fail the task of a job that fits no other machine, and checks that the
// job runs once the machine is sound again.
package main

import (
	"fmt"
	"time"

	"dunestand/internal/protocol"
	"dunestand/review/standin"
)

const (
	home       = "mandaue"        // the zone of the job
	sickFor    = 5 * time.Second  // after the first failure; the site file has 90 s
	maxWaiting = 90 * time.Second // as the users' page has it
	margin     = 500 * time.Millisecond
)

func main() {
	zones := []string{"taytay", "baliuag", home}
	config := standin.Config{
		Controllers: 3,
		Zones:       zones,
		Teams:       []map[string]any{{"name": "planning", "cpus": 6.0, "cpus_max": 12.0, "gpus": 0.0, "gpus_max": 0.0}},
		Report:      3, Lease: 26, Cancel: 46,
		Types: []protocol.InstanceType{{
			Name: "bobbin", CPUs: 4, MemoryGB: 16, CacheGB: 35, FetchRate: 0.3, Price: 0.25, SpotPrice: 0.07, BootSeconds: 15,
			Zones: zones,
		}},
		CloudDelay: 200 * time.Millisecond,
		Boot:       15 * time.Second,
	}
	for _, zone := range zones { // as in the site file
		config.Offers = append(config.Offers, standin.Offer{Type: "bobbin", Zone: zone, Count: 1},
			standin.Offer{Type: "bobbin", Zone: zone, Spot: true, Count: 4})
	}
	standin.Main("review/3", config, run)
}

func run(c *standin.Cluster, trouble bool) (standin.Result, string) {
	for _, zone := range []string{"taytay", "baliuag"} {
		c.Cloud.Add("bobbin", zone, false)
	}
	machine := c.Cloud.Add("bobbin", home, false)
	if c.WaitForLeader("", 10*time.Second) == "" {
		return standin.CannotRun, "no leader"
	}
	if trouble {
		machine.SetSick(true)
		c.Record.Printf("machine %s is sick", machine.ID)
	}
	job := standin.Job{Tasks: 1, CPUs: 2, Run: 5 * time.Second, Fetch: 300 * time.Millisecond}
	bound := map[string]any{"yard": home, "borrowed": false}
	if !c.Submit("j-000001", job, bound) {
		return standin.CannotRun, "the job is not accepted"
	}
	if !trouble {
		if !c.WaitForStage("j-000001", protocol.StageDone, 30*time.Second) {
			return standin.CannotRun, "the job does not get done on a sound machine"
		}
		return standin.Held, "the job got done"
	}
	for end := time.Now().Add(12 * time.Second); machine.Failures() == 0; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			return standin.CannotRun, "the machine got no task"
		}
	}
	time.Sleep(sickFor)
	machine.SetSick(false)
	sound := time.Now()
	c.Record.Printf("machine %s is sound again: the trouble is over", machine.ID)
	starts := machine.Starts()
	for time.Since(sound) < maxWaiting+margin {
		if machine.Starts() > starts {
			return standin.Held, fmt.Sprintf("the job was started %.0f s after the trouble", time.Since(sound).Seconds())
		}
		if c.Cloud.Alive()[machine.ID] == nil {
			return standin.CannotRun, "the machine was returned"
		}
		if machine.Used() != 0 {
			return standin.CannotRun, "the machine is taken"
		}
		c.Poll(c.Names[0], "j-000001")
		time.Sleep(2 * time.Second)
	}
	// Another job with the same needs shows that the machine takes work.
	fits := c.Submit("j-000002", job, bound) && c.WaitForStage("j-000002", protocol.StageDone, 12*time.Second)
	_, state := c.Poll(c.Names[0], "j-000001")
	return standin.Broken, fmt.Sprintf("the job is %s 90 s after the trouble, with its machine free all the time; a like job got done there: %t", state.Stage, fits)
}
