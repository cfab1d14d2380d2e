package cluster

import (
	"encoding/base64"
	"errors"

	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// jobRecord is a live job as it is stored. Durations are in microseconds.
type jobRecord struct {
	Format             int          `cbor:"v" json:"v"`
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
	Machines           []string     `cbor:"machines" json:"machines"` // may hold tasks of the job
	Done               string       `cbor:"done" json:"done"`         // the done set, or the first page of it in the old form
	Pages              int          `cbor:"pages" json:"pages"`       // further pages, in the old form
}

// machineNamesRecord is a further part of the names of machines.
type machineNamesRecord struct {
	Format   int      `cbor:"v" json:"v"`
	WriteID  string   `cbor:"save" json:"save"`
	Machines []string `cbor:"machines" json:"machines"`
}

// donePageRecord is a part of a large array's done set.
type donePageRecord struct {
	Format  int    `cbor:"v,omitempty" json:"v"` // not in the old form
	WriteID string `cbor:"save,omitempty" json:"save"`
	Done    string `cbor:"done" json:"done"`
}

const (
	// oldPageTasks is how many tasks a page covers in the old form: 2 KiB of bits,
	// 2.7 KiB as the text that the state service can hold.
	oldPageTasks = 16 << 10
	// pageTasks is the same in the new form: 0.7 KiB as text.
	pageTasks = 4 << 10
	// inlineTasks is the largest array whose done set is in its own record.
	inlineTasks = 1 << 10
)

func encodePage(b []byte) string {
	end := len(b)
	for end > 0 && b[end-1] == 0 {
		end--
	}
	return base64.RawStdEncoding.EncodeToString(b[:end])
}

func decodePage(text string, into []byte) error {
	raw, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil {
		return err
	}
	if len(raw) > len(into) {
		return errors.New("done set is longer than the job")
	}
	for i, x := range raw {
		into[i] |= x // the same tasks may be told of in both forms
	}
	return nil
}

func (j *Job) record(save string, machines []string) jobRecord {
	s := &j.Spec
	return jobRecord{
		Format:             j.format,
		WriteID:            save,
		ID:                 s.ID,
		Class:              s.Class,
		Team:               s.Team,
		Kind:               uint8(s.Kind),
		Priority:           uint8(s.Priority),
		Tasks:              s.Tasks,
		CPU:                s.Request.CPU,
		GPU:                s.Request.GPU,
		Memory:             s.Request.Memory,
		InstanceTypes:      s.InstanceTypes,
		Zone:               s.Zone,
		ZoneAffinity:       s.ZoneAffinity,
		ZoneSpread:         s.ZoneSpread,
		AllowSpot:          s.AllowSpot,
		Image:              s.Image,
		ImageSize:          s.ImageSize,
		Estimate:           s.Estimate,
		CheckpointInterval: s.CheckpointInterval,
		CheckpointDuration: s.CheckpointDuration,
		Deadline:           s.Deadline,
		Submitted:          j.Submitted,
		Cancelled:          j.Cancelled,
		Machines:           machines,
		Done:               encodePage(j.inlineDone()),
		Pages:              j.oldPageCount(),
	}
}

// inlineDone is the part of the done set that is in the job's own record.
func (j *Job) inlineDone() []byte {
	switch {
	case j.format == storage.FormatOld:
		return j.done.page(0, oldPageTasks)
	case j.Spec.Tasks <= inlineTasks:
		return j.done
	}
	return nil
}

// oldPageCount is the number of further pages that a reader of the old form
// expects.
func (j *Job) oldPageCount() int {
	if j.format == storage.FormatOld {
		return (j.Spec.Tasks - 1) / oldPageTasks
	}
	return 0
}
