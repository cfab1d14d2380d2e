package cluster

import (
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/units"
	"errors"
	"fmt"
	"strings"
)

// parseRecord reads a job's record. A record that cannot be read is an error,
// never an empty job.
func parseRecord(key string, raw protocol.Raw) (*Job, jobRecord, error) {
	var r jobRecord
	if err := protocol.Decode(raw, &r); err != nil {
		return nil, r, fmt.Errorf("record %s: %w", key, err)
	}
	switch {
	case r.Format != storage.FormatOld && r.Format != storage.FormatNew:
		return nil, r, fmt.Errorf("record %s: format %d is not known", key, r.Format)
	case !protocol.ValidJobID(r.ID) || storage.KeyJob(r.ID) != key:
		return nil, r, fmt.Errorf("record %s: names job %q", key, r.ID)
	case r.Tasks < 1 || r.Tasks > protocol.MaxTasks || int(r.Priority) >= protocol.Priorities || int(r.Kind) >= protocol.JobKinds:
		return nil, r, fmt.Errorf("record %s: out of range", key)
	}
	j := newJob(protocol.JobSpec{
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
	}, r.Submitted, r.Format)
	if r.Pages != j.oldPageCount() {
		return nil, r, fmt.Errorf("record %s: out of range", key)
	}
	j.Cancelled, j.CancelDurable = r.Cancelled, r.Cancelled
	if err := decodePage(r.Done, j.inlineDone()); err != nil {
		return nil, r, fmt.Errorf("record %s: %w", key, err)
	}
	return j, r, nil
}

// ParseJobs reads the rows under the jobs' prefix. Any row that cannot be
// read fails the whole: skipping it would forget a job. While a job is turned
// into the new form, what its records say in both counts. Further records
// without a job's own are given by job: they are left over if it is over.
func ParseJobs(rows []protocol.Item) (jobs []*Job, orphans map[string][]string, err error) {
	byKey := map[string]*Job{}
	var parts []protocol.Item
	for _, row := range rows {
		if strings.Count(row.Key, "/") == 3 {
			parts = append(parts, row)
			continue
		}
		j, r, err := parseRecord(row.Key, row.Value)
		if err != nil {
			return nil, nil, err
		}
		j.main.version, j.cancelVersion, j.stored = row.Version, row.Version, true
		j.changed = j.Cancelled // its end may be due
		j.restoreNames(j.main, r.Machines)
		byKey[row.Key] = j
		jobs = append(jobs, j)
	}
	orphans = map[string][]string{}
	for _, row := range parts {
		key, kind, n, err := storage.ParseJobPart(row.Key)
		if err != nil {
			return nil, nil, err
		}
		j := byKey[key]
		if j == nil {
			id := key[strings.LastIndexByte(key, '/')+1:]
			if !protocol.ValidJobID(id) || storage.KeyJob(id) != key {
				return nil, nil, fmt.Errorf("record %s: belongs to no job", row.Key)
			}
			orphans[id] = append(orphans[id], row.Key)
			continue
		}
		if err := j.parsePart(row, kind, n); err != nil {
			return nil, nil, err
		}
	}
	for _, j := range jobs {
		j.finishRestore()
	}
	return jobs, orphans, nil
}

// ParsePart takes in one of the job's further records.
func (j *Job) parsePart(row protocol.Item, kind byte, n int) error {
	var p donePageRecord
	var r machineNamesRecord
	var err error
	if kind == storage.PartMachineNames {
		err = protocol.Decode(row.Value, &r)
		p.Format = r.Format
	} else {
		err = protocol.Decode(row.Value, &p)
	}
	c := &shard{key: row.Key, version: row.Version}
	switch size := j.Spec.Tasks - 1; {
	case err != nil:
	case kind == storage.PartOldDonePage:
		if n < 1 || n > size/oldPageTasks {
			err = errors.New("out of range")
			break
		}
		err = decodePage(p.Done, j.done.page(n, oldPageTasks))
		j.oldDonePages[n] = c
	case p.Format != storage.FormatNew:
		err = fmt.Errorf("format %d is not known", p.Format)
	case kind == storage.PartMachineNames:
		if j.nameParts[n] != nil || n > maxParts {
			err = errors.New("out of range")
			break
		}
		j.nameParts[n] = c
		j.restoreNames(c, r.Machines)
	case n > size/pageTasks:
		err = errors.New("out of range")
	default:
		err = decodePage(p.Done, j.done.page(n, pageTasks))
		j.donePages[n] = c
	}
	if err != nil {
		return fmt.Errorf("record %s: %w", row.Key, err)
	}
	return nil
}
