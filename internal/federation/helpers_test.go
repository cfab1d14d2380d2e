package federation

import (
	"iter"
	"maps"
)

func keysOf[K comparable, V any](m map[K]V) iter.Seq[K] { return maps.Keys(m) }
