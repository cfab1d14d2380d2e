package storage

import (
	"dunestand/internal/config"
	"dunestand/internal/protocol"
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

// LongestWriteID is as long as the ID of any write batch.
const LongestWriteID = "00000000000000000000-00000000000000000000"

// NameBudget is the space left for the names of machines, in bytes of JSON: in a job's own
// record, however far the job gets, and in a further part. It is negative where the record
// does not fit even without names.
type NameBudget struct{ Main, Part int }

// NameBudgetFunc returns the space for names in the records of a job in a format.
type NameBudgetFunc func(spec *protocol.JobSpec, format Format) NameBudget

// NewNameBudgetFunc returns the function for a store that takes values of so many bytes now, and
// of so many both now and under the announced next limits. Records in the old format, which
// are not divided, may fill what the store takes now.
func NewNameBudgetFunc(valueNow, valueBoth int) NameBudgetFunc {
	return func(spec *protocol.JobSpec, format Format) NameBudget {
		value, inlineDone := valueNow, min(spec.Tasks, OldPageTasks)
		if format != FormatOld {
			if value, inlineDone = valueBoth, spec.Tasks; inlineDone > InlineTasks {
				inlineDone = 0
			}
		}
		record := NewJobRecord(spec, format)
		record.WriteID = LongestWriteID
		main := JSONSize(record)
		part := JSONSize(MachineNamesRecord{
			Format:   FormatNew,
			WriteID:  LongestWriteID,
			Machines: []string{},
		})
		return NameBudget{
			Main: min(value, maxRecordBytes) - main - (inlineDone/8+1)*4/3 - recordMargin,
			Part: min(value, maxPartBytes) - part,
		}
	}
}

// FitsRecords reports whether a job can be kept in records of a format, however far the
// job gets.
func FitsRecords(spec *protocol.JobSpec, format Format, limits config.KVLimits) bool {
	budget := NewNameBudgetFunc(limits.ValueBytes(), limits.Lowest().ValueBytes())(spec, format)
	if format != FormatOld {
		return budget.Main >= 0
	}
	// The end of a job deletes all its pages in one transaction.
	return budget.Main >= minNameBytes && 3+(spec.Tasks-1)/OldPageTasks <= limits.TxnOps
}

// NameSize is what a name takes in JSON, with its quotes and comma.
func NameSize(machine string) int { return len(machine) + 3 }
