package cluster

import (
	"fmt"
	"strings"

	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// Arrival is a job in the inbox.
type Arrival struct {
	Spec      protocol.JobSpec
	Submitted units.Micros // time of day
}

// ArrivalTxn is the transaction that accepts a job without a leader. It is
// carried out only if no record tells of the job: one that comes late, after
// the job was accepted otherwise or is over, fails.
//
// The record is in the old form for good: it is small, and any version that may
// lead reads it.
func ArrivalTxn(a Arrival) protocol.Txn {
	id := a.Spec.ID
	return protocol.Txn{
		If: []protocol.Condition{{Key: storage.KeyInbox(id)}, {Key: storage.KeyJob(id)}, {Key: storage.KeyFinal(id)}},
		Then: []protocol.Change{{
			Set:   storage.KeyInbox(id),
			Value: protocol.Encode(newJob(a.Spec, a.Submitted, storage.FormatOld).record("", nil)),
		}},
	}
}

// ParseArrival reads a record of the inbox.
func ParseArrival(item protocol.Item) (Arrival, error) {
	id, ok := strings.CutPrefix(item.Key, storage.PrefixInbox)
	if !ok {
		return Arrival{}, fmt.Errorf("record %s: is not in the inbox", item.Key)
	}
	j, _, err := parseRecord(storage.KeyJob(id), item.Value)
	if err != nil {
		return Arrival{}, fmt.Errorf("record %s: %w", item.Key, err)
	}
	return Arrival{j.Spec, j.Submitted}, nil
}

// TakeIn adds a job from the inbox, unless it is known already. The next save
// of the job takes it out of there.
func (l *Ledger) TakeIn(a Arrival, now units.Micros) {
	j := l.Jobs[a.Spec.ID]
	if j == nil {
		j = l.NewJob(a.Spec, a.Submitted, now)
	}
	if j.arrived {
		return
	}
	j.arrived = true
	// A job that is stored already is only to be taken out of the inbox: nobody waits for
	// that, and there may be hundreds after a burst.
	j.main.dirty = j.main.dirty || !j.stored
	j.Changed(now, !j.stored)
}
