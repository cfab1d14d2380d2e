package storage

import (
	"dunestand/internal/config"
	"dunestand/internal/protocol"
)

// Limits of the sizes of records, in bytes of JSON.
const (
	// maxRecordBytes is the limit of a JobRecord, even if the key-value store accepts larger
	// values: the record must fit into one transaction with the pages of the largest job array.
	maxRecordBytes = 24 << 10
	// maxPartBytes is the limit of a MachineNamesRecord. It keeps it cheap to add a machine, which
	// rewrites the record.
	maxPartBytes = 8 << 10
	// minNameBytes is the space for machine names that a job needs in order to be accepted in
	// FormatV1.
	minNameBytes = 1000
	// recordMarginBytes is the space that is left free in a JobRecord.
	recordMarginBytes = 64
)

// LongestWriteID has the length of the longest ID of a write batch.
const LongestWriteID = "00000000000000000000-00000000000000000000"

// MachineNameBudget is the space that is left for the names of machines, in bytes of JSON: Main in a
// JobRecord, even when all tasks are done, and Part in a MachineNamesRecord. It is negative if the
// record does not fit even without names.
type MachineNameBudget struct{ Main, Part int }

// MachineNameBudgetFunc returns the space for machine names in the records of a job in a format.
type MachineNameBudgetFunc func(spec *protocol.JobSpec, format Format) MachineNameBudget

// NewMachineNameBudgetFunc returns the MachineNameBudgetFunc for the value sizes, in bytes, that the
// store accepts: currentValueBytes now, lowestValueBytes both now and under the announced next
// limits. Records in FormatV1, which cannot be divided, may use the current value size.
func NewMachineNameBudgetFunc(currentValueBytes, lowestValueBytes int) MachineNameBudgetFunc {
	return func(spec *protocol.JobSpec, format Format) MachineNameBudget {
		value, inlineDone := currentValueBytes, min(spec.Tasks, PageTasksV1)
		if format != FormatV1 {
			if value, inlineDone = lowestValueBytes, spec.Tasks; inlineDone > InlineTasks {
				inlineDone = 0
			}
		}
		record := NewJobRecord(spec, format)
		record.WriteID = LongestWriteID
		main := JSONSize(record)
		part := JSONSize(MachineNamesRecord{
			Format:   FormatV2,
			WriteID:  LongestWriteID,
			Machines: []string{},
		})
		return MachineNameBudget{
			Main: min(value, maxRecordBytes) - main - (inlineDone/8+1)*4/3 - recordMarginBytes,
			Part: min(value, maxPartBytes) - part,
		}
	}
}

// FitsRecords reports whether a job fits into records of a format until its end, with all tasks done.
func FitsRecords(spec *protocol.JobSpec, format Format, limits config.KVLimits) bool {
	budget := NewMachineNameBudgetFunc(limits.ValueBytes(), limits.Lowest().ValueBytes())(spec, format)
	if format != FormatV1 {
		return budget.Main >= 0
	}
	// The end of a job deletes all its pages in one transaction.
	return budget.Main >= minNameBytes && 3+(spec.Tasks-1)/PageTasksV1 <= limits.TxnOps
}

// MachineNameSize returns the size in bytes of a machine name in a JSON list, with its quotes and
// comma.
func MachineNameSize(machine string) int { return len(machine) + 3 }
