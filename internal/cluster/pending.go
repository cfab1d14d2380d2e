package cluster

import (
	"errors"
	"strings"

	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// PendingSubmission is a job in the pending-submission queue, which a controller accepted
// while it could not reach a leader.
type PendingSubmission struct {
	Spec      protocol.JobSpec
	Submitted units.Micros // time of day
}

// PendingSubmissionTxn returns the transaction that accepts a job without a leader. It commits
// only if there is no record of the job, so a delayed transaction fails if the job was accepted
// in another way or has ended.
//
// The record is always in FormatV1, which leaders of every version can read. It is small
// enough for that format.
func PendingSubmissionTxn(p PendingSubmission) protocol.Txn {
	id := p.Spec.ID
	return protocol.Txn{
		If: []protocol.Condition{{Key: storage.KeyPending(id)}, {Key: storage.KeyJob(id)}, {Key: storage.KeyTerminal(id)}},
		Then: []protocol.Change{{
			Set:   storage.KeyPending(id),
			Value: protocol.Encode(newJob(p.Spec, p.Submitted, storage.FormatV1).record("", nil)),
		}},
	}
}

// ParsePendingSubmission decodes a record of the pending-submission queue. It returns a
// *storage.RecordError if the record is invalid.
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

// AddPendingSubmission adds the job of a pending submission, unless the job is known. The next
// write of the job deletes the submission from the queue.
func (s *State) AddPendingSubmission(p PendingSubmission, now units.Micros) {
	j := s.Jobs[p.Spec.ID]
	if j == nil {
		j = s.NewJob(p.Spec, p.Submitted, now)
	}
	if j.inPendingQueue {
		return
	}
	j.inPendingQueue = true
	// The submission of a job that is already stored only has to be deleted from the queue.
	// No request waits for that, and there can be hundreds after a burst.
	j.records.main.dirty = j.records.main.dirty || !j.stored
	j.MarkChanged(now, !j.stored)
}
