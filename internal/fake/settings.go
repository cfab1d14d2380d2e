package fake

import (
	"dunestand/internal/config"
	"dunestand/internal/protocol"
)

// Settings returns the settings of a small fleet: one zone, a team that may use nine processors
// with four guaranteed, and a heartbeat each second. Each call returns a copy of its own.
func Settings() *config.Settings {
	return &config.Settings{Name: "n", Fleet: config.Fleet{
		Zones:    []string{"a"},
		Teams:    []config.Team{{Name: "team", GuaranteedCPUs: 4, LimitCPUs: 9}},
		Workers:  config.Workers{HeartbeatS: 1, LeaseS: 10, CancelS: 11},
		KVLimits: config.KVLimits{RPS: 100, WriteRPS: 50, ValueKB: 8, TxnOps: 12},
	}}
}

// Catalog returns the only instance type of that fleet, with four processors.
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

// JobSpec returns a job array of that fleet's team: two tasks of a processor, on spot instances
// too.
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
