package controller

import (
	"net/http"
	"slices"

	"dunestand/internal/cluster"
	"dunestand/internal/config"
	"dunestand/internal/protocol"
	"dunestand/internal/scheduler"
	"dunestand/internal/storage"
)

// rejectionError is the reason for which a new job is not accepted.
type rejectionError struct {
	status int    // HTTP status: 422 is permanent, 429 and 503 are temporary
	reason string // shown to the user
}

func (e *rejectionError) Error() string { return e.reason }

// Reasons for not accepting a new job.
var (
	errUnknownTeam          = &rejectionError{http.StatusUnprocessableEntity, "crew: unknown team"}
	errTaskOverQuota        = &rejectionError{http.StatusUnprocessableEntity, "a task needs more than the team's limit"}
	errJobOverQuota         = &rejectionError{http.StatusUnprocessableEntity, "the job's tasks together need more than the team's limit"}
	errNoInstanceType       = &rejectionError{http.StatusUnprocessableEntity, "a task fits no allowed machine type"}
	errSpecTooLong          = &rejectionError{http.StatusUnprocessableEntity, "the job's texts are too long to be kept"}
	errTooManyJobs          = &rejectionError{http.StatusTooManyRequests, "too many unfinished jobs"}
	errInstanceTypesUnknown = &rejectionError{http.StatusServiceUnavailable, "the machine types are not known yet"}
	errNotUpgraded          = &rejectionError{http.StatusServiceUnavailable, "not before all controllers are upgraded"}
)

// jobMemoryLimit returns the limit, in bytes, on the memory of all live jobs as estimated by
// cluster.JobMemory. New jobs beyond it are rejected, since a controller that exceeds its
// memory is killed and loses its whole in-memory state.
func jobMemoryLimit(s *config.Settings) int64 { return int64(s.Fleet.Resources.RAMMB * (1 << 20)) }

// checkAdmissible returns the reason for which a new job cannot be accepted, or nil if it can.
// The caller must hold the state lock.
func (l *Leader) checkAdmissible(spec *protocol.JobSpec) *rejectionError {
	if rejection := checkFeasible(spec, l.Settings, l.state.InstanceTypes, l.Format.Current()); rejection != nil {
		return rejection
	}
	if l.state.EstimatedMemory()+cluster.JobMemory(spec) > jobMemoryLimit(l.Settings) {
		return errTooManyJobs
	}
	return nil
}

// checkFeasible returns the reason for which a job can never run, or cannot be checked or
// stored yet; nil if the job is feasible. types are the instance types of the catalog by name,
// and format is the record format in use.
func checkFeasible(spec *protocol.JobSpec, s *config.Settings, types map[string]protocol.InstanceType, format storage.Format) *rejectionError {
	i := slices.IndexFunc(s.Fleet.Teams, func(team config.Team) bool { return team.Name == spec.Team })
	if i < 0 {
		return errUnknownTeam
	}
	switch tasks := cluster.QuotaLimitOf(s.Fleet.Teams[i]).CountFitting(spec.Request); {
	case tasks == 0:
		return errTaskOverQuota
	case spec.Kind != protocol.Array && tasks < spec.Tasks:
		return errJobOverQuota
	}
	switch {
	case len(types) == 0:
		return errInstanceTypesUnknown
	case !fitsAnyType(spec, types):
		return errNoInstanceType
	case !storage.FitsRecords(spec, storage.NewestFormat, s.Fleet.KVLimits):
		return errSpecTooLong
	case format < storage.FormatV2 && (spec.Kind == protocol.Service || !storage.FitsRecords(spec, format, s.Fleet.KVLimits)):
		// A leader of the legacy version, the last one without services, would read a service
		// as a job array.
		return errNotUpgraded
	}
	return nil
}

// fitsAnyType reports whether a task of the job fits an instance type in a zone where the job
// may be placed.
func fitsAnyType(spec *protocol.JobSpec, types map[string]protocol.InstanceType) bool {
	for name, instanceType := range types {
		for _, zone := range instanceType.Zones {
			if scheduler.PlacementAllowed(spec, name, zone, false) && cluster.CapacityOf(instanceType).CountFitting(spec.Request) > 0 {
				return true
			}
		}
	}
	return false
}
