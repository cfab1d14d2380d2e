package storage

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"dunestand/internal/protocol"
)

// The catalog grows with the machine types, so in the new form it is divided
// into records that each hold some of them.

// keyCatalogPart is the key of a part of the catalog.
func keyCatalogPart(n int) string { return fmt.Sprintf("%s/%d", KeyCatalog, n) }

// CatalogChanges gives what is to be written so that the state service holds a
// catalog in a format: sets first, so that no type is missing meanwhile. stored
// tells what it holds now, by key. A type that fits no record is left out.
func CatalogChanges(types []protocol.InstanceType, format, valueBytes int, stored map[string]uint64) []protocol.Change {
	if format == FormatOld {
		return []protocol.Change{{Set: KeyCatalog, Value: protocol.Encode(protocol.Catalog{Types: types})}}
	}
	var out []protocol.Change
	kept := map[string]bool{}
	var part []protocol.InstanceType
	flush := func() {
		if len(part) > 0 {
			key := keyCatalogPart(len(out))
			kept[key] = true
			out = append(out, protocol.Change{
				Set:   key,
				Value: protocol.Encode(protocol.Catalog{Types: part}),
			})
			part = nil
		}
	}
	const frame = 16 // what is around the types
	size := frame
	for _, t := range types {
		add := JSONSize(t) + 32 // the names on the wire are a little longer
		if frame+add > valueBytes {
			continue
		}
		if size+add > valueBytes {
			flush()
			size = frame
		}
		part = append(part, t)
		size += add
	}
	flush()
	for _, key := range slices.Sorted(maps.Keys(stored)) {
		if !kept[key] {
			out = append(out, protocol.Change{Delete: key})
		}
	}
	return out
}

// ParseCatalog reads the rows under the catalog's key, in either form, and gives
// their versions. What cannot be read is left out and told as an error.
func ParseCatalog(rows []protocol.Item) (catalog protocol.Catalog, stored map[string]uint64, err error) {
	stored = map[string]uint64{}
	seen := map[string]bool{}
	for _, row := range slices.Backward(rows) { // the old record, which comes first, may be older
		if row.Key != KeyCatalog && !strings.HasPrefix(row.Key, KeyCatalog+"/") {
			continue
		}
		stored[row.Key] = row.Version
		var c protocol.Catalog
		if e := protocol.Decode(row.Value, &c); e != nil {
			err = fmt.Errorf("record %s: %w", row.Key, e)
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
