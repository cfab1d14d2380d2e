package protocol

// The other direction of messages that a controller only reads, for programs that act as a
// worker or a user.

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
	FieldDeadline           = "due_s"    // seconds, from the submission
)

// JobKindArray is the value of FieldJobKind for a job array.
const JobKindArray = "sweep"

// stageNames has, of the names of a task's stage on the wire, the one that workers send.
var stageNames = map[TaskStage]string{
	TaskFetching:      "fetching",
	TaskRunning:       "running",
	TaskCheckpointing: "flushing",
	TaskExited:        "ended",
}

// EncodeHeartbeat returns a heartbeat as a worker sends it. ParseHeartbeat reads the same
// values.
func EncodeHeartbeat(h *Heartbeat) []byte {
	tasks := make([]wireTaskStatus, 0, len(h.Tasks))
	for _, t := range h.Tasks {
		tasks = append(tasks, wireTaskStatus{
			Bolt:  TaskName(t.Job, t.Index),
			Try:   t.Attempt,
			Stage: stageNames[t.Stage],
			Cause: string(t.Cause),
			Kept:  t.Checkpointed,
		})
	}
	wire := wireHeartbeat{
		Dune:     &h.Machine,
		Endpoint: h.Endpoint,
		Loom:     &h.InstanceType,
		Yard:     &h.Zone,
		Borrowed: h.Spot,
		Shift:    &h.Incarnation,
		Tally:    &h.Sequence,
		Baton:    h.FencingToken,
		Bolts:    Encode(tasks),
	}
	if h.TerminationNoticed {
		seconds := h.TerminationIn.Seconds()
		wire.Recall = &seconds
	}
	return Encode(wire)
}
