// Package config loads the two configuration files of a controller: the settings, which the
// platform provides, and the policy, which the operators write.
package config

import "dunestand/internal/units"

// Settings is the content of a valid settings file. Unknown fields of the file are ignored.
// Fields whose names end in S are in seconds, MS in milliseconds, KB in KiB and MB in MiB.
// Addresses consist of an IP address and a port.
type Settings struct {
	Name         string   `json:"node_name"` // name of this controller
	Zone         string   `json:"area"`
	ClientListen string   `json:"client_listen"` // address for users and workers
	MeshListen   string   `json:"mesh_addr"`     // address for other controllers
	Peers        []Peer   `json:"others"`
	Services     Services `json:"services"`
	PolicyFile   string   `json:"policy_file"` // optional
	Fleet        Fleet    `json:"settings"`
}

// Peer is another controller.
type Peer struct {
	Name     string `json:"node_name"` // name of the controller
	Zone     string `json:"area"`
	Endpoint string `json:"endpoint"`
}

// Services holds the addresses of the cloud API and of the key-value store.
type Services struct {
	Cloud   string `json:"cloud"`
	KVStore string `json:"state"`
}

// Fleet is the part of the settings that describes the deployment.
type Fleet struct {
	Zones       []string    `json:"zones"`
	Teams       []Team      `json:"teams"`
	Objectives  []Objective `json:"objectives"`
	Workers     Workers     `json:"workers"`
	KVLimits    KVLimits    `json:"state"`
	Cloud       CloudLimits `json:"cloud"`
	Resources   Resources   `json:"resources"`
	TimeBoundMS float64     `json:"time_bound_ms"`
}

// TimeBound returns the largest error of the time of day on any controller.
func (f *Fleet) TimeBound() units.Micros { return units.Seconds(f.TimeBoundMS / 1000) }

// Team is a group of users with a guaranteed quota, in GuaranteedCPUs and GuaranteedGPUs, and a
// quota limit, in LimitCPUs and LimitGPUs. A guaranteed quota of 0 guarantees nothing; a quota
// limit of 0 means no limit.
type Team struct {
	Name           string  `json:"name"`
	GuaranteedCPUs float64 `json:"cpus"`
	LimitCPUs      float64 `json:"cpus_max"`
	GuaranteedGPUs float64 `json:"gpus"`
	LimitGPUs      float64 `json:"gpus_max"`
}

// Objective is a service-level objective. Its kind determines the fields that apply.
type Objective struct {
	Kind    ObjectiveKind `json:"kind"`
	Class   string        `json:"class"` // class of the jobs
	WithinS float64       `json:"within_s"`
	Share   float64       `json:"share"` // share of the jobs that have to meet the objective
	Times   float64       `json:"times"` // multiple of the job's own deadline, for ObjectiveDeadline
}

// Workers holds the heartbeat interval and the time limits of the workers.
type Workers struct {
	HeartbeatS float64 `json:"report_s"`
	LeaseS     float64 `json:"lease_s"`
	CancelS    float64 `json:"cancel_s"`
}

// HeartbeatInterval returns the interval between two heartbeats of a worker.
func (w Workers) HeartbeatInterval() units.Micros { return units.Seconds(w.HeartbeatS) }

// LeaseDuration returns how long a worker keeps running its tasks without an acknowledged
// heartbeat.
func (w Workers) LeaseDuration() units.Micros { return units.Seconds(w.LeaseS) }

// CancelBound returns the longest time that tasks of a cancelled job may continue to run after
// the cancellation was acknowledged to the user.
func (w Workers) CancelBound() units.Micros { return units.Seconds(w.CancelS) }

// KVLimits holds the limits of the key-value store.
type KVLimits struct {
	RPS      float64 `json:"rps"`       // requests per second
	WriteRPS float64 `json:"write_rps"` // of those, writes
	ValueKB  float64 `json:"value_kb"`
	TxnOps   int     `json:"txn_ops"` // operations in one transaction
	// Next holds upcoming limits, which may take effect at any time without notice. A limit
	// that Next omits or sets to 0 does not change.
	Next *KVLimits `json:"next"`
}

// ValueBytes returns the size of the largest value that can be stored, in bytes.
func (s KVLimits) ValueBytes() int { return int(s.ValueKB * 1024) }

// Lowest returns limits that are safe before and after Next takes effect: of each limit, the
// lower of its current and its upcoming value. The result has no Next.
func (s KVLimits) Lowest() KVLimits {
	if next := s.Next; next != nil {
		s.RPS = lowerLimit(s.RPS, next.RPS)
		s.WriteRPS = lowerLimit(s.WriteRPS, next.WriteRPS)
		s.ValueKB = lowerLimit(s.ValueKB, next.ValueKB)
		s.TxnOps = lowerLimit(s.TxnOps, next.TxnOps)
		s.Next = nil
	}
	return s
}

// lowerLimit returns the lower one of two limits. A next of 0 means that the limit does not change.
func lowerLimit[T int | float64](current, next T) T {
	if next == 0 {
		return current
	}
	return min(current, next)
}

// CloudLimits holds the limits of the cloud API.
type CloudLimits struct {
	RPS      float64 `json:"rps"`        // requests per second
	ListLagS float64 `json:"list_lag_s"` // by how much the list of instances may be out of date
}

// Resources holds the resource limits of the controller process.
type Resources struct {
	CoreShare      float64 `json:"core_share"` // 1 is a whole core
	RAMMB          float64 `json:"ram_mb"`
	MaxConnections int     `json:"max_connections"`
}
