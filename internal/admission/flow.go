package admission

import "encoding/binary"

// Band is the size class of a job. Small and large jobs of a class have shares of their own,
// so that neither starve the others.
type Band uint8

// The bands.
const (
	Small Band = iota
	Large
	numBands = 2
)

// String returns "small" or "large".
func (b Band) String() string {
	if b == Large {
		return "large"
	}
	return "small"
}

// Cell is a group of jobs with a share of its own: those of one team, class, pool and band. It
// has nothing to do with the flows of a federation.
type Cell struct {
	Team  string
	Class string // "": all classes of the team without a restriction of their own
	Pool  Pool
	Band  Band
}

// teamKey identifies a team's entry in a plan.
type teamKey struct {
	Team string
	Pool Pool
}

// keyBuffer is the size in bytes of a buffer on the stack for the keys of names of usual
// length, so that a lookup does not allocate.
const keyBuffer = 96

// appendName appends a name to a key with its length first, so that different names never give
// the same key.
func appendName(key []byte, name string) []byte {
	key = binary.AppendUvarint(key, uint64(len(name)))
	return append(key, name...)
}

// appendKey appends the key of a team's entry to buffer.
func (k teamKey) appendKey(buffer []byte) []byte {
	return append(appendName(buffer, k.Team), byte(k.Pool))
}

// appendKey appends the key of a flow's restriction to buffer.
func (c Cell) appendKey(buffer []byte) []byte {
	buffer = appendName(buffer, c.Team)
	buffer = append(buffer, byte(c.Pool), byte(c.Band))
	return appendName(buffer, c.Class)
}

// cutName splits off a name that appendName appended.
func cutName(key []byte) (name string, rest []byte) {
	length, n := binary.Uvarint(key)
	end := n + int(length)
	return string(key[n:end]), key[end:]
}
