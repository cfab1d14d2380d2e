package config

import (
	"fmt"
	"net/netip"
)

// The least that the state service must take: a job's record with short texts
// fits into a value, and the end of a job that is in the inbox into a
// transaction.
const (
	minValueKB = 1
	minTxnOps  = 3
)

// The most that a setting may say, by its unit. More than that is a mistake of the file.
const (
	maxHeartbeatS = 3600
	maxLeaseS     = 24 * 3600
	maxRate       = 1e9 // requests per second
	maxValueKB    = 1e6
	maxTxnOps     = 1e6
	maxCores      = 1e6
	maxMemoryMB   = 1e9
	maxSockets    = 1e9
)

func (s *Settings) validate() error {
	if s.Node == "" {
		return fieldErrorf("node_name", "missing")
	}
	for _, address := range []struct{ field, value string }{
		{"client_listen", s.ClientListen},
		{"mesh_addr", s.MeshListen},
		{"services.cloud", s.Services.Cloud},
		{"services.state", s.Services.State},
	} {
		if err := validateAddress(address.field, address.value); err != nil {
			return err
		}
	}
	names := nameSet{s.Node: true}
	for i, peer := range s.Peers {
		field := fmt.Sprintf("others[%d]", i)
		if err := names.add(field+".node_name", peer.Node); err != nil {
			return err
		}
		if err := validateAddress(field+".endpoint", peer.Endpoint); err != nil {
			return err
		}
	}
	return s.Fleet.validate()
}

func (f *Fleet) validate() error {
	if err := f.validateAmounts(); err != nil {
		return err
	}
	if f.Workers.LeaseS <= f.Workers.HeartbeatS {
		return fieldErrorf("settings.workers.lease_s", "%v is not longer than report_s, %v", f.Workers.LeaseS, f.Workers.HeartbeatS)
	}
	if f.Cloud.ListLagS < 0 {
		return fieldErrorf("settings.cloud.list_lag_s", "%v is negative", f.Cloud.ListLagS)
	}
	if err := f.State.validateMinimum("settings.state"); err != nil {
		return err
	}
	if err := f.State.validateNext(); err != nil {
		return err
	}
	if len(f.Zones) == 0 {
		return fieldErrorf("settings.zones", "missing")
	}
	if err := f.validateTeams(); err != nil {
		return err
	}
	for i, o := range f.Objectives {
		if o.WithinS < 0 || o.Times < 0 {
			return fieldErrorf(fmt.Sprintf("settings.objectives[%d]", i), "negative time")
		}
	}
	return nil
}

// amount is a numeric setting and the most that it may be.
type amount struct {
	field      string
	value, max float64
}

// validateAmounts checks the numbers that must be given and positive.
func (f *Fleet) validateAmounts() error {
	amounts := []amount{
		{"settings.workers.report_s", f.Workers.HeartbeatS, maxHeartbeatS},
		{"settings.workers.lease_s", f.Workers.LeaseS, maxLeaseS},
		{"settings.workers.cancel_s", f.Workers.CancelS, maxLeaseS},
	}
	amounts = append(amounts, f.State.amounts("settings.state")...)
	amounts = append(amounts, []amount{
		{"settings.cloud.rps", f.Cloud.RPS, maxRate},
		{"settings.resources.core_share", f.Resources.CoreShare, maxCores},
		{"settings.resources.ram_mb", f.Resources.RAMMB, maxMemoryMB},
		{"settings.resources.max_connections", float64(f.Resources.MaxConnections), maxSockets},
	}...)
	for _, a := range amounts {
		if a.value <= 0 || a.value > a.max {
			return fieldErrorf(a.field, "%v is missing or out of range", a.value)
		}
	}
	return nil
}

func (f *Fleet) validateTeams() error {
	names := nameSet{}
	for i, team := range f.Teams {
		field := fmt.Sprintf("settings.teams[%d]", i)
		if err := names.add(field+".name", team.Name); err != nil {
			return err
		}
		if min(team.GuaranteedCPUs, team.GuaranteedGPUs, team.LimitCPUs, team.LimitGPUs) < 0 {
			return fieldErrorf(field, "negative amount")
		}
	}
	return nil
}

// amounts lists the limits; field is the setting that holds them.
func (s KVLimits) amounts(field string) []amount {
	return []amount{
		{field + ".rps", s.RPS, maxRate},
		{field + ".write_rps", s.WriteRPS, maxRate},
		{field + ".value_kb", s.ValueKB, maxValueKB},
		{field + ".txn_ops", float64(s.TxnOps), maxTxnOps},
	}
}

// validateMinimum checks limits against what controllers need; field is the setting that
// holds them.
func (s KVLimits) validateMinimum(field string) error {
	if s.TxnOps < minTxnOps {
		return fieldErrorf(field+".txn_ops", "%d is below %d, the least a job's end takes", s.TxnOps, minTxnOps)
	}
	if s.ValueKB < minValueKB {
		return fieldErrorf(field+".value_kb", "%v is below %v, the least a job's record takes", s.ValueKB, minValueKB)
	}
	return nil
}

// validateNext checks the limits to come, each of which may be left out.
func (s KVLimits) validateNext() error {
	const field = "settings.state.next"
	if s.Next == nil {
		return nil
	}
	for _, a := range s.Next.amounts(field) {
		if a.value < 0 || a.value > a.max {
			return fieldErrorf(a.field, "%v is out of range", a.value)
		}
	}
	return s.Lowest().validateMinimum(field)
}

// nameSet holds the names that a list must not repeat.
type nameSet map[string]bool

func (names nameSet) add(field, name string) error {
	if name == "" || names[name] {
		return fieldErrorf(field, "missing or repeated")
	}
	names[name] = true
	return nil
}

func validateAddress(field, value string) error {
	if value == "" {
		return fieldErrorf(field, "missing")
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		return fieldErrorf(field, "%q is not an IP address and port", value)
	}
	return nil
}
