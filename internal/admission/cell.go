package admission

import "encoding/binary"

// Band divides a class's jobs by their work, so that neither small jobs nor large ones
// starve the others.
type Band uint8

// The bands.
const (
	Small Band = iota
	Large
	numBands = 2
)

func (b Band) String() string {
	if b == Large {
		return "large"
	}
	return "small"
}

// Cell is a group of jobs with a share of its own.
type Cell struct {
	Team  string
	Class string // "": all classes that have no cell of their own
	Pool  Pool
	Band  Band
}

// teamKey identifies a team in a pool.
type teamKey struct {
	Team string
	Pool Pool
}

// keyBuffer is room for usual names without allocating.
const keyBuffer = 96

// appendName adds a name to a key so that no other names give the same key.
func appendName(key []byte, name string) []byte {
	key = binary.AppendUvarint(key, uint64(len(name)))
	return append(key, name...)
}

func (k teamKey) appendKey(buffer []byte) []byte {
	return append(appendName(buffer, k.Team), byte(k.Pool))
}

func (c Cell) appendKey(buffer []byte) []byte {
	buffer = appendName(buffer, c.Team)
	buffer = append(buffer, byte(c.Pool), byte(c.Band))
	return appendName(buffer, c.Class)
}

// cutName takes a name off a key that appendName made.
func cutName(key []byte) (name string, rest []byte) {
	length, n := binary.Uvarint(key)
	end := n + int(length)
	return string(key[n:end]), key[end:]
}
