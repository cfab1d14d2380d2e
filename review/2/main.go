// Command 2 takes back the machine of one of two replicas that have to be in different zones, and
// checks that the replica runs again.
package main

import (
	"fmt"
	"time"

	"dunestand/internal/protocol"
	"dunestand/review/standin"
)

const (
	folder     = "review/2"
	large      = "taytay"  // the zone with one large machine that stays
	small      = "baliuag" // the zone whose only machine is taken back
	maxWaiting = 90 * time.Second
)

func main() {
	zones := []string{large, small}
	standin.Main(folder, standin.Config{
		Controllers: 3,
		Zones:       zones,
		Teams:       []map[string]any{{"name": "planning", "cpus": 8.0, "cpus_max": 36.0, "gpus": 0.0, "gpus_max": 0.0}},
		Report:      5, Lease: 26, Cancel: 46,
		Types: []protocol.InstanceType{
			{Name: "bobbin", CPUs: 4, MemoryGB: 16, CacheGB: 35, FetchRate: 0.3, Price: 0.25, SpotPrice: 0.07, BootSeconds: 15, Zones: zones},
			{Name: "jacquard", CPUs: 32, MemoryGB: 128, CacheGB: 60, FetchRate: 0.4, Price: 2.2, SpotPrice: 0.63, BootSeconds: 35, Zones: zones},
		},
		Offers: []standin.Offer{
			{Type: "bobbin", Zone: large, Count: 1},
			{Type: "bobbin", Zone: small, Count: 1},
			{Type: "bobbin", Zone: large, Spot: true, Count: 5},
			{Type: "bobbin", Zone: small, Spot: true, Count: 5},
			{Type: "jacquard", Zone: large, Count: 1},
		},
		CloudDelay: 200 * time.Millisecond,
		Boot:       15 * time.Second,
	}, run)
}

// replicas returns the number of replicas that are up.
func replicas(c *standin.Cluster) (up int) {
	for _, worker := range c.Cloud.Alive() {
		up += len(worker.Running())
	}
	return up
}

func run(c *standin.Cluster, trouble bool) (standin.Result, string) {
	c.Cloud.Add("jacquard", large, false)
	cheap := c.Cloud.Add("bobbin", small, true)
	if c.WaitForLeader("", 10*time.Second) == "" {
		return standin.CannotRun, "no leader"
	}
	service := standin.Job{Tasks: 2, CPUs: 2, Fetch: 300 * time.Millisecond, Service: true}
	fields := map[string]any{"queue": "orderdesk", "urgency": "prod", "apart": true, "memory_gb": 6.4}
	if !c.Submit("j-000001", service, fields) {
		return standin.CannotRun, "the service is not accepted"
	}
	for end := time.Now().Add(15 * time.Second); replicas(c) < service.Tasks; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			return standin.CannotRun, "the replicas do not come up"
		}
	}
	if trouble {
		c.Cloud.Take(cheap.ID)
	}
	began := time.Now()
	down := began // since when a replica has been missing
	for time.Since(began) < maxWaiting+time.Second {
		if replicas(c) == service.Tasks {
			down = time.Now()
		}
		if trouble && down.After(began) && time.Since(began) > 30*time.Second {
			break
		}
		c.Poll(c.Names[0], "j-000001")
		time.Sleep(time.Second)
	}
	if replicas(c) == service.Tasks {
		return standin.Held, "both replicas are up"
	}
	return standin.Broken, fmt.Sprintf("%d of %d replicas are up, and have been for %.0f s; machines hired meanwhile: %d",
		replicas(c), service.Tasks, time.Since(down).Seconds(), c.Cloud.Hired())
}
