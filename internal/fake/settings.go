package fake

import (
	"dunestand/internal/config"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// Settings returns the settings of a small fleet: one zone, one team with a guaranteed quota of
// four CPUs and a quota limit of nine, and a heartbeat interval of one second. Each call
// returns a new value, which the caller may change.
func Settings() *config.Settings {
	return &config.Settings{Name: "n", Fleet: config.Fleet{
		Zones:    []string{"a"},
		Teams:    []config.Team{{Name: "team", GuaranteedCPUs: 4, LimitCPUs: 9}},
		Workers:  config.Workers{HeartbeatS: 1, LeaseS: 10, CancelS: 11},
		KVLimits: config.KVLimits{RPS: 100, WriteRPS: 50, ValueKB: 8, TxnOps: 12},
		Cloud:    config.CloudLimits{RPS: 5, ListLagS: 4},
	}}
}

// Catalog returns a catalog for the fleet of Settings: one instance type, with four CPUs.
func Catalog() protocol.Catalog {
	return protocol.Catalog{Types: []protocol.InstanceType{{
		Name:        "m",
		CPUs:        4,
		MemoryGB:    64,
		CacheGB:     10,
		Price:       1,
		SpotPrice:   1,
		BootSeconds: 5,
		Zones:       []string{"a"},
	}}}
}

// JobSpec returns a job array of the team in Settings: two tasks of one CPU each, which
// may run on spot instances.
func JobSpec(id string) *protocol.JobSpec {
	return &protocol.JobSpec{
		ID:        id,
		Class:     "c",
		Team:      "team",
		Tasks:     2,
		Request:   CPUs(1),
		AllowSpot: true,
		Image:     "i",
	}
}

// CPUs returns a resource request of n CPUs and n GB of memory.
func CPUs(n int) units.Resources {
	return units.Resources{CPU: units.Amount(n) * 1_000_000, Memory: units.Amount(n) * 1_000_000}
}
