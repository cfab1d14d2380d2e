// Package sorted lists the keys of maps in a fixed order, so that the same state leads to the
// same decisions.
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
