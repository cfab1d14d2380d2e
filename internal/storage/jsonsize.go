package storage

import (
	"encoding/json"
	"unicode/utf8"
)

// escapeBytes is what a character beyond ASCII takes more, at most, as a pair of escapes in
// place of its UTF-8 bytes.
const escapeBytes = 8

// JSONSize returns the size in bytes of a record as the key-value store counts it, at most: how
// the store writes what is not ASCII is not specified. The record is a struct of texts and
// numbers; it panics on what JSON cannot hold.
func JSONSize(r any) int {
	raw, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	size := len(raw)
	for _, c := range string(raw) {
		if c >= utf8.RuneSelf {
			size += escapeBytes
		}
	}
	return size
}
