package recordformat

import (
	"context"
	"fmt"

	"dunestand/internal/kv"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
)

// StoredFormat is a format as a record has it: the one that a controller reads, or the fleet's.
type StoredFormat struct {
	Format  storage.Format
	Version uint64 // of the record
}

// SupportedByAll returns the newest format that every controller reads, given the formats in
// the store by key. A controller without a record reads the oldest only.
func SupportedByAll(nodes []string, known map[string]StoredFormat) storage.Format {
	format := storage.NewestFormat
	for _, node := range nodes {
		format = min(format, max(known[storage.KeyFormat(node)].Format, storage.FormatOld))
	}
	return format
}

// readRecords reads the formats of all controllers and of the fleet, by key, and adopts the
// fleet's.
func (n *Negotiator) readRecords(ctx context.Context) (map[string]StoredFormat, error) {
	list, err := n.client.List(ctx, storage.PrefixFormats, "", kv.CallTimeout)
	if err != nil {
		return nil, err
	}
	known := map[string]StoredFormat{}
	for _, item := range list.Items {
		var record storage.FormatRecord
		if err := protocol.Decode(item.Value, &record); err != nil {
			return nil, &storage.RecordError{Key: item.Key, Err: err}
		}
		known[item.Key] = StoredFormat{record.Format, item.Version}
	}
	n.adopt(known[storage.KeyFleetFormat].Format)
	return known, nil
}

// write writes a record of a format if its version is still the given one. After a
// kv.VersionConflictError the next step reads what another controller wrote.
func (n *Negotiator) write(ctx context.Context, key string, format storage.Format, version uint64) error {
	_, err := n.client.CompareAndSwap(ctx, protocol.Txn{
		If: []protocol.Condition{{Key: key, Version: version}},
		Then: []protocol.Change{{
			Set:   key,
			Value: protocol.Encode(storage.FormatRecord{Format: format, WrittenBy: n.node}),
		}},
	}, kv.Urgent, kv.CallTimeout)
	if err != nil {
		return fmt.Errorf("writing record %s: %w", key, err)
	}
	return nil
}
