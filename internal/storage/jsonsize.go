package storage

import (
	"encoding/json"
	"unicode/utf8"
)

// maxEscapeOverhead is the largest number of bytes by which the JSON escapes of a non-ASCII
// character, a surrogate pair, are longer than its UTF-8 encoding.
const maxEscapeOverhead = 8

// JSONSize returns an upper bound for the size in bytes that the key-value store counts for a
// record. It is not exact because it is unspecified whether the store escapes non-ASCII characters.
// r must be a struct that JSON can represent; JSONSize panics otherwise.
func JSONSize(r any) int {
	raw, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	size := len(raw)
	for _, c := range string(raw) {
		if c >= utf8.RuneSelf {
			size += maxEscapeOverhead
		}
	}
	return size
}
