package storage

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"dunestand/internal/protocol"
)

// keyCatalogPart returns the key of the n-th record of the catalog. From FormatV2 on the catalog is
// divided into several records, since its size grows with the number of instance types.
func keyCatalogPart(n int) string { return fmt.Sprintf("%s/%d", KeyCatalog, n) }

// Upper bounds, in bytes of JSON, of the size of a catalog record beyond the JSONSize of its types.
const (
	catalogOverhead = 16 // per record, around the types
	typeOverhead    = 32 // per type: its stored field names are a little longer
)

// CatalogChanges returns the changes that replace the stored catalog by one of the given types in
// the given format. Sets come before deletions, so that no type is missing at any moment. stored
// holds the versions of the present catalog records by key. valueBytes is the largest size of a
// record from FormatV2 on, in bytes of JSON; a type that does not fit into a record is omitted.
func CatalogChanges(types []protocol.InstanceType, format Format, valueBytes int, stored map[string]uint64) []protocol.Change {
	if format == FormatV1 {
		return []protocol.Change{{Set: KeyCatalog, Value: protocol.Encode(protocol.Catalog{Types: types})}}
	}
	var changes []protocol.Change
	kept := map[string]bool{}
	for _, part := range divideCatalog(types, valueBytes) {
		key := keyCatalogPart(len(changes))
		kept[key] = true
		changes = append(changes, protocol.Change{
			Set:   key,
			Value: protocol.Encode(protocol.Catalog{Types: part}),
		})
	}
	for _, key := range slices.Sorted(maps.Keys(stored)) {
		if !kept[key] {
			changes = append(changes, protocol.Change{Delete: key})
		}
	}
	return changes
}

// divideCatalog divides the types, in their order, into records of up to valueBytes of JSON. A type
// that does not fit into a record is omitted.
func divideCatalog(types []protocol.InstanceType, valueBytes int) [][]protocol.InstanceType {
	var parts [][]protocol.InstanceType
	var part []protocol.InstanceType
	size := catalogOverhead
	for _, t := range types {
		add := JSONSize(t) + typeOverhead
		if catalogOverhead+add > valueBytes {
			continue
		}
		if size+add > valueBytes {
			parts = append(parts, part)
			part, size = nil, catalogOverhead
		}
		part = append(part, t)
		size += add
	}
	if len(part) > 0 {
		parts = append(parts, part)
	}
	return parts
}

// ParseCatalog decodes the catalog from records in any format, and returns the versions of these
// records by key. Items with other keys are ignored. A record that cannot be decoded is omitted from
// the catalog and reported as a *RecordError: if there are several, the one that is first in items.
func ParseCatalog(items []protocol.Item) (catalog protocol.Catalog, stored map[string]uint64, err error) {
	stored = map[string]uint64{}
	seen := map[string]bool{}
	for _, item := range slices.Backward(items) { // the record in FormatV1 comes first and may be outdated
		if item.Key != KeyCatalog && !strings.HasPrefix(item.Key, KeyCatalog+"/") {
			continue
		}
		stored[item.Key] = item.Version
		var c protocol.Catalog
		if e := protocol.Decode(item.Value, &c); e != nil {
			err = &RecordError{Key: item.Key, Err: e}
			continue
		}
		for _, t := range c.Types {
			if !seen[t.Name] {
				seen[t.Name] = true
				catalog.Types = append(catalog.Types, t)
			}
		}
	}
	return catalog, stored, err
}
