package storage

import (
	"encoding/base64"
	"errors"
	"fmt"

	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// ErrOutOfRange means that a number in a record is outside its valid range.
var ErrOutOfRange = errors.New("out of range")

// JobRecord is the stored record of a job that has not reached a terminal state. Durations are in
// microseconds. The size of the record as JSON decides how a job is divided into records, so the
// json names must not change, nor must the cbor names, under which the fields are stored.
type JobRecord struct {
	Format             Format       `cbor:"v" json:"v"`
	WriteID            string       `cbor:"save" json:"save"`
	ID                 string       `cbor:"id" json:"id"`
	Class              string       `cbor:"class" json:"class"`
	Team               string       `cbor:"team" json:"team"`
	Kind               uint8        `cbor:"shape" json:"shape"`
	Priority           uint8        `cbor:"priority" json:"priority"`
	Tasks              int          `cbor:"tasks" json:"tasks"`
	CPU                units.Amount `cbor:"cpu" json:"cpu"`
	GPU                units.Amount `cbor:"gpu" json:"gpu"`
	Memory             units.Amount `cbor:"memory" json:"memory"`
	InstanceTypes      []string     `cbor:"types" json:"types"`
	Zone               string       `cbor:"zone" json:"zone"`
	ZoneAffinity       bool         `cbor:"one_zone" json:"one_zone"`
	ZoneSpread         bool         `cbor:"spread" json:"spread"`
	AllowSpot          bool         `cbor:"spot" json:"spot"`
	Image              string       `cbor:"image" json:"image"`
	ImageSize          units.Amount `cbor:"image_size" json:"image_size"`
	Estimate           units.Micros `cbor:"estimate" json:"estimate"`
	CheckpointInterval units.Micros `cbor:"checkpoint" json:"checkpoint"`
	CheckpointDuration units.Micros `cbor:"save_time" json:"save_time"`
	Deadline           units.Micros `cbor:"deadline" json:"deadline"`
	Submitted          units.Micros `cbor:"submitted" json:"submitted"` // time of day
	Cancelled          bool         `cbor:"cancelled" json:"cancelled"`
	Machines           []string     `cbor:"machines" json:"machines"` // those that may hold tasks of the job
	// CancelRequested is the time of day at which the cancellation was requested. It is 0 if the job
	// is not cancelled, and in records of versions that do not know the field.
	CancelRequested units.Micros `cbor:"cancel_requested,omitempty" json:"cancel_requested,omitempty"`
	Done            string       `cbor:"done" json:"done"`   // the done set as base64 if it is stored here, or its first page in FormatV1
	Pages           int          `cbor:"pages" json:"pages"` // number of further pages, in FormatV1
}

// MachineNamesRecord holds the names of a job's machines that did not fit into its JobRecord, or
// a part of them.
type MachineNamesRecord struct {
	Format   Format   `cbor:"v" json:"v"`
	WriteID  string   `cbor:"save" json:"save"`
	Machines []string `cbor:"machines" json:"machines"`
}

// DonePageRecord is one page of the done set of a large job array: one bit per task, set if the task
// has completed.
type DonePageRecord struct {
	Format  Format `cbor:"v,omitempty" json:"v"` // 0 in FormatV1
	WriteID string `cbor:"save,omitempty" json:"save"`
	Done    string `cbor:"done" json:"done"`
}

const (
	// PageTasksV1 is the number of tasks per page in FormatV1: 2 KiB of bits, stored as 2.7 KiB
	// of base64, since the key-value store holds only text.
	PageTasksV1 = 16 << 10
	// PageTasks is the number of tasks per page from FormatV2 on: 0.7 KiB of base64.
	PageTasks = 4 << 10
	// InlineTasks is the largest number of tasks of a job whose done set is stored in its
	// JobRecord, from FormatV2 on.
	InlineTasks = 1 << 10
)

// EncodeDonePage returns a page of the done set as base64, without trailing zero bytes.
func EncodeDonePage(b []byte) string {
	end := len(b)
	for end > 0 && b[end-1] == 0 {
		end--
	}
	return base64.RawStdEncoding.EncodeToString(b[:end])
}

// DecodeDonePage sets the bits of an encoded page in into, the part of the done set that the page
// covers. It fails if text is not base64 or is longer than into, which it then leaves unchanged.
func DecodeDonePage(text string, into []byte) error {
	raw, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil {
		return err
	}
	if len(raw) > len(into) {
		return fmt.Errorf("done set of %d bytes exceeds the limit of %d bytes", len(raw), len(into))
	}
	for i, x := range raw {
		into[i] |= x // pages in FormatV1 and FormatV2 may cover the same tasks
	}
	return nil
}

// NewJobRecord returns the record, in the given format, of a job that is not cancelled, has no
// machines and has no completed tasks.
func NewJobRecord(spec *protocol.JobSpec, format Format) JobRecord {
	return JobRecord{
		Format:             format,
		Pages:              PageCountV1(spec.Tasks, format),
		ID:                 spec.ID,
		Class:              spec.Class,
		Team:               spec.Team,
		Kind:               uint8(spec.Kind),
		Priority:           uint8(spec.Priority),
		Tasks:              spec.Tasks,
		CPU:                spec.Request.CPU,
		GPU:                spec.Request.GPU,
		Memory:             spec.Request.Memory,
		InstanceTypes:      spec.InstanceTypes,
		Zone:               spec.Zone,
		ZoneAffinity:       spec.ZoneAffinity,
		ZoneSpread:         spec.ZoneSpread,
		AllowSpot:          spec.AllowSpot,
		Image:              spec.Image,
		ImageSize:          spec.ImageSize,
		Estimate:           spec.Estimate,
		CheckpointInterval: spec.CheckpointInterval,
		CheckpointDuration: spec.CheckpointDuration,
		Deadline:           spec.Deadline,
	}
}

// PageCountV1 returns the number of done pages after the first that a reader of FormatV1 expects;
// 0 in other formats.
func PageCountV1(tasks int, format Format) int {
	if format == FormatV1 {
		return (tasks - 1) / PageTasksV1
	}
	return 0
}

// Check returns an error if the record is not a valid job record for the given key: an
// UnknownFormatError, ErrOutOfRange, or one that says that the job ID does not match the key.
func (r *JobRecord) Check(key string) error {
	switch {
	case r.Format != FormatV1 && r.Format != FormatV2:
		return UnknownFormatError(r.Format)
	case !protocol.ValidJobID(r.ID) || KeyJob(r.ID) != key:
		return fmt.Errorf("job ID %q is invalid or does not match the key", r.ID)
	case r.Tasks < 1 || r.Tasks > protocol.MaxTasks || int(r.Priority) >= protocol.NumPriorities || int(r.Kind) >= protocol.NumJobKinds:
		return ErrOutOfRange
	}
	return nil
}

// Spec returns the job's specification as the user submitted it.
func (r *JobRecord) Spec() protocol.JobSpec {
	return protocol.JobSpec{
		ID:                 r.ID,
		Class:              r.Class,
		Team:               r.Team,
		Kind:               protocol.JobKind(r.Kind),
		Priority:           protocol.Priority(r.Priority),
		Tasks:              r.Tasks,
		Request:            units.Resources{CPU: r.CPU, GPU: r.GPU, Memory: r.Memory},
		InstanceTypes:      r.InstanceTypes,
		Zone:               r.Zone,
		ZoneAffinity:       r.ZoneAffinity,
		ZoneSpread:         r.ZoneSpread,
		AllowSpot:          r.AllowSpot,
		Image:              r.Image,
		ImageSize:          r.ImageSize,
		Estimate:           r.Estimate,
		CheckpointInterval: r.CheckpointInterval,
		CheckpointDuration: r.CheckpointDuration,
		Deadline:           r.Deadline,
	}
}
