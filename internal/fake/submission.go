package fake

import "dunestand/internal/protocol"

// Submission returns the submission of a job array in the form that users send: small tasks
// without placement constraints, checkpoints or a deadline. estimateSeconds is the estimated run
// time of a task. The caller may change fields of the result.
func Submission(id, team, class string, tasks int, estimateSeconds float64) map[string]any {
	return map[string]any{
		protocol.FieldID:                 id,
		protocol.FieldClass:              class,
		protocol.FieldTeam:               team,
		protocol.FieldJobKind:            protocol.JobKindArray,
		protocol.FieldPriority:           protocol.Normal.String(),
		protocol.FieldTasks:              tasks,
		protocol.FieldCPUs:               1.0,
		protocol.FieldGPUs:               0.0,
		protocol.FieldMemoryGB:           1.0,
		protocol.FieldImage:              "img",
		protocol.FieldImageGB:            0.5,
		protocol.FieldInstanceTypes:      nil,
		protocol.FieldZone:               nil,
		protocol.FieldZoneAffinity:       false,
		protocol.FieldZoneSpread:         false,
		protocol.FieldAllowSpot:          true,
		protocol.FieldEstimate:           estimateSeconds,
		protocol.FieldCheckpointInterval: 0.0,
		protocol.FieldCheckpointDuration: 0.0,
		protocol.FieldDeadline:           nil,
	}
}
