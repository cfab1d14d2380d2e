package fake

import "dunestand/internal/protocol"

// Submission returns, as its user submits it, a job array of small tasks without
// placement constraints, checkpoints or a deadline. expectSeconds is the estimated run time
// of a task. Tests change single fields of the result.
func Submission(id, team, class string, tasks int, expectSeconds float64) map[string]any {
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
		protocol.FieldEstimate:           expectSeconds,
		protocol.FieldCheckpointInterval: 0.0,
		protocol.FieldCheckpointDuration: 0.0,
		protocol.FieldDeadline:           nil,
	}
}
