package storage

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"dunestand/internal/protocol"
)

// The catalog grows with the instance types, so in the new format it is divided
// into records that each hold some of them.

// keyCatalogPart returns the key of a part of the catalog.
func keyCatalogPart(n int) string { return fmt.Sprintf("%s/%d", KeyCatalog, n) }

// Bounds of what a catalog takes beside the types as JSONSize counts them, in bytes.
const (
	catalogFrame = 16 // around the types
	typeOverhead = 32 // of a type: the names on the wire are a little longer
)

// CatalogChanges returns what is to be written so that the key-value store holds a
// catalog in a format: sets first, so that no type is missing meanwhile. stored holds the
// versions of what is there now, by key. valueBytes bounds a record in the new format, as
// bytes of JSON; a type that fits no record is left out.
func CatalogChanges(types []protocol.InstanceType, format Format, valueBytes int, stored map[string]uint64) []protocol.Change {
	if format == FormatOld {
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

// divideCatalog divides the types among records of a size, in their order. A type that fits
// no record is left out.
func divideCatalog(types []protocol.InstanceType, valueBytes int) [][]protocol.InstanceType {
	var parts [][]protocol.InstanceType
	var part []protocol.InstanceType
	size := catalogFrame
	for _, t := range types {
		add := JSONSize(t) + typeOverhead
		if catalogFrame+add > valueBytes {
			continue
		}
		if size+add > valueBytes {
			parts = append(parts, part)
			part, size = nil, catalogFrame
		}
		part = append(part, t)
		size += add
	}
	if len(part) > 0 {
		parts = append(parts, part)
	}
	return parts
}

// ParseCatalog decodes the records under the catalog's key, in either format, and returns
// their versions by key. A record that cannot be decoded is left out and reported as a
// *RecordError, the first of the keys if there are several.
func ParseCatalog(items []protocol.Item) (catalog protocol.Catalog, stored map[string]uint64, err error) {
	stored = map[string]uint64{}
	seen := map[string]bool{}
	for _, item := range slices.Backward(items) { // the old record, which comes first, may be older
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
