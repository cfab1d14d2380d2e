package cluster

import (
	"encoding/base64"
	"errors"

	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// jobRecord is a live job as it is stored. Durations are in microseconds. The sizes as JSON
// decide how a job is divided into records, so the json names stay as the cbor names do.
type jobRecord struct {
	Format             storage.Format `cbor:"v" json:"v"`
	WriteID            string         `cbor:"save" json:"save"`
	ID                 string         `cbor:"id" json:"id"`
	Class              string         `cbor:"class" json:"class"`
	Team               string         `cbor:"team" json:"team"`
	Kind               uint8          `cbor:"shape" json:"shape"`
	Priority           uint8          `cbor:"priority" json:"priority"`
	Tasks              int            `cbor:"tasks" json:"tasks"`
	CPU                units.Amount   `cbor:"cpu" json:"cpu"`
	GPU                units.Amount   `cbor:"gpu" json:"gpu"`
	Memory             units.Amount   `cbor:"memory" json:"memory"`
	InstanceTypes      []string       `cbor:"types" json:"types"`
	Zone               string         `cbor:"zone" json:"zone"`
	ZoneAffinity       bool           `cbor:"one_zone" json:"one_zone"`
	ZoneSpread         bool           `cbor:"spread" json:"spread"`
	AllowSpot          bool           `cbor:"spot" json:"spot"`
	Image              string         `cbor:"image" json:"image"`
	ImageSize          units.Amount   `cbor:"image_size" json:"image_size"`
	Estimate           units.Micros   `cbor:"estimate" json:"estimate"`
	CheckpointInterval units.Micros   `cbor:"checkpoint" json:"checkpoint"`
	CheckpointDuration units.Micros   `cbor:"save_time" json:"save_time"`
	Deadline           units.Micros   `cbor:"deadline" json:"deadline"`
	Submitted          units.Micros   `cbor:"submitted" json:"submitted"` // time of day
	Cancelled          bool           `cbor:"cancelled" json:"cancelled"`
	Machines           []string       `cbor:"machines" json:"machines"` // may hold tasks of the job
	Done               string         `cbor:"done" json:"done"`         // the done set, or the first page of it in the old format
	Pages              int            `cbor:"pages" json:"pages"`       // further pages, in the old format
}

// machineNamesRecord is a further part of the names of machines.
type machineNamesRecord struct {
	Format   storage.Format `cbor:"v" json:"v"`
	WriteID  string         `cbor:"save" json:"save"`
	Machines []string       `cbor:"machines" json:"machines"`
}

// donePageRecord is a part of a large array's done set.
type donePageRecord struct {
	Format  storage.Format `cbor:"v,omitempty" json:"v"` // not in the old format
	WriteID string         `cbor:"save,omitempty" json:"save"`
	Done    string         `cbor:"done" json:"done"`
}

const (
	// oldPageTasks is how many tasks a page covers in the old format: 2 KiB of bits,
	// 2.7 KiB as the text that the key-value store can hold.
	oldPageTasks = 16 << 10
	// pageTasks is the same in the new format: 0.7 KiB as text.
	pageTasks = 4 << 10
	// inlineTasks is the largest array whose done set is in its own record.
	inlineTasks = 1 << 10
)

// encodePage returns a page of the done set as text, without the zeros at its end.
func encodePage(b []byte) string {
	end := len(b)
	for end > 0 && b[end-1] == 0 {
		end--
	}
	return base64.RawStdEncoding.EncodeToString(b[:end])
}

// decodePage adds the tasks of an encoded page to a part of the done set.
func decodePage(text string, into []byte) error {
	raw, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil {
		return err
	}
	if len(raw) > len(into) {
		return errors.New("done set is longer than the job")
	}
	for i, x := range raw {
		into[i] |= x // the same tasks may be in pages of both formats
	}
	return nil
}

// record returns the job's own record, which names the given machines.
func (j *Job) record(writeID string, machines []string) jobRecord {
	spec := &j.Spec
	return jobRecord{
		Format:             j.records.format,
		WriteID:            writeID,
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
		Submitted:          j.Submitted,
		Cancelled:          j.Cancelled,
		Machines:           machines,
		Done:               encodePage(j.records.inlineDone(j.done.set)),
		Pages:              j.records.oldPageCount(),
	}
}
