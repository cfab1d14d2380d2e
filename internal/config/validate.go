package config

import (
	"fmt"
	"net/netip"
)

// Minimum limits of the key-value store: a value must hold the record of a job with short
// texts, and a transaction must hold the operations that end a job that is still in the inbox.
const (
	minValueKB = 1
	minTxnOps  = 3
)

// Upper bounds of the settings. A higher value is a mistake in the file.
const (
	maxHeartbeatS  = 3600
	maxLeaseS      = 24 * 3600
	maxRate        = 1e9 // requests per second
	maxValueKB     = 1e6
	maxTxnOps      = 1e6
	maxCores       = 1e6
	maxMemoryMB    = 1e9
	maxConnections = 1e9
)

func (s *Settings) validate() error {
	if s.Name == "" {
		return fieldErrorf("node_name", "missing")
	}
	for _, address := range []struct{ field, value string }{
		{"client_listen", s.ClientListen},
		{"mesh_addr", s.MeshListen},
		{"services.cloud", s.Services.Cloud},
		{"services.state", s.Services.KVStore},
	} {
		if err := validateAddress(address.field, address.value); err != nil {
			return err
		}
	}
	names := nameSet{s.Name: true}
	for i, peer := range s.Peers {
		field := fmt.Sprintf("others[%d]", i)
		if err := names.add(field+".node_name", peer.Name); err != nil {
			return err
		}
		if err := validateAddress(field+".endpoint", peer.Endpoint); err != nil {
			return err
		}
	}
	return s.Fleet.validate()
}

func (f *Fleet) validate() error {
	if err := f.validatePositiveNumbers(); err != nil {
		return err
	}
	if f.Workers.LeaseS <= f.Workers.HeartbeatS {
		return fieldErrorf("settings.workers.lease_s", "%v is not longer than report_s, %v", f.Workers.LeaseS, f.Workers.HeartbeatS)
	}
	if f.Cloud.ListLagS < 0 {
		return fieldErrorf("settings.cloud.list_lag_s", "%v is negative", f.Cloud.ListLagS)
	}
	if err := f.KVLimits.validateMinimum("settings.state"); err != nil {
		return err
	}
	if err := f.KVLimits.validateNext(); err != nil {
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
			return fieldErrorf(fmt.Sprintf("settings.objectives[%d]", i), "negative within_s or times")
		}
	}
	return nil
}

// numericSetting is a numeric setting with its upper bound.
type numericSetting struct {
	field      string
	value, max float64
}

// validatePositiveNumbers checks that the mandatory numbers are positive and within their bounds.
func (f *Fleet) validatePositiveNumbers() error {
	numbers := []numericSetting{
		{"settings.workers.report_s", f.Workers.HeartbeatS, maxHeartbeatS},
		{"settings.workers.lease_s", f.Workers.LeaseS, maxLeaseS},
		{"settings.workers.cancel_s", f.Workers.CancelS, maxLeaseS},
	}
	numbers = append(numbers, f.KVLimits.numericSettings("settings.state")...)
	numbers = append(numbers, []numericSetting{
		{"settings.cloud.rps", f.Cloud.RPS, maxRate},
		{"settings.resources.core_share", f.Resources.CoreShare, maxCores},
		{"settings.resources.ram_mb", f.Resources.RAMMB, maxMemoryMB},
		{"settings.resources.max_connections", float64(f.Resources.MaxConnections), maxConnections},
	}...)
	for _, number := range numbers {
		if number.value <= 0 || number.value > number.max {
			return fieldErrorf(number.field, "missing or out of range: got %v, must be above 0 and at most %v", number.value, number.max)
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
			return fieldErrorf(field, "negative quota")
		}
	}
	return nil
}

// numericSettings returns the limits as settings of the object at the path field.
func (s KVLimits) numericSettings(field string) []numericSetting {
	return []numericSetting{
		{field + ".rps", s.RPS, maxRate},
		{field + ".write_rps", s.WriteRPS, maxRate},
		{field + ".value_kb", s.ValueKB, maxValueKB},
		{field + ".txn_ops", float64(s.TxnOps), maxTxnOps},
	}
}

// validateMinimum checks that the limits are not below what controllers need. field is the path
// of the limits in the settings.
func (s KVLimits) validateMinimum(field string) error {
	if s.TxnOps < minTxnOps {
		return fieldErrorf(field+".txn_ops", "%d is below %d, the minimum for ending a job", s.TxnOps, minTxnOps)
	}
	if s.ValueKB < minValueKB {
		return fieldErrorf(field+".value_kb", "%v is below %v, the minimum for the record of a job", s.ValueKB, minValueKB)
	}
	return nil
}

// validateNext checks the upcoming limits, all of which are optional: 0 means that a limit does not
// change.
func (s KVLimits) validateNext() error {
	const field = "settings.state.next"
	if s.Next == nil {
		return nil
	}
	for _, number := range s.Next.numericSettings(field) {
		if number.value < 0 || number.value > number.max {
			return fieldErrorf(number.field, "%v is not between 0 and %v", number.value, number.max)
		}
	}
	return s.Lowest().validateMinimum(field)
}

// nameSet holds the names of a list, which have to be unique.
type nameSet map[string]bool

// add adds a name. It fails if the name is empty or already in the set.
func (names nameSet) add(field, name string) error {
	if name == "" || names[name] {
		return fieldErrorf(field, "missing or duplicate name %q", name)
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
