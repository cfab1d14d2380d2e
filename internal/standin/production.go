package standin

import (
	"encoding/base64"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"

	"dunestand/internal/protocol"
)

// OldJob is what a leader of the version before services makes of a job's
// records.
type OldJob struct {
	Shape    uint8
	Machines []string // all places where it would look for the job's tasks
	Done     []byte
	Version  uint64
}

// ReadAsBefore reads the rows under job/ as the version before services does: it
// fails the whole on any that it cannot read. While such a version may lead, all
// that is written must pass here. The rules are restated from that version.
func ReadAsBefore(items []protocol.Item) (map[string]*OldJob, error) {
	const pageTasks, shapes, priorities = 16 << 10, 3, 4
	type record struct {
		Format   int      `cbor:"v"`
		ID       string   `cbor:"id"`
		Shape    uint8    `cbor:"shape"`
		Priority uint8    `cbor:"priority"`
		Tasks    int      `cbor:"tasks"`
		Machines []string `cbor:"machines"`
		Done     string   `cbor:"done"`
		Pages    int      `cbor:"pages"`
	}
	jobs := map[string]*OldJob{}
	pages := map[string]int{}
	done := func(j *OldJob, text string, page int) error {
		raw, err := base64.RawStdEncoding.DecodeString(text)
		if err == nil {
			into := j.Done[min(page*pageTasks/8, len(j.Done)):min((page+1)*pageTasks/8, len(j.Done))]
			if len(raw) > len(into) {
				return fmt.Errorf("done set is longer than the job")
			}
			copy(into, raw)
		}
		return err
	}
	for _, row := range items {
		if strings.Count(row.Key, "/") == 3 {
			continue
		}
		var r record
		if err := protocol.Decode(row.Value, &r); err != nil {
			return nil, fmt.Errorf("record %s: %w", row.Key, err)
		}
		h := fnv.New32a()
		_, _ = h.Write([]byte(r.ID))
		if r.Format != 1 || !protocol.ValidJobID(r.ID) || row.Key != fmt.Sprintf("job/%02d/%s", h.Sum32()%16, r.ID) {
			return nil, fmt.Errorf("record %s: format %d of job %q", row.Key, r.Format, r.ID)
		}
		if r.Tasks < 1 || r.Tasks > 100_000 || r.Priority >= priorities || r.Shape >= shapes || r.Pages != (r.Tasks-1)/pageTasks {
			return nil, fmt.Errorf("record %s: out of range", row.Key)
		}
		j := &OldJob{
			Shape:    r.Shape,
			Machines: slices.Clone(r.Machines),
			Done:     make([]byte, (r.Tasks+7)/8),
			Version:  row.Version,
		}
		if err := done(j, r.Done, 0); err != nil {
			return nil, fmt.Errorf("record %s: %w", row.Key, err)
		}
		jobs[r.ID], pages[r.ID] = j, r.Pages
	}
	for _, row := range items {
		parts := strings.Split(row.Key, "/")
		if len(parts) != 4 {
			continue
		}
		j, n := jobs[parts[2]], 0
		if _, err := fmt.Sscanf(parts[3], "p%d", &n); err != nil || j == nil || n < 1 || n > pages[parts[2]] {
			return nil, fmt.Errorf("record %s: belongs to no job", row.Key)
		}
		var p struct {
			Done string `cbor:"done"`
		}
		if err := protocol.Decode(row.Value, &p); err != nil {
			return nil, fmt.Errorf("record %s: %w", row.Key, err)
		}
		if err := done(j, p.Done, n); err != nil {
			return nil, fmt.Errorf("record %s: %w", row.Key, err)
		}
	}
	return jobs, nil
}
