package admission

import "encoding/binary"

// Band is the size band of a job: small or large. Within a class each band has its own share,
// so that neither starves the other.
type Band uint8

// The bands of a class.
const (
	BandSmall Band = iota
	BandLarge
	numBands = 2
)

// String returns "small" or "large".
func (b Band) String() string {
	if b == BandLarge {
		return "large"
	}
	return "small"
}

// Flow identifies a flow, the unit of admission: the jobs of one team, class, pool and band.
// Each flow has its own share of the capacity.
type Flow struct {
	Team  string
	Class string // "" in a restriction: all classes of the team without their own restriction
	Pool  Pool
	Band  Band
}

// teamKey identifies a team's entry in a plan.
type teamKey struct {
	Team string
	Pool Pool
}

// keyBufferSize is the size in bytes of a stack buffer for keys. Keys of names of usual length
// fit, so that a lookup does not allocate.
const keyBufferSize = 96

// appendName appends a length-prefixed name to a key. The prefix keeps keys of different names
// distinct.
func appendName(key []byte, name string) []byte {
	key = binary.AppendUvarint(key, uint64(len(name)))
	return append(key, name...)
}

// appendKey appends the key of the team's entry to buffer.
func (k teamKey) appendKey(buffer []byte) []byte {
	return append(appendName(buffer, k.Team), byte(k.Pool))
}

// appendKey appends the key of the flow's restriction to buffer.
func (f Flow) appendKey(buffer []byte) []byte {
	buffer = appendName(buffer, f.Team)
	buffer = append(buffer, byte(f.Pool), byte(f.Band))
	return appendName(buffer, f.Class)
}

// cutName splits a key into its first name, which appendName appended, and the rest.
func cutName(key []byte) (name string, rest []byte) {
	length, n := binary.Uvarint(key)
	end := n + int(length)
	return string(key[n:end]), key[end:]
}
