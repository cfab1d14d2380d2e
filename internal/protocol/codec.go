// Package protocol holds every message that leaves or enters the process:
// CBOR towards users, workers, the cloud and the state service, FlatBuffers
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

// Raw is a value that is passed on undecoded.
type Raw = cbor.RawMessage

// Encode writes a message. The messages of this package always can be.
func Encode(v any) []byte { return must(encoder.Marshal(v)) }

// Decode reads a message; v points to a struct.
func Decode(data []byte, v any) error {
	if len(data) == 0 {
		return errors.New("empty body")
	}
	if data[0]>>5 != 5 {
		return errors.New("not a CBOR map")
	}
	if err := decoder.Unmarshal(data, v); err != nil {
		return fmt.Errorf("not valid: %w", err)
	}
	return nil
}
