package cluster

import (
	"dunestand/internal/config"
	"dunestand/internal/storage"
)

// recordRules are the format and the limits that write batches keep to. State's lock guards
// them.
type recordRules struct {
	limits            config.KVLimits // of the key-value store
	nameBudget        storage.NameBudgetFunc
	format            storage.Format // of the fleet: the newest that every leader reads
	nextLimitsApplied bool           // the announced limits are known to be in force
}

func newRecordRules(limits config.KVLimits) recordRules {
	return recordRules{
		limits:     limits,
		nameBudget: storage.NewNameBudgetFunc(limits.ValueBytes(), limits.Lowest().ValueBytes()),
		format:     storage.FormatOld,
	}
}

// oldLeadersPossible reports whether a later leader may read the old format alone.
func (r *recordRules) oldLeadersPossible() bool { return r.format < storage.FormatNew }

// maxChanges returns the most changes in a transaction.
func (r *recordRules) maxChanges() int {
	if r.nextLimitsApplied || !r.oldLeadersPossible() {
		return r.limits.Lowest().TxnOps
	}
	return r.limits.TxnOps
}
