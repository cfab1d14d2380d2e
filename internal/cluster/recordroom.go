package cluster

import (
	"dunestand/internal/config"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
)

// maxRecordBytes bounds a record whatever the state service would take: with
// the pages of the largest array it must fit into a transaction. maxPartBytes
// keeps it cheap to name one more machine.
const (
	maxRecordBytes = 24 << 10
	maxPartBytes   = 8 << 10
)

// minNameBytes is the room for names, in bytes of JSON, without which a job is
// not accepted in the old form.
const minNameBytes = 1000

// longestWriteID is as long as the id of any save.
const longestWriteID = "00000000000000000000-00000000000000000000"

// nameSpaceFunc gives the bytes of JSON that are left for the names of machines in a
// job's record, however far the job gets, and in a further part.
type nameSpaceFunc func(spec *protocol.JobSpec, format int) (main, part int)

func newNameSpace(now, both int) nameSpaceFunc {
	return func(spec *protocol.JobSpec, format int) (main, part int) {
		j := &Job{Spec: *spec, jobRecords: jobRecords{format: format}}
		value, done := now, min(spec.Tasks, oldPageTasks)
		if format != storage.FormatOld {
			if value, done = both, spec.Tasks; done > inlineTasks {
				done = 0
			}
		}
		main = min(value, maxRecordBytes) - storage.JSONSize(j.record(longestWriteID, nil)) - (done/8+1)*4/3 - 64
		part = min(value, maxPartBytes) - storage.JSONSize(machineNamesRecord{
			Format:   storage.FormatNew,
			WriteID:  longestWriteID,
			Machines: []string{},
		})
		return main, part
	}
}

// FitsRecords tells whether a job can be kept in records of a format, however far the
// job gets.
func FitsRecords(spec *protocol.JobSpec, format int, state config.State) bool {
	both := state.Both()
	main, _ := newNameSpace(state.ValueBytes(), both.ValueBytes())(spec, format)
	if format != storage.FormatOld {
		return main >= 0
	}
	// The end of a job takes all its pages away in one transaction.
	return main >= minNameBytes && 3+(spec.Tasks-1)/oldPageTasks <= state.TxnOps
}

// nameSize is what a name takes, with its quotes and comma.
func nameSize(machine string) int { return len(machine) + 3 }
