package admission

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// Prefix is the prefix of this package's keys in the state service.
const Prefix = "admission/"

// KeyPlan is the key of the plan's record.
const KeyPlan = Prefix + "plan"

// recordFormat is the format of the plan's record that this version reads and writes.
const recordFormat = 1

// record is a plan as it is stored. Work is in whole units of the resource times seconds.
type record struct {
	Format     int          `cbor:"v" json:"v"`
	Version    uint64       `cbor:"n" json:"n"`
	Term       uint64       `cbor:"term" json:"term"`
	Horizon    units.Micros `cbor:"ahead" json:"ahead"`
	Capacity   Amounts      `cbor:"cap" json:"cap"`
	Teams      []teamRecord `cbor:"teams" json:"teams"`
	Cells      []cellRecord `cbor:"cells" json:"cells"`
	QueueHeads []string     `cbor:"turns" json:"turns"`
}

// teamRecord is a TeamEntry. It and cellRecord are stored as lists of their fields, for
// there are many of them.
type teamRecord struct {
	_                  struct{} `cbor:",toarray"`
	Name               string
	Pool               Pool
	Quota              int64
	LargeThreshold     int64
	EstimateCorrection PerMille
}

// MarshalJSON gives the list that is stored, for its size.
func (t teamRecord) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{t.Name, t.Pool, t.Quota, t.LargeThreshold, t.EstimateCorrection})
}

// cellRecord is a CellRestriction.
type cellRecord struct {
	_     struct{} `cbor:",toarray"`
	Team  int      // its place among the teams
	Class string
	Band  Band
	Start uint32
	Width uint32
	Quota int64
}

// MarshalJSON gives the list that is stored, for its size.
func (c cellRecord) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{c.Team, c.Class, c.Band, c.Start, c.Width, c.Quota})
}

// storedUnit is how much Work makes one in a record.
const storedUnit = 1000

// stored rounds work up to what a record holds.
func stored(w Work) int64 { return int64((min(w, MaxWork) + storedUnit - 1) / storedUnit) }

// ErrTooLarge says that a plan does not fit into one value of the state service.
var ErrTooLarge = errors.New("the admission plan fits no value of the state service")

// Encode gives the plan's record, and the plan that this record holds: a plan that is too
// large is made coarser until it fits. Whoever writes a plan goes by the latter, as all
// who read it do.
func Encode(plan *Plan, maxBytes int) ([]byte, *Plan, error) {
	r := plan.record()
	for r.size() > maxBytes {
		if !r.coarsen() {
			return nil, nil, fmt.Errorf("%w: %d bytes, %d are allowed", ErrTooLarge, r.size(), maxBytes)
		}
	}
	raw := protocol.Encode(r)
	held, err := Decode(raw)
	return raw, held, err
}

// Decode reads a plan's record. One that could not have been written by any leader is an
// error, never a plan.
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

func (p *Plan) record() *record {
	r := &record{
		Format:     recordFormat,
		Version:    p.Version,
		Term:       p.Term,
		Horizon:    p.Horizon,
		Capacity:   p.Capacity,
		Teams:      []teamRecord{},
		Cells:      []cellRecord{},
		QueueHeads: slices.AppendSeq([]string{}, p.allQueueHeads()),
	}
	places := map[teamKey]int{}
	for key, entry := range p.allTeams() {
		places[key] = len(r.Teams)
		r.Teams = append(r.Teams, teamRecord{
			Name:               key.Team,
			Pool:               key.Pool,
			Quota:              stored(entry.Quota),
			LargeThreshold:     stored(entry.LargeThreshold),
			EstimateCorrection: entry.EstimateCorrection,
		})
	}
	for cell, restriction := range p.allRestrictions() {
		r.Cells = append(r.Cells, cellRecord{
			Team:  places[teamKey{Team: cell.Team, Pool: cell.Pool}],
			Class: cell.Class,
			Band:  cell.Band,
			Start: restriction.Start,
			Width: restriction.Width,
			Quota: stored(restriction.Quota),
		})
	}
	return r
}

// size is the record's size as the state service counts it.
func (r *record) size() int {
	raw, err := json.Marshal(r)
	if err != nil {
		panic(err) // a struct of texts and numbers
	}
	return len(raw)
}

// coarsen gives up detail: the classes of the team with the most cells get one restriction
// together, or else fewer jobs are admitted by ID. It tells whether there was any to give up.
func (r *record) coarsen() bool {
	count := map[int]int{}
	most := -1
	for _, c := range r.Cells {
		if c.Class == "" {
			continue
		}
		count[c.Team]++
		if most < 0 || count[c.Team] > count[most] {
			most = c.Team
		}
	}
	if most >= 0 {
		r.mergeClasses(most)
		return true
	}
	if len(r.QueueHeads) > 1 {
		r.QueueHeads = r.QueueHeads[:len(r.QueueHeads)/2]
		return true
	}
	return false
}

// mergeClasses gives a team one restriction in each band instead of one a class.
func (r *record) mergeClasses(team int) {
	merged := map[Band]*cellRecord{}
	var kept []cellRecord
	for _, c := range r.Cells {
		if c.Team != team {
			kept = append(kept, c)
			continue
		}
		m := merged[c.Band]
		if m == nil {
			c.Class = ""
			merged[c.Band] = &c
			continue
		}
		m.Width = min(m.Width, c.Width)
		m.Quota += c.Quota
	}
	for band := range Band(numBands) {
		if m := merged[band]; m != nil {
			kept = append(kept, *m)
		}
	}
	r.Cells = kept
}

// Errors of records that no leader writes.
var (
	errFormat       = errors.New("its format is not known")
	errMissing      = errors.New("it has no version, term or horizon")
	errOutOfRange   = errors.New("a quantity is out of range")
	errRepeated     = errors.New("a team or cell is named twice, or not at all")
	errInvalidJobID = errors.New("it names what is no job")
)

func (r *record) check() error {
	switch {
	case r.Format != recordFormat:
		return fmt.Errorf("%w: %d", errFormat, r.Format)
	case r.Version == 0 || r.Term == 0 || r.Horizon <= 0:
		return errMissing
	}
	for _, amount := range r.Capacity {
		if amount < 0 {
			return errOutOfRange
		}
	}
	for _, id := range r.QueueHeads {
		if !protocol.ValidJobID(id) {
			return errInvalidJobID
		}
	}
	if err := r.checkTeams(); err != nil {
		return err
	}
	return r.checkCells()
}

// maxStored is the most work that a record holds.
const maxStored = int64(MaxWork/storedUnit) + 1

func inRange(work int64) bool { return work >= 0 && work <= maxStored }

func (r *record) checkTeams() error {
	seen := map[teamKey]bool{}
	for _, t := range r.Teams {
		key := teamKey{Team: t.Name, Pool: t.Pool}
		switch {
		case t.Name == "" || seen[key]:
			return errRepeated
		case t.Pool >= numPools || !inRange(t.Quota) || !inRange(t.LargeThreshold) || t.EstimateCorrection == 0:
			return errOutOfRange
		}
		seen[key] = true
	}
	return nil
}

func (r *record) checkCells() error {
	seen := map[Cell]bool{}
	for _, c := range r.Cells {
		if c.Team < 0 || c.Team >= len(r.Teams) {
			return errRepeated
		}
		cell := r.cell(c)
		switch {
		case seen[cell]:
			return errRepeated
		case c.Band >= numBands || c.Start >= ringSize || c.Width > ringSize || !inRange(c.Quota):
			return errOutOfRange
		}
		seen[cell] = true
	}
	return nil
}

func (r *record) cell(c cellRecord) Cell {
	team := r.Teams[c.Team]
	return Cell{Team: team.Name, Class: c.Class, Pool: team.Pool, Band: c.Band}
}

// plan gives the plan that a checked record holds.
func (r *record) plan() *Plan {
	p := newPlan(r.Version, r.Term, r.Horizon, r.Capacity)
	for _, t := range r.Teams {
		p.setTeam(teamKey{Team: t.Name, Pool: t.Pool}, TeamEntry{
			Quota:              Work(t.Quota) * storedUnit,
			LargeThreshold:     Work(t.LargeThreshold) * storedUnit,
			EstimateCorrection: t.EstimateCorrection,
		})
	}
	restrictions := map[Cell]CellRestriction{}
	for _, c := range r.Cells {
		restrictions[r.cell(c)] = CellRestriction{Start: c.Start, Width: c.Width, Quota: Work(c.Quota) * storedUnit}
	}
	p.setRestrictions(restrictions)
	p.setQueueHeads(r.QueueHeads)
	return p
}
