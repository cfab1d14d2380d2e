package protocol

// This file encodes messages that a controller only receives, for programs that act as a worker
// or a user.

// Fields of a submission on the wire.
const (
	FieldID                 = "uid"
	FieldClass              = "queue"
	FieldTeam               = "crew"
	FieldJobKind            = "shape"
	FieldPriority           = "urgency"
	FieldTasks              = "bolts"
	FieldCPUs               = "vcpus" // of a task
	FieldGPUs               = "cards" // of a task
	FieldMemoryGB           = "memory_gb"
	FieldImage              = "pattern"
	FieldImageGB            = "image_gb"
	FieldInstanceTypes      = "looms"
	FieldZone               = "yard"
	FieldZoneAffinity       = "together"
	FieldZoneSpread         = "apart"
	FieldAllowSpot          = "borrowed"
	FieldEstimate           = "expect_s" // seconds
	FieldCheckpointInterval = "mark_s"   // seconds
	FieldCheckpointDuration = "stow_s"   // seconds
	FieldDeadline           = "due_s"    // seconds from the submission
)

// JobKindArray is the value of FieldJobKind for a job array.
const JobKindArray = "sweep"

// stageNames maps stages to the names that workers send. taskStages also has alternative names.
var stageNames = map[TaskStage]string{
	TaskFetching:      "fetching",
	TaskRunning:       "running",
	TaskCheckpointing: "flushing",
	TaskExited:        "ended",
}

// EncodeHeartbeat returns a heartbeat in the format of a worker. ParseHeartbeat is its inverse.
func EncodeHeartbeat(h *Heartbeat) []byte {
	tasks := make([]wireTaskStatus, 0, len(h.Tasks))
	for _, t := range h.Tasks {
		tasks = append(tasks, wireTaskStatus{
			Task:         TaskName(t.Job, t.Index),
			Attempt:      t.Attempt,
			Stage:        stageNames[t.Stage],
			Cause:        string(t.Cause),
			Checkpointed: t.Checkpointed,
		})
	}
	wire := wireHeartbeat{
		Machine:      &h.Machine,
		Endpoint:     h.Endpoint,
		InstanceType: &h.InstanceType,
		Zone:         &h.Zone,
		Spot:         h.Spot,
		Incarnation:  &h.Incarnation,
		Sequence:     &h.Sequence,
		FencingToken: h.FencingToken,
		Tasks:        Encode(tasks),
	}
	if h.TerminationNoticed {
		seconds := h.TerminationIn.Seconds()
		wire.TerminationIn = &seconds
	}
	return Encode(wire)
}
