package cluster

import (
	"fmt"
	"strings"

	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// PendingSubmission is a job in the inbox.
type PendingSubmission struct {
	Spec      protocol.JobSpec
	Submitted units.Micros // time of day
}

// PendingSubmissionTxn is the transaction that accepts a job without a leader. It is
// carried out only if no record tells of the job: one that comes late, after
// the job was accepted otherwise or is over, fails.
//
// The record is in the old form for good: it is small, and any version that may
// lead reads it.
func PendingSubmissionTxn(a PendingSubmission) protocol.Txn {
	id := a.Spec.ID
	return protocol.Txn{
		If: []protocol.Condition{{Key: storage.KeyPending(id)}, {Key: storage.KeyJob(id)}, {Key: storage.KeyTerminal(id)}},
		Then: []protocol.Change{{
			Set:   storage.KeyPending(id),
			Value: protocol.Encode(newJob(a.Spec, a.Submitted, storage.FormatOld).record("", nil)),
		}},
	}
}

// ParsePendingSubmission reads a record of the inbox.
func ParsePendingSubmission(item protocol.Item) (PendingSubmission, error) {
	id, ok := strings.CutPrefix(item.Key, storage.PrefixPending)
	if !ok {
		return PendingSubmission{}, fmt.Errorf("record %s: is not in the inbox", item.Key)
	}
	j, _, err := parseRecord(storage.KeyJob(id), item.Value)
	if err != nil {
		return PendingSubmission{}, fmt.Errorf("record %s: %w", item.Key, err)
	}
	return PendingSubmission{j.Spec, j.Submitted}, nil
}

// AddPending adds a job from the inbox, unless it is known already. The next save
// of the job takes it out of there.
func (l *State) AddPending(a PendingSubmission, now units.Micros) {
	j := l.Jobs[a.Spec.ID]
	if j == nil {
		j = l.NewJob(a.Spec, a.Submitted, now)
	}
	if j.inPendingQueue {
		return
	}
	j.inPendingQueue = true
	// A job that is stored already is only to be taken out of the inbox: nobody waits for
	// that, and there may be hundreds after a burst.
	j.main.dirty = j.main.dirty || !j.stored
	j.MarkChanged(now, !j.stored)
}
