package storage

import (
	"encoding/json"
	"unicode/utf8"
)

// JSONSize is the size in bytes of a record as the key-value store counts it, at most: how the
// store writes what is not ASCII is not specified.
func JSONSize(r any) int {
	raw, err := json.Marshal(r)
	if err != nil {
		panic(err) // a struct of texts and numbers
	}
	size := len(raw)
	for _, c := range string(raw) {
		if c >= utf8.RuneSelf {
			size += 8 // as a pair of escapes
		}
	}
	return size
}
