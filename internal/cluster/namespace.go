package cluster

import (
	"dunestand/internal/config"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
)

// maxRecordBytes bounds a record whatever the key-value store would accept: with
// the pages of the largest array it must fit into a transaction. maxPartBytes
// keeps it cheap to name one more machine. Both are bytes of JSON.
const (
	maxRecordBytes = 24 << 10
	maxPartBytes   = 8 << 10
)

// minNameBytes is the space for names, in bytes of JSON, without which a job is
// not accepted in the old format.
const minNameBytes = 1000

// recordMargin is left free in a job's own record, in bytes.
const recordMargin = 64

// longestWriteID is as long as the ID of any write batch.
const longestWriteID = "00000000000000000000-00000000000000000000"

// nameSpace is the space left for the names of machines, in bytes of JSON: in a job's own
// record, however far the job gets, and in a further part. It is negative where the record
// does not fit even without names.
type nameSpace struct{ main, part int }

// nameSpaceFunc returns the space for names in the records of a job in a format.
type nameSpaceFunc func(spec *protocol.JobSpec, format storage.Format) nameSpace

// newNameSpace returns the function for a store that takes values of so many bytes now, and
// of so many both now and under the announced next limits. Records in the old format, which
// are not divided, may fill what the store takes now.
func newNameSpace(valueNow, valueBoth int) nameSpaceFunc {
	return func(spec *protocol.JobSpec, format storage.Format) nameSpace {
		j := &Job{Spec: *spec, records: jobRecords{spec: spec, format: format}}
		value, inlineDone := valueNow, min(spec.Tasks, oldPageTasks)
		if format != storage.FormatOld {
			if value, inlineDone = valueBoth, spec.Tasks; inlineDone > inlineTasks {
				inlineDone = 0
			}
		}
		main := storage.JSONSize(j.record(longestWriteID, nil))
		part := storage.JSONSize(machineNamesRecord{
			Format:   storage.FormatNew,
			WriteID:  longestWriteID,
			Machines: []string{},
		})
		return nameSpace{
			main: min(value, maxRecordBytes) - main - (inlineDone/8+1)*4/3 - recordMargin,
			part: min(value, maxPartBytes) - part,
		}
	}
}

// FitsRecords reports whether a job can be kept in records of a format, however far the
// job gets.
func FitsRecords(spec *protocol.JobSpec, format storage.Format, limits config.State) bool {
	both := limits.Both()
	space := newNameSpace(limits.ValueBytes(), both.ValueBytes())(spec, format)
	if format != storage.FormatOld {
		return space.main >= 0
	}
	// The end of a job deletes all its pages in one transaction.
	return space.main >= minNameBytes && 3+(spec.Tasks-1)/oldPageTasks <= limits.TxnOps
}

// nameSize is what a name takes in JSON, with its quotes and comma.
func nameSize(machine string) int { return len(machine) + 3 }
