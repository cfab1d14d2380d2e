package admission

import (
	"encoding/json"
	"fmt"
	"slices"

	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// KeyPrefix is the prefix of this package's keys in the key-value store.
const KeyPrefix = "admission/"

// KeyPlan is the key of the plan's record.
const KeyPlan = KeyPrefix + "plan"

// recordFormat is the format version of the plan's record.
const recordFormat = 1

// record is the stored form of a plan. The names in its tags are part of the format. Work is
// stored in whole units of the resource times seconds.
type record struct {
	Format       int          `cbor:"v" json:"v"`
	Version      uint64       `cbor:"n" json:"n"`
	FencingToken uint64       `cbor:"term" json:"term"`
	Horizon      units.Micros `cbor:"ahead" json:"ahead"`
	Capacity     Amounts      `cbor:"cap" json:"cap"`
	Teams        []teamRecord `cbor:"teams" json:"teams"`
	Flows        []flowRecord `cbor:"cells" json:"cells"`
	QueueHeads   []string     `cbor:"turns" json:"turns"`
}

// teamRecord is the stored form of a TeamEntry. To save space, it and flowRecord are stored as
// lists of their fields, so that the number and order of the fields are part of the format.
type teamRecord struct {
	_                  struct{} `cbor:",toarray"`
	Name               string
	Pool               Pool
	VersionQuota       int64
	LargeThreshold     int64
	EstimateCorrection PerMille
}

// MarshalJSON encodes the fields as a list, as they are stored, for the size of the record.
func (t teamRecord) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{t.Name, t.Pool, t.VersionQuota, t.LargeThreshold, t.EstimateCorrection})
}

// flowRecord is the stored form of a FlowRestriction.
type flowRecord struct {
	_            struct{} `cbor:",toarray"`
	TeamIndex    int      // index in the record's Teams
	Class        string
	Band         Band
	Start        uint32
	Width        uint32
	VersionQuota int64
}

// MarshalJSON encodes the fields as a list, as they are stored, for the size of the record.
func (f flowRecord) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{f.TeamIndex, f.Class, f.Band, f.Start, f.Width, f.VersionQuota})
}

// storedUnit is the Work of one stored unit: a unit of the resource for a second.
const storedUnit = 1000

// storedWork returns work in stored units, rounded up.
func storedWork(w Work) int64 { return int64((min(w, MaxWork) + storedUnit - 1) / storedUnit) }

// Encode returns the record of a plan, and the plan as decoded from that record. The record
// is made coarser until it fits into maxBytes, so the leader must decide by the returned plan,
// as all readers of the record do. The error wraps ErrTooLarge if the coarsest record
// does not fit.
func Encode(plan *Plan, maxBytes int) ([]byte, *Plan, error) {
	r := plan.record()
	for r.size() > maxBytes {
		if !r.coarsen() {
			return nil, nil, fmt.Errorf("%w: %d bytes, limit %d bytes", ErrTooLarge, r.size(), maxBytes)
		}
	}
	raw := protocol.Encode(r)
	kept, err := Decode(raw)
	return raw, kept, err
}

// Decode returns the plan of a record. The error wraps a *FieldError if a field has a value
// that no leader writes.
func Decode(raw []byte) (*Plan, error) {
	var r record
	if err := protocol.Decode(raw, &r); err != nil {
		return nil, fmt.Errorf("record %s: %w", KeyPlan, err)
	}
	if err := r.check(); err != nil {
		return nil, fmt.Errorf("record %s: %w", KeyPlan, err)
	}
	return r.plan(), nil
}

// record returns the stored form of the plan.
func (p *Plan) record() *record {
	r := &record{
		Format:       recordFormat,
		Version:      p.Version,
		FencingToken: p.FencingToken,
		Horizon:      p.Horizon,
		Capacity:     p.Capacity,
		Teams:        []teamRecord{},
		Flows:        []flowRecord{},
		QueueHeads:   slices.AppendSeq([]string{}, p.allQueueHeads()),
	}
	indexes := map[teamKey]int{}
	for key, entry := range p.allTeams() {
		indexes[key] = len(r.Teams)
		r.Teams = append(r.Teams, teamRecord{
			Name:               key.Team,
			Pool:               key.Pool,
			VersionQuota:       storedWork(entry.VersionQuota),
			LargeThreshold:     storedWork(entry.LargeThreshold),
			EstimateCorrection: entry.EstimateCorrection,
		})
	}
	for flow, restriction := range p.allRestrictions() {
		r.Flows = append(r.Flows, flowRecord{
			TeamIndex:    indexes[teamKey{Team: flow.Team, Pool: flow.Pool}],
			Class:        flow.Class,
			Band:         flow.Band,
			Start:        restriction.Start,
			Width:        restriction.Width,
			VersionQuota: storedWork(restriction.VersionQuota),
		})
	}
	return r
}

// flow returns the flow that a flowRecord restricts.
func (r *record) flow(f flowRecord) Flow {
	team := r.Teams[f.TeamIndex]
	return Flow{Team: team.Name, Class: f.Class, Pool: team.Pool, Band: f.Band}
}

// plan returns the plan of the record, which must have passed check.
func (r *record) plan() *Plan {
	p := newPlan(r.Version, r.FencingToken, r.Horizon, r.Capacity)
	for _, t := range r.Teams {
		p.setTeam(teamKey{Team: t.Name, Pool: t.Pool}, TeamEntry{
			VersionQuota:       Work(t.VersionQuota) * storedUnit,
			LargeThreshold:     Work(t.LargeThreshold) * storedUnit,
			EstimateCorrection: t.EstimateCorrection,
		})
	}
	restrictions := map[Flow]FlowRestriction{}
	for _, f := range r.Flows {
		restrictions[r.flow(f)] = FlowRestriction{Start: f.Start, Width: f.Width, VersionQuota: Work(f.VersionQuota) * storedUnit}
	}
	p.setRestrictions(restrictions)
	p.setQueueHeads(r.QueueHeads)
	return p
}
