package cluster

import "iter"

// bitset is a set of task numbers. A job may have 100,000 tasks, and a leader
// thousands of jobs: a task that is not on a machine takes no more than a bit.
type bitset []byte

func newBitset(n int) bitset    { return make(bitset, (n+7)/8) }
func (b bitset) has(i int) bool { return b[i/8]&(1<<(i%8)) != 0 }
func (b bitset) add(i int)      { b[i/8] |= 1 << (i % 8) }
func (b bitset) remove(i int)   { b[i/8] &^= 1 << (i % 8) }

// addAll adds the members of a set of the same size.
func (b bitset) addAll(o bitset) {
	for i, x := range o {
		b[i] |= x
	}
}

// page returns the part of the set that holds the numbers of page p, each of so many.
func (b bitset) page(p, size int) []byte {
	return b[min(p*size/8, len(b)):min((p+1)*size/8, len(b))]
}

func (b bitset) empty() bool {
	for _, x := range b {
		if x != 0 {
			return false
		}
	}
	return true
}

// all yields the numbers in the set. Those that have been yielded may be removed meanwhile.
func (b bitset) all() iter.Seq[int] {
	return func(yield func(int) bool) {
		for k, x := range b {
			for i := 8 * k; x != 0; i++ {
				if x&1 != 0 && !yield(i) {
					return
				}
				x >>= 1
			}
		}
	}
}
