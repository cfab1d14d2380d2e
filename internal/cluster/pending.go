package cluster

import (
	"errors"
	"strings"

	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// PendingSubmission is a job in the queue of pending submissions: a controller accepted it
// while it could not reach a leader.
type PendingSubmission struct {
	Spec      protocol.JobSpec
	Submitted units.Micros // time of day
}

// PendingSubmissionTxn returns the transaction that accepts a job without a leader. It is
// carried out only if there is no record of the job: one that comes late, after
// the job was accepted otherwise or has ended, fails.
//
// The record is in the old format for good: it is small, and any version that may
// lead reads it.
func PendingSubmissionTxn(p PendingSubmission) protocol.Txn {
	id := p.Spec.ID
	return protocol.Txn{
		If: []protocol.Condition{{Key: storage.KeyPending(id)}, {Key: storage.KeyJob(id)}, {Key: storage.KeyTerminal(id)}},
		Then: []protocol.Change{{
			Set:   storage.KeyPending(id),
			Value: protocol.Encode(newJob(p.Spec, p.Submitted, storage.FormatOld).record("", nil)),
		}},
	}
}

// ParsePendingSubmission decodes a record of the queue of pending submissions. Its error is a
// *storage.RecordError.
func ParsePendingSubmission(item protocol.Item) (PendingSubmission, error) {
	id, ok := strings.CutPrefix(item.Key, storage.PrefixPending)
	if !ok {
		return PendingSubmission{}, &storage.RecordError{Key: item.Key, Err: errors.New("is not a pending submission")}
	}
	j, _, err := parseRecord(storage.KeyJob(id), item.Value)
	if err != nil {
		return PendingSubmission{}, &storage.RecordError{Key: item.Key, Err: err}
	}
	return PendingSubmission{j.Spec, j.Submitted}, nil
}

// AddPendingSubmission adds a pending submission, unless it is known already. The next write
// of the job removes it from the queue.
func (s *State) AddPendingSubmission(p PendingSubmission, now units.Micros) {
	j := s.Jobs[p.Spec.ID]
	if j == nil {
		j = s.NewJob(p.Spec, p.Submitted, now)
	}
	if j.inPendingQueue {
		return
	}
	j.inPendingQueue = true
	// A job that is stored already is only to be removed from the queue: nobody waits for
	// that, and there may be hundreds after a burst.
	j.records.main.dirty = j.records.main.dirty || !j.stored
	j.MarkChanged(now, !j.stored)
}
