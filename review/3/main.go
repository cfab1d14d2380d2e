// Command 3 lets one machine run its tasks at half the speed for some seconds, and checks that an
// urgent job that fits no other machine runs there afterwards.
package main

import (
	"fmt"
	"time"

	"dunestand/internal/protocol"
	"dunestand/review/standin"
)

const (
	home       = "mandaue"        // the zone of the urgent job
	factor     = 2.0              // as in the site file
	maxWaiting = 90 * time.Second // as the users' page has it
	margin     = 500 * time.Millisecond
)

func main() {
	zones := []string{"taytay", "baliuag", home}
	config := standin.Config{
		Controllers: 3,
		Zones:       zones,
		Teams:       []map[string]any{{"name": "planning", "cpus": 12.0, "cpus_max": 24.0, "gpus": 0.0, "gpus_max": 0.0}},
		Report:      3, Lease: 26, Cancel: 46,
		Types: []protocol.InstanceType{{
			Name: "shuttle", CPUs: 8, MemoryGB: 64, CacheGB: 60, FetchRate: 1, Price: 0.6, SpotPrice: 0.18, BootSeconds: 15,
			Zones: zones,
		}},
		CloudDelay: 200 * time.Millisecond,
		Boot:       15 * time.Second,
	}
	for _, zone := range zones { // as in the site file
		config.Offers = append(config.Offers, standin.Offer{Type: "shuttle", Zone: zone, Count: 1})
	}
	standin.Main("review/3", config, run)
}

func run(c *standin.Cluster, trouble bool) (standin.Result, string) {
	for _, zone := range []string{"taytay", "baliuag"} {
		c.Cloud.Add("shuttle", zone, false)
	}
	machine := c.Cloud.Add("shuttle", home, false)
	if c.WaitForLeader("", 10*time.Second) == "" {
		return standin.CannotRun, "no leader"
	}
	if trouble {
		machine.SetSlow(factor)
		c.Record.Printf("machine %s runs its tasks slower, by a factor of %.1f", machine.ID, factor)
	}
	array := standin.Job{Tasks: 64, CPUs: 1, Run: 2500 * time.Millisecond, Fetch: 300 * time.Millisecond}
	if !c.Submit("j-000001", array, map[string]any{"queue": "loomplan"}) || !c.WaitForStage("j-000001", protocol.StageDone, 30*time.Second) {
		return standin.CannotRun, "the array does not get done"
	}
	machine.SetSlow(0)
	c.Record.Printf("machine %s has its full speed: the trouble is over", machine.ID)
	job := standin.Job{Tasks: 1, CPUs: 4, Run: 3 * time.Second, Fetch: 300 * time.Millisecond}
	bound := map[string]any{"yard": home, "urgency": "high"}
	if !c.Submit("j-000002", job, bound) {
		return standin.CannotRun, "the urgent job is not accepted"
	}
	accepted, starts := time.Now(), machine.Starts()
	for time.Since(accepted) < maxWaiting+margin {
		if machine.Starts() > starts {
			if c.WaitForStage("j-000002", protocol.StageDone, 15*time.Second) {
				return standin.Held, "the urgent job got done"
			}
			return standin.CannotRun, "the urgent job was started and does not get done"
		}
		if c.Cloud.Alive()[machine.ID] == nil {
			return standin.CannotRun, "the machine was returned"
		}
		if machine.Used() != 0 {
			return standin.CannotRun, "the machine is taken"
		}
		c.Poll(c.Names[0], "j-000002")
		time.Sleep(2 * time.Second)
	}
	// The same job with a lower priority shows that the machine takes work.
	fits := c.Submit("j-000003", job, map[string]any{"yard": home}) && c.WaitForStage("j-000003", protocol.StageDone, 10*time.Second)
	_, state := c.Poll(c.Names[0], "j-000002")
	return standin.Broken, fmt.Sprintf("the urgent job is %s 90 s after the trouble, with its machine free all the time; a like job of normal priority got done there: %t", state.Stage, fits)
}
