// Package config reads the settings file that the platform hands over and the
// operators' own policy.
package config

import "dunestand/internal/units"

// Settings is the settings file, checked. Unknown fields are ignored. Names of fields that
// end in S are in seconds, MS in milliseconds, KB in KiB and MB in MiB.
type Settings struct {
	Node         string   `json:"node_name"`
	Zone         string   `json:"area"`
	ClientListen string   `json:"client_listen"`
	MeshListen   string   `json:"mesh_addr"`
	Peers        []Peer   `json:"others"`
	Services     Services `json:"services"`
	PolicyFile   string   `json:"policy_file"`
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
	State       KVLimits    `json:"state"`
	Cloud       CloudLimits `json:"cloud"`
	Resources   Resources   `json:"resources"`
	TimeBoundMS float64     `json:"time_bound_ms"`
}

// Team is a group of users with a guaranteed quota, in GuaranteedCPUs and GuaranteedGPUs, and a quota limit, in
// LimitCPUs and LimitGPUs. A quota or limit of 0 is none.
type Team struct {
	Name           string  `json:"name"`
	GuaranteedCPUs float64 `json:"cpus"`
	LimitCPUs      float64 `json:"cpus_max"`
	GuaranteedGPUs float64 `json:"gpus"`
	LimitGPUs      float64 `json:"gpus_max"`
}

// Objective is one of the users' service-level objectives.
type Objective struct {
	Kind    ObjectiveKind `json:"kind"`
	Class   string        `json:"class"` // of jobs
	WithinS float64       `json:"within_s"`
	Share   float64       `json:"share"` // of the jobs, that meet it
	Times   float64       `json:"times"` // for ObjectiveDeadline: multiple of a job's own deadline
}

// Workers holds the pace of the workers' heartbeats and leases.
type Workers struct {
	HeartbeatS float64 `json:"report_s"`
	LeaseS     float64 `json:"lease_s"`
	CancelS    float64 `json:"cancel_s"`
}

// HeartbeatInterval is the interval of a worker's heartbeats.
func (w Workers) HeartbeatInterval() units.Micros { return units.Seconds(w.HeartbeatS) }

// LeaseDuration is how long a worker goes on without a response to its heartbeats.
func (w Workers) LeaseDuration() units.Micros { return units.Seconds(w.LeaseS) }

// CancelBound is how long the tasks of a cancelled job may still run after its user got the
// confirmation.
func (w Workers) CancelBound() units.Micros { return units.Seconds(w.CancelS) }

// KVLimits holds the limits of the state service.
type KVLimits struct {
	RPS      float64 `json:"rps"`       // requests per second
	WriteRPS float64 `json:"write_rps"` // of those, writes
	ValueKB  float64 `json:"value_kb"`
	TxnOps   int     `json:"txn_ops"` // operations in one transaction
	// Next holds limits that the service will have from some moment on, without
	// notice. What it leaves out, or sets to 0, stays as it is.
	Next *KVLimits `json:"next"`
}

// ValueBytes is the size of the largest value that can be stored.
func (s KVLimits) ValueBytes() int { return int(s.ValueKB * 1024) }

// Lowest returns limits that hold now and will go on holding: the lower ones of now and Next.
func (s KVLimits) Lowest() KVLimits {
	if next := s.Next; next != nil {
		s.RPS = lower(s.RPS, next.RPS)
		s.WriteRPS = lower(s.WriteRPS, next.WriteRPS)
		s.ValueKB = lower(s.ValueKB, next.ValueKB)
		s.TxnOps = lower(s.TxnOps, next.TxnOps)
		s.Next = nil
	}
	return s
}

// lower returns the lower of two limits; a next of 0 changes nothing.
func lower[T int | float64](now, next T) T {
	if next == 0 {
		return now
	}
	return min(now, next)
}

// CloudLimits holds the limits of the cloud.
type CloudLimits struct {
	RPS      float64 `json:"rps"`        // requests per second
	ListLagS float64 `json:"list_lag_s"` // how old a list of instances may be
}

// Resources is what this process may use.
type Resources struct {
	CoreShare      float64 `json:"core_share"` // 1: a whole core
	RAMMB          float64 `json:"ram_mb"`
	MaxConnections int     `json:"max_connections"`
}
