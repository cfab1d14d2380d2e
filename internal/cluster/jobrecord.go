package cluster

import "dunestand/internal/storage"

// record returns the job's main record, which names the given machines.
func (j *Job) record(writeID string, machines []string) storage.JobRecord {
	record := storage.NewJobRecord(&j.Spec, j.records.format)
	record.WriteID = writeID
	record.Submitted = j.Submitted
	record.Cancelled = j.Cancelled
	record.CancelRequested = j.cancelRequested
	record.Machines = machines
	record.Done = storage.EncodeDonePage(j.records.inlineDone(j.done.set))
	return record
}
