// Package protocol holds every message that leaves or enters the process:
// CBOR towards users, workers, the cloud and the key-value store, FlatBuffers
// between controllers. The names on the wire stay in this package.
package protocol

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// The decoder's bounds keep hostile nesting and declared lengths cheap.
const (
	maxNesting  = 12
	maxElements = 128 << 10
)

var (
	encoder = must(cbor.EncOptions{}.EncMode())
	decoder = must(cbor.DecOptions{
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		UTF8:             cbor.UTF8RejectInvalid,
	}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // constant options: a mistake here fails every test
	}
	return v
}

// Bodies that are no message at all.
var (
	ErrEmptyBody = errors.New("empty body")
	ErrNotMap    = errors.New("not a CBOR map")
)

// Raw is an encoded value that is passed on as it is.
type Raw = cbor.RawMessage

// Encode returns a message as CBOR. The messages of this package always can be encoded.
func Encode(v any) []byte { return must(encoder.Marshal(v)) }

// Decode reads a CBOR map into the struct that v points to.
func Decode(data []byte, v any) error {
	if len(data) == 0 {
		return ErrEmptyBody
	}
	if data[0]>>5 != 5 {
		return ErrNotMap
	}
	if err := decoder.Unmarshal(data, v); err != nil {
		return fmt.Errorf("not valid: %w", err)
	}
	return nil
}
