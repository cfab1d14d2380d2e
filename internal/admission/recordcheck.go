package admission

import (
	"errors"
	"fmt"

	"dunestand/internal/protocol"
)

// FieldError reports a field of the plan's record with a value that no leader writes.
type FieldError struct {
	Field string // path of the field, such as teams[2].version_quota
	Err   error
}

// Error returns the path of the field and the cause.
func (e *FieldError) Error() string { return e.Field + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *FieldError) Unwrap() error { return e.Err }

// Causes of a FieldError.
var (
	errUnknownFormat = errors.New("unknown format")
	errMissing       = errors.New("missing")
	errOutOfRange    = errors.New("out of range")
	errDuplicate     = errors.New("duplicate")
	errUnknownTeam   = errors.New("no such team")
	errInvalidJobID  = errors.New("invalid job ID")
)

// maxStoredWork is the greatest amount of work in a field of a record.
const maxStoredWork = int64(MaxWork/storedUnit) + 1

// validWork reports whether an amount of stored work is in range.
func validWork(work int64) bool { return work >= 0 && work <= maxStoredWork }

// requirement is a condition on a field of the record, and the error if it is not met.
type requirement struct {
	met   bool
	field string
	cause error
}

// firstUnmet returns the first requirement that is not met, and whether there is one.
func firstUnmet(requirements ...requirement) (unmet requirement, found bool) {
	for _, r := range requirements {
		if !r.met {
			return r, true
		}
	}
	return requirement{}, false
}

// elementError returns a *FieldError for an unmet requirement on an element of a list.
func elementError(list string, index int, unmet requirement) error {
	return &FieldError{Field: fmt.Sprintf("%s[%d].%s", list, index, unmet.field), Err: unmet.cause}
}

// check returns a *FieldError for a record that no leader writes.
func (r *record) check() error {
	if unmet, found := firstUnmet(
		requirement{r.Format == recordFormat, "format", errUnknownFormat},
		requirement{r.Version > 0, "version", errMissing},
		requirement{r.FencingToken > 0, "fencing_token", errMissing},
		requirement{r.Horizon > 0, "horizon", errMissing},
	); found {
		return &FieldError{Field: unmet.field, Err: unmet.cause}
	}
	for pool, amount := range r.Capacity {
		if amount < 0 {
			return &FieldError{Field: fmt.Sprintf("capacity.%v", Pool(pool)), Err: errOutOfRange}
		}
	}
	for i, id := range r.QueueHeads {
		if !protocol.ValidJobID(id) {
			return &FieldError{Field: fmt.Sprintf("queue_heads[%d]", i), Err: errInvalidJobID}
		}
	}
	if err := r.checkTeams(); err != nil {
		return err
	}
	return r.checkFlows()
}

// checkTeams checks the teams' entries.
func (r *record) checkTeams() error {
	seen := map[teamKey]bool{}
	for i, t := range r.Teams {
		key := teamKey{Team: t.Name, Pool: t.Pool}
		if unmet, found := firstUnmet(
			requirement{t.Name != "", "name", errMissing},
			requirement{!seen[key], "name", errDuplicate},
			requirement{t.Pool < numPools, "pool", errOutOfRange},
			requirement{validWork(t.VersionQuota), "version_quota", errOutOfRange},
			requirement{validWork(t.LargeThreshold), "large_threshold", errOutOfRange},
			requirement{t.EstimateCorrection > 0, "estimate_correction", errOutOfRange},
		); found {
			return elementError("teams", i, unmet)
		}
		seen[key] = true
	}
	return nil
}

// checkFlows checks the restrictions. Its error paths name the list "cells", as it is stored.
func (r *record) checkFlows() error {
	seen := map[Flow]bool{}
	for i, f := range r.Flows {
		if f.TeamIndex < 0 || f.TeamIndex >= len(r.Teams) {
			return elementError("cells", i, requirement{field: "team", cause: errUnknownTeam})
		}
		flow := r.flow(f)
		if unmet, found := firstUnmet(
			requirement{!seen[flow], "class", errDuplicate},
			requirement{f.Band < numBands, "band", errOutOfRange},
			requirement{f.Start < ringSize, "start", errOutOfRange},
			requirement{f.Width <= ringSize, "width", errOutOfRange},
			requirement{validWork(f.VersionQuota), "version_quota", errOutOfRange},
		); found {
			return elementError("cells", i, unmet)
		}
		seen[flow] = true
	}
	return nil
}
