package recordformat

import (
	"context"
	"fmt"

	"dunestand/internal/kv"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
)

// StoredFormat is a format record as it was read: the newest format that a controller reads, or the
// fleet format.
type StoredFormat struct {
	Format  storage.Format
	Version uint64 // of the record
}

// SupportedByAll returns the newest format that every one of the controllers reads. known holds
// the stored formats by key. A controller without a record reads only the oldest format.
func SupportedByAll(controllers []string, known map[string]StoredFormat) storage.Format {
	format := storage.NewestFormat
	for _, name := range controllers {
		format = min(format, max(known[storage.KeyFormat(name)].Format, storage.FormatV1))
	}
	return format
}

// readRecords returns the stored formats of all controllers and of the fleet, by key, and adopts
// the fleet format. It fails with a *storage.RecordError if a record cannot be decoded.
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

// write stores a format record under key if its stored version is still version. After a
// *kv.VersionConflictError the next step reads the record that another controller wrote.
func (n *Negotiator) write(ctx context.Context, key string, format storage.Format, version uint64) error {
	_, err := n.client.CompareAndSwap(ctx, protocol.Txn{
		If: []protocol.Condition{{Key: key, Version: version}},
		Then: []protocol.Change{{
			Set:   key,
			Value: protocol.Encode(storage.FormatRecord{Format: format, WrittenBy: n.name}),
		}},
	}, kv.Urgent, kv.CallTimeout)
	if err != nil {
		return fmt.Errorf("writing record %s: %w", key, err)
	}
	return nil
}
