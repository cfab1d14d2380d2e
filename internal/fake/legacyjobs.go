package fake

import (
	"encoding/base64"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"

	"dunestand/internal/protocol"
)

// LegacyJob is a job as the legacy version reads it from the job's records. The legacy version is
// the last program version without services: it reads only storage.FormatV1 and treats a service
// as a job array. The previous version, in contrast, is the one that a rolling upgrade replaces.
type LegacyJob struct {
	Kind     uint8
	Machines []string // all machines on which the legacy version looks for the job's tasks
	Done     []byte   // bitmap of the completed tasks
	Version  uint64
}

// Limits of the legacy version, copied from it. They must not follow the current limits.
const (
	legacyTasksPerPage = 16 << 10
	legacyKinds        = 3
	legacyPriorities   = 4
	legacyMaxTasks     = 100_000
	legacyBuckets      = 16
)

// legacyRecord is a job's main record, with the bitmap of its first page of tasks.
type legacyRecord struct {
	Format   int      `cbor:"v"`
	ID       string   `cbor:"id"`
	Kind     uint8    `cbor:"shape"`
	Priority uint8    `cbor:"priority"`
	Tasks    int      `cbor:"tasks"`
	Machines []string `cbor:"machines"`
	Done     string   `cbor:"done"`
	Pages    int      `cbor:"pages"`
}

// ParseLegacyJobs reads the items below job/ as the legacy version does, and returns the jobs by
// ID. It returns an error for any item that the legacy version cannot read. While a controller of
// the legacy version may become leader, only records that it can read may be written.
func ParseLegacyJobs(items []protocol.Item) (map[string]*LegacyJob, error) {
	jobs := map[string]*LegacyJob{}
	pages := map[string]int{} // number of pages after the main record, by job ID
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
			return nil, fmt.Errorf("record %s: not a page of a stored job", item.Key)
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

// isLegacyPage reports whether a key names a page after the main record: job/BUCKET/ID/pN.
func isLegacyPage(key string) bool { return strings.Count(key, "/") == 3 }

func parseLegacyRecord(item protocol.Item) (legacyRecord, *LegacyJob, error) {
	var r legacyRecord
	if err := protocol.Decode(item.Value, &r); err != nil {
		return r, nil, err
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(r.ID))
	key := fmt.Sprintf("job/%02d/%s", h.Sum32()%legacyBuckets, r.ID)
	if r.Format != 1 || !protocol.ValidJobID(r.ID) || item.Key != key {
		return r, nil, fmt.Errorf("invalid key, ID or format: format %d, ID %q", r.Format, r.ID)
	}
	if r.Tasks < 1 || r.Tasks > legacyMaxTasks || r.Priority >= legacyPriorities || r.Kind >= legacyKinds || r.Pages != (r.Tasks-1)/legacyTasksPerPage {
		return r, nil, fmt.Errorf("task count %d, priority %d, kind %d or page count %d is out of range", r.Tasks, r.Priority, r.Kind, r.Pages)
	}
	job := &LegacyJob{
		Kind:     r.Kind,
		Machines: slices.Clone(r.Machines),
		Done:     make([]byte, (r.Tasks+7)/8),
		Version:  item.Version,
	}
	return r, job, job.readDone(r.Done, 0)
}

// readDone copies a page's bitmap of completed tasks, encoded as base64, into the job's bitmap.
func (j *LegacyJob) readDone(text string, page int) error {
	raw, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil {
		return err
	}
	const pageBytes = legacyTasksPerPage / 8
	target := j.Done[min(page*pageBytes, len(j.Done)):min((page+1)*pageBytes, len(j.Done))]
	if len(raw) > len(target) {
		return fmt.Errorf("bitmap of completed tasks on page %d has %d bytes, limit %d", page, len(raw), len(target))
	}
	copy(target, raw)
	return nil
}
