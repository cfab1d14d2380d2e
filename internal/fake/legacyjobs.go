package fake

import (
	"encoding/base64"
	"errors"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"

	"dunestand/internal/protocol"
)

// LegacyJob is what a leader of the last version without services reads of a job's records.
type LegacyJob struct {
	Shape    uint8
	Machines []string // all on which it would look for the job's tasks
	Done     []byte   // a bit for each task
	Version  uint64
}

// The bounds of the version without services, restated from it.
const (
	legacyTasksPerPage = 16 << 10
	legacyShapes       = 3
	legacyPriorities   = 4
	legacyMaxTasks     = 100_000
	legacyShards       = 16
)

// legacyRecord is a job's main record.
type legacyRecord struct {
	Format   int      `cbor:"v"`
	ID       string   `cbor:"id"`
	Shape    uint8    `cbor:"shape"`
	Priority uint8    `cbor:"priority"`
	Tasks    int      `cbor:"tasks"`
	Machines []string `cbor:"machines"`
	Done     string   `cbor:"done"`
	Pages    int      `cbor:"pages"`
}

// ParseLegacyJobs reads the items below job/ as the last version without services does: any
// item that it cannot read is an error. All that is written while such a version may lead
// must be readable here.
func ParseLegacyJobs(items []protocol.Item) (map[string]*LegacyJob, error) {
	jobs := map[string]*LegacyJob{}
	pages := map[string]int{} // of each job, without the main record
	for _, item := range items {
		if isLegacyPage(item.Key) {
			continue
		}
		record, job, err := parseLegacyRecord(item)
		if err != nil {
			return nil, fmt.Errorf("record %s: %w", item.Key, err)
		}
		jobs[record.ID], pages[record.ID] = job, record.Pages
	}
	for _, item := range items {
		if !isLegacyPage(item.Key) {
			continue
		}
		parts := strings.Split(item.Key, "/")
		job, page := jobs[parts[2]], 0
		if _, err := fmt.Sscanf(parts[3], "p%d", &page); err != nil || job == nil || page < 1 || page > pages[parts[2]] {
			return nil, fmt.Errorf("record %s: belongs to no job", item.Key)
		}
		var record struct {
			Done string `cbor:"done"`
		}
		if err := protocol.Decode(item.Value, &record); err != nil {
			return nil, fmt.Errorf("record %s: %w", item.Key, err)
		}
		if err := job.readDone(record.Done, page); err != nil {
			return nil, fmt.Errorf("record %s: %w", item.Key, err)
		}
	}
	return jobs, nil
}

// isLegacyPage reports whether a key is of a further page of a job: job/SHARD/ID/pN.
func isLegacyPage(key string) bool { return strings.Count(key, "/") == 3 }

func parseLegacyRecord(item protocol.Item) (legacyRecord, *LegacyJob, error) {
	var r legacyRecord
	if err := protocol.Decode(item.Value, &r); err != nil {
		return r, nil, err
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(r.ID))
	key := fmt.Sprintf("job/%02d/%s", h.Sum32()%legacyShards, r.ID)
	if r.Format != 1 || !protocol.ValidJobID(r.ID) || item.Key != key {
		return r, nil, fmt.Errorf("format %d of job %q", r.Format, r.ID)
	}
	if r.Tasks < 1 || r.Tasks > legacyMaxTasks || r.Priority >= legacyPriorities || r.Shape >= legacyShapes || r.Pages != (r.Tasks-1)/legacyTasksPerPage {
		return r, nil, errors.New("out of range")
	}
	job := &LegacyJob{
		Shape:    r.Shape,
		Machines: slices.Clone(r.Machines),
		Done:     make([]byte, (r.Tasks+7)/8),
		Version:  item.Version,
	}
	return r, job, job.readDone(r.Done, 0)
}

// readDone copies the completed tasks of a page into the job's.
func (j *LegacyJob) readDone(text string, page int) error {
	raw, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil {
		return err
	}
	const pageBytes = legacyTasksPerPage / 8
	into := j.Done[min(page*pageBytes, len(j.Done)):min((page+1)*pageBytes, len(j.Done))]
	if len(raw) > len(into) {
		return errors.New("done set is longer than the job")
	}
	copy(into, raw)
	return nil
}
