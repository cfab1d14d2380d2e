// Package sorted lists the keys of maps in ascending order, so that decisions on the same state
// do not depend on the iteration order of maps.
package sorted

import "slices"

// Keys returns the keys of a map in ascending order.
func Keys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
