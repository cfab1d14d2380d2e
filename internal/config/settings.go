// Package config reads the settings file that the platform hands over and the
// operators' own policy.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"slices"

	"dunestand/internal/units"
)

// Settings is the settings file, checked. Unknown fields are ignored.
type Settings struct {
	Node         string   `json:"node_name"`
	Zone         string   `json:"area"`
	ClientListen string   `json:"client_listen"`
	MeshListen   string   `json:"mesh_addr"`
	Others       []Peer   `json:"others"`
	Services     Services `json:"services"`
	Policy       string   `json:"policy_file"`
	Fleet        Fleet    `json:"settings"`
}

// Peer is another controller node.
type Peer struct {
	Node     string `json:"node_name"`
	Zone     string `json:"area"`
	Endpoint string `json:"endpoint"`
}

// Services are the addresses of what the region provides.
type Services struct {
	Cloud string `json:"cloud"`
	State string `json:"state"`
}

// Fleet is the part of the settings that describes the deployment.
type Fleet struct {
	Zones       []string    `json:"zones"`
	Teams       []Team      `json:"teams"`
	Objectives  []Objective `json:"objectives"`
	Workers     Workers     `json:"workers"`
	State       State       `json:"state"`
	Cloud       Cloud       `json:"cloud"`
	Resources   Resources   `json:"resources"`
	TimeBoundMS float64     `json:"time_bound_ms"`
}

// Team is a group of users with a guarantee and a limit. A guarantee or limit of 0 is none.
type Team struct {
	Name    string  `json:"name"`
	CPUs    float64 `json:"cpus"`
	CPUsMax float64 `json:"cpus_max"`
	GPUs    float64 `json:"gpus"`
	GPUsMax float64 `json:"gpus_max"`
}

// Objective is one of the users' aims.
type Objective struct {
	Kind    string  `json:"kind"`
	Class   string  `json:"class"`
	WithinS float64 `json:"within_s"`
	Share   float64 `json:"share"`
	Times   float64 `json:"times"`
}

// Workers holds the pace of the workers' reports and leases.
type Workers struct {
	ReportS float64 `json:"report_s"`
	LeaseS  float64 `json:"lease_s"`
	CancelS float64 `json:"cancel_s"`
}

// Report is how often a worker reports.
func (w Workers) Report() units.Micros { return units.Seconds(w.ReportS) }

// Lease is how long a worker goes on without an answer.
func (w Workers) Lease() units.Micros { return units.Seconds(w.LeaseS) }

// Cancel is how long after its user was told a cancelled job's tasks may be there.
func (w Workers) Cancel() units.Micros { return units.Seconds(w.CancelS) }

// State holds the limits of the state service.
type State struct {
	RPS      float64 `json:"rps"`
	WriteRPS float64 `json:"write_rps"`
	ValueKB  float64 `json:"value_kb"`
	TxnOps   int     `json:"txn_ops"`
	// Next holds limits that the service will have from some moment on, without
	// notice. What it leaves out stays as it is.
	Next *State `json:"next"`
}

// ValueBytes is the largest value.
func (s State) ValueBytes() int { return int(s.ValueKB * 1024) }

// Both gives limits that hold now and will go on holding.
func (s State) Both() State {
	if n := s.Next; n != nil {
		s.RPS, s.WriteRPS = lower(s.RPS, n.RPS), lower(s.WriteRPS, n.WriteRPS)
		s.ValueKB, s.TxnOps = lower(s.ValueKB, n.ValueKB), lower(s.TxnOps, n.TxnOps)
		s.Next = nil
	}
	return s
}

// lower gives the lower of two limits; 0 is none.
func lower[T int | float64](now, next T) T {
	if next == 0 {
		return now
	}
	return min(now, next)
}

// The least that the state service must take: a job's record with short texts
// fits into a value, and the end of a job that is in the inbox into a
// transaction.
const (
	leastValueKB = 1
	leastTxnOps  = 3
)

// checkLimits holds for the limits of now and of later.
func (s State) checkLimits(field string) error {
	if s.TxnOps < leastTxnOps {
		return fmt.Errorf("%s.txn_ops: %d is below %d, the least a job's end takes", field, s.TxnOps, leastTxnOps)
	}
	if s.ValueKB < leastValueKB {
		return fmt.Errorf("%s.value_kb: %v is below %v, the least a job's record takes", field, s.ValueKB, leastValueKB)
	}
	return nil
}

func (s State) checkNext() error {
	const field = "settings.state.next"
	if s.Next == nil {
		return nil
	}
	for _, v := range []struct {
		name        string
		value, most float64
	}{
		{"rps", s.Next.RPS, 1e9},
		{"write_rps", s.Next.WriteRPS, 1e9},
		{"value_kb", s.Next.ValueKB, 1e6},
		{"txn_ops", float64(s.Next.TxnOps), 1e6},
	} {
		if v.value < 0 || v.value > v.most {
			return fmt.Errorf("%s.%s: %v is out of range", field, v.name, v.value)
		}
	}
	return s.Both().checkLimits(field)
}

// Cloud holds the limits of the cloud.
type Cloud struct {
	RPS      float64 `json:"rps"`
	ListLagS float64 `json:"list_lag_s"`
}

// Resources is what this process may use.
type Resources struct {
	CoreShare      float64 `json:"core_share"`
	RAMMB          float64 `json:"ram_mb"`
	MaxConnections int     `json:"max_connections"`
}

// Load reads and checks a settings file. Its errors fit on one line and name
// the field.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		var pe *os.PathError
		if errors.As(err, &pe) {
			err = pe.Err
		}
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	s, err := Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	return s, nil
}

// Parse reads and checks the text of a settings file.
func Parse(raw []byte) (*Settings, error) {
	s := new(Settings)
	if err := json.Unmarshal(raw, s); err != nil {
		var te *json.UnmarshalTypeError
		if errors.As(err, &te) {
			return nil, fmt.Errorf("%s: %s is not a valid value", te.Field, te.Value)
		}
		return nil, fmt.Errorf("not JSON: %w", err)
	}
	if err := s.check(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Settings) check() error {
	if s.Node == "" {
		return errors.New("node_name: missing")
	}
	for _, a := range []struct{ field, value string }{
		{"client_listen", s.ClientListen}, {"mesh_addr", s.MeshListen},
		{"services.cloud", s.Services.Cloud}, {"services.state", s.Services.State},
	} {
		if err := checkAddress(a.field, a.value); err != nil {
			return err
		}
	}
	seen := map[string]bool{s.Node: true}
	for i, p := range s.Others {
		field := fmt.Sprintf("others[%d]", i)
		if p.Node == "" || seen[p.Node] {
			return fmt.Errorf("%s.node_name: missing or repeated", field)
		}
		seen[p.Node] = true
		if err := checkAddress(field+".endpoint", p.Endpoint); err != nil {
			return err
		}
	}
	return s.Fleet.check()
}

func (f *Fleet) check() error {
	for _, v := range []struct {
		field       string
		value, most float64
	}{
		{"workers.report_s", f.Workers.ReportS, 3600},
		{"workers.lease_s", f.Workers.LeaseS, 86400},
		{"workers.cancel_s", f.Workers.CancelS, 86400},
		{"state.rps", f.State.RPS, 1e9},
		{"state.write_rps", f.State.WriteRPS, 1e9},
		{"state.value_kb", f.State.ValueKB, 1e6},
		{"state.txn_ops", float64(f.State.TxnOps), 1e6},
		{"cloud.rps", f.Cloud.RPS, 1e9},
		{"resources.core_share", f.Resources.CoreShare, 1e6},
		{"resources.ram_mb", f.Resources.RAMMB, 1e9},
		{"resources.max_connections", float64(f.Resources.MaxConnections), 1e9},
	} {
		if v.value <= 0 || v.value > v.most {
			return fmt.Errorf("settings.%s: %v is missing or out of range", v.field, v.value)
		}
	}
	if f.Workers.LeaseS <= f.Workers.ReportS {
		return fmt.Errorf("settings.workers.lease_s: %v is not longer than report_s, %v", f.Workers.LeaseS, f.Workers.ReportS)
	}
	if f.Cloud.ListLagS < 0 {
		return fmt.Errorf("settings.cloud.list_lag_s: %v is negative", f.Cloud.ListLagS)
	}
	if err := f.State.checkLimits("settings.state"); err != nil {
		return err
	}
	if err := f.State.checkNext(); err != nil {
		return err
	}
	if len(f.Zones) == 0 {
		return errors.New("settings.zones: missing")
	}
	names := map[string]bool{}
	for i, t := range f.Teams {
		field := fmt.Sprintf("settings.teams[%d]", i)
		if t.Name == "" || names[t.Name] {
			return fmt.Errorf("%s.name: missing or repeated", field)
		}
		names[t.Name] = true
		if t.CPUs < 0 || t.GPUs < 0 || t.CPUsMax < 0 || t.GPUsMax < 0 {
			return fmt.Errorf("%s: negative amount", field)
		}
	}
	for i, o := range f.Objectives {
		if o.WithinS < 0 || o.Times < 0 {
			return fmt.Errorf("settings.objectives[%d]: negative time", i)
		}
	}
	return nil
}

func checkAddress(field, value string) error {
	if value == "" {
		return fmt.Errorf("%s: missing", field)
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		return fmt.Errorf("%s: %q is not an IP address and port", field, value)
	}
	return nil
}

// Dues lists when a job should be complete, from its submission, the earliest
// first: its own deadline and the multiples of it that the users' aims name,
// or what the aims say of its class. Empty: nothing is said.
func (f *Fleet) Dues(class string, deadline units.Micros) []units.Micros {
	var dues []units.Micros
	for _, o := range f.Objectives {
		switch {
		case o.Class != class:
		case o.Kind == "finished" && o.WithinS > 0:
			dues = append(dues, units.Seconds(o.WithinS))
		case o.Kind == "deadline" && deadline > 0 && o.Times > 0:
			dues = append(dues, units.Micros(float64(deadline)*o.Times))
		}
	}
	if len(dues) == 0 && deadline > 0 {
		dues = append(dues, deadline)
	}
	slices.Sort(dues)
	return dues
}

// GuaranteeDue is when work within a guarantee should have started, 0 if
// nothing is said.
func (f *Fleet) GuaranteeDue() units.Micros {
	for _, o := range f.Objectives {
		if o.Kind == "guarantee" {
			return units.Seconds(o.WithinS)
		}
	}
	return 0
}

// StartDue is when a job's tasks should have started, 0 if nothing is said.
func (f *Fleet) StartDue(class string) units.Micros {
	for _, o := range f.Objectives {
		if o.Kind == "wait" && o.Class == class {
			return units.Seconds(o.WithinS)
		}
	}
	return 0
}
