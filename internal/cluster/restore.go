package cluster

import (
	"errors"
	"strings"

	"dunestand/internal/protocol"
	"dunestand/internal/storage"
)

// ParseJobs decodes the records under the jobs' prefix. If any record cannot be decoded it
// returns a *storage.RecordError, because skipping a record would lose a job. The records of a
// job whose migration to FormatV2 is incomplete are merged from both formats. orphans
// are the keys of parts without a main record, by job ID. They are left over if the job has ended;
// otherwise its main record is missing, so the caller must read the job's terminal record.
func ParseJobs(items []protocol.Item) (jobs []*Job, orphans map[string][]string, err error) {
	byKey := map[string]*Job{}
	var parts []protocol.Item
	for _, item := range items {
		if isPart(item.Key) {
			parts = append(parts, item)
			continue
		}
		j, err := restoreJob(item)
		if err != nil {
			return nil, nil, err
		}
		byKey[item.Key] = j
		jobs = append(jobs, j)
	}
	orphans = map[string][]string{}
	for _, item := range parts {
		if err := restorePart(item, byKey, orphans); err != nil {
			return nil, nil, err
		}
	}
	for _, j := range jobs {
		j.finishRestore()
	}
	return jobs, orphans, nil
}

// isPart reports whether a key under the jobs' prefix belongs to a part: it has one element
// more than the key job/BUCKET/ID of a main record.
func isPart(key string) bool { return strings.Count(key, "/") == 3 }

// restoreJob decodes a stored main record.
func restoreJob(item protocol.Item) (*Job, error) {
	j, record, err := parseRecord(item.Key, item.Value)
	if err != nil {
		return nil, err
	}
	j.records.main.version, j.cancelVersion, j.stored = item.Version, item.Version, true
	j.write.due = j.Cancelled // its terminal state may be due
	j.records.restoreNames(j.records.main, record.Machines)
	return j, nil
}

// restorePart adds a part to its job, or to the orphans if it has no main record.
func restorePart(item protocol.Item, jobs map[string]*Job, orphans map[string][]string) error {
	part, err := storage.ParseJobPart(item.Key)
	if err != nil {
		return err
	}
	if j := jobs[part.JobKey]; j != nil {
		if part.Kind == storage.PartMachineNames {
			err = j.parseNames(item, part)
		} else {
			err = j.parsePage(item, part)
		}
		if err != nil {
			return &storage.RecordError{Key: item.Key, Err: err}
		}
		return nil
	}
	id := part.JobKey[strings.LastIndexByte(part.JobKey, '/')+1:]
	if !protocol.ValidJobID(id) || storage.KeyJob(id) != part.JobKey {
		return &storage.RecordError{Key: item.Key, Err: errors.New("belongs to no job")}
	}
	orphans[id] = append(orphans[id], item.Key)
	return nil
}

// parseRecord decodes and validates a job's main record. If the record is invalid it returns a
// *storage.RecordError, and never an empty job.
func parseRecord(key string, raw protocol.Raw) (*Job, storage.JobRecord, error) {
	var r storage.JobRecord
	if err := protocol.Decode(raw, &r); err != nil {
		return nil, r, &storage.RecordError{Key: key, Err: err}
	}
	if err := r.Check(key); err != nil {
		return nil, r, &storage.RecordError{Key: key, Err: err}
	}
	j := newJob(r.Spec(), r.Submitted, r.Format)
	if r.Pages != storage.PageCountV1(r.Tasks, r.Format) {
		return nil, r, &storage.RecordError{Key: key, Err: storage.ErrOutOfRange}
	}
	j.Cancelled, j.CancelDurable = r.Cancelled, r.Cancelled
	if r.Cancelled {
		j.cancelRequested = max(r.CancelRequested, r.Submitted)
	}
	if err := storage.DecodeDonePage(r.Done, j.records.inlineDone(j.done.set)); err != nil {
		return nil, r, &storage.RecordError{Key: key, Err: err}
	}
	return j, r, nil
}

// parseNames decodes a part with machine names.
func (j *Job) parseNames(item protocol.Item, part storage.JobPart) error {
	var r storage.MachineNamesRecord
	if err := protocol.Decode(item.Value, &r); err != nil {
		return err
	}
	if r.Format != storage.FormatV2 {
		return storage.UnknownFormatError(r.Format)
	}
	n, record := part.Number, &recordState{key: item.Key, version: item.Version}
	if j.records.nameParts[n] != nil || n > maxParts {
		return storage.ErrOutOfRange
	}
	j.records.nameParts[n] = record
	j.records.restoreNames(record, r.Machines)
	return nil
}

// parsePage decodes a part with a page of the job's done set, in FormatV1 or FormatV2.
func (j *Job) parsePage(item protocol.Item, part storage.JobPart) error {
	var r storage.DonePageRecord
	if err := protocol.Decode(item.Value, &r); err != nil {
		return err
	}
	record := &recordState{key: item.Key, version: item.Version}
	n, last := part.Number, j.Spec.Tasks-1
	if part.Kind == storage.PartDonePageV1 {
		if n < 1 || n > last/storage.PageTasksV1 {
			return storage.ErrOutOfRange
		}
		j.records.donePagesV1[n] = record
		return storage.DecodeDonePage(r.Done, j.done.set.Page(n, storage.PageTasksV1))
	}
	if r.Format != storage.FormatV2 {
		return storage.UnknownFormatError(r.Format)
	}
	if n > last/storage.PageTasks {
		return storage.ErrOutOfRange
	}
	j.records.donePages[n] = record
	return storage.DecodeDonePage(r.Done, j.done.set.Page(n, storage.PageTasks))
}

// finishRestore completes a job once all its records have been decoded.
func (j *Job) finishRestore() {
	r := &j.records
	r.main.dirty = false
	for _, record := range r.nameParts {
		record.dirty = false
	}
	if j.IsService() {
		clear(j.done.set) // a leader of the legacy version may have treated the service as a job array
	}
	if r.format == storage.FormatV2 { // the migration stopped before it deleted the pages in FormatV1
		r.markV1PagesObsolete()
	}
	j.done.recount()
}
