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

// jobMemoryLimit bounds what the live jobs may take, by the reckoning of the ledger: a
// controller refuses new jobs rather than be ended for memory with all that it holds.
func jobMemoryLimit(s *config.Settings) int64 { return int64(s.Fleet.Resources.RAMMB * (1 << 20)) }

// checkAdmissible tells why a new job cannot be taken; status 0 if it can.
func (l *Leader) checkAdmissible(spec *protocol.JobSpec) (int, string) {
	status, why := checkFeasible(spec, l.Settings, l.state.InstanceTypes, l.Format.Current())
	if status == 0 && l.state.Memory()+cluster.JobMemory(spec) > jobMemoryLimit(l.Settings) {
		return http.StatusTooManyRequests, "too many unfinished jobs"
	}
	return status, why
}

// checkFeasible tells why a job could never run, or why that is not known yet.
func checkFeasible(spec *protocol.JobSpec, s *config.Settings, types map[string]protocol.InstanceType, format storage.Format) (int, string) {
	i := slices.IndexFunc(s.Fleet.Teams, func(t config.Team) bool { return t.Name == spec.Team })
	if i < 0 {
		return http.StatusUnprocessableEntity, "crew: unknown team"
	}
	switch n := cluster.QuotaLimitOf(s.Fleet.Teams[i]).Fits(spec.Request); {
	case n == 0:
		return http.StatusUnprocessableEntity, "a task needs more than the team's limit"
	case spec.Kind == protocol.Service && n < spec.Tasks:
		return http.StatusUnprocessableEntity, "a service's tasks together need more than the team's limit"
	}
	if len(types) == 0 {
		return http.StatusServiceUnavailable, "the machine types are not known yet"
	}
	fits := false
	for name, typ := range types {
		for _, zone := range typ.Zones {
			fits = fits || scheduler.PlacementAllowed(spec, name, zone, false) && cluster.CapacityOf(typ).Fits(spec.Request) > 0
		}
	}
	switch {
	case !fits:
		return http.StatusUnprocessableEntity, "a task fits no allowed machine type"
	case !cluster.FitsRecords(spec, storage.NewestFormat, s.Fleet.State):
		return http.StatusUnprocessableEntity, "the job's texts are too long to be kept"
	case format < storage.FormatNew && (spec.Kind == protocol.Service || !cluster.FitsRecords(spec, format, s.Fleet.State)):
		// A leader of the version before would take a service for an array.
		return http.StatusServiceUnavailable, "not before all controllers are upgraded"
	}
	return 0, ""
}
