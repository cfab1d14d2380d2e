package admission

import (
	"errors"
	"fmt"

	"dunestand/internal/protocol"
)

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
