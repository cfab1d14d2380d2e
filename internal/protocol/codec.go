// Package protocol defines the messages that a controller exchanges: CBOR with users, workers,
// the cloud and the key-value store, FlatBuffers with other controllers. Names of fields on the
// wire are defined only here.
package protocol

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Limits of the decoder, so that a hostile message cannot cause deep recursion or large
// allocations.
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

// must returns v and panics on an error, which can only be a programming error: the options of the
// codec are constant, and all messages of this package can be encoded. Every test would fail on a
// mistake in the options.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Errors of Decode for bodies that hold no message.
var (
	ErrEmptyBody = errors.New("empty body")
	ErrNotMap    = errors.New("not a CBOR map")
)

// Raw is a value that stays CBOR-encoded.
type Raw = cbor.RawMessage

// Encode returns v as CBOR. It panics if the type of v cannot be encoded; all messages of this
// package can.
func Encode(v any) []byte { return must(encoder.Marshal(v)) }

// Decode decodes a CBOR map into the struct that v points to. It returns ErrEmptyBody, ErrNotMap
// or the wrapped error of the decoder.
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
