package cluster

import (
	"dunestand/internal/config"
	"dunestand/internal/storage"
)

// recordRules are the record format and the limits to which write batches conform. The mutex
// of the State guards them.
type recordRules struct {
	limits            config.KVLimits // of the key-value store
	nameBudget        storage.MachineNameBudgetFunc
	format            storage.Format // the newest that every leader can read
	nextLimitsApplied bool           // the announced next limits are in force
}

func newRecordRules(limits config.KVLimits) recordRules {
	return recordRules{
		limits:     limits,
		nameBudget: storage.NewMachineNameBudgetFunc(limits.ValueBytes(), limits.Lowest().ValueBytes()),
		format:     storage.FormatV1,
	}
}

// v1LeadersPossible reports whether a later leader may be able to read only FormatV1.
func (r *recordRules) v1LeadersPossible() bool { return r.format < storage.FormatV2 }

// maxChanges returns the maximum number of changes in a transaction.
func (r *recordRules) maxChanges() int {
	if r.nextLimitsApplied || !r.v1LeadersPossible() {
		return r.limits.Lowest().TxnOps
	}
	return r.limits.TxnOps
}
