// Package bitset implements sets of small integers with one bit per possible member.
package bitset

import "iter"

// Set is a set of task numbers. A job may have 100,000 tasks and a leader may have thousands of
// jobs, so a task that is not on a machine must not take more than a bit. The arguments of its
// methods must be within the range given to New. A Set is not safe for concurrent use.
type Set []byte

// New returns an empty set for the numbers from 0 to n-1.
func New(n int) Set { return make(Set, (n+7)/8) }

// Has reports whether i is in the set.
func (b Set) Has(i int) bool { return b[i/8]&(1<<(i%8)) != 0 }

// Add adds i to the set.
func (b Set) Add(i int) { b[i/8] |= 1 << (i % 8) }

// Remove removes i from the set.
func (b Set) Remove(i int) { b[i/8] &^= 1 << (i % 8) }

// AddAll adds the members of o, which must not be larger than b.
func (b Set) AddAll(o Set) {
	for i, x := range o {
		b[i] |= x
	}
}

// Page returns the bytes that hold the numbers from p*size to (p+1)*size-1, fewer at the end of
// the set. size must be a multiple of 8. The bytes are shared with the set.
func (b Set) Page(p, size int) []byte {
	return b[min(p*size/8, len(b)):min((p+1)*size/8, len(b))]
}

// Empty reports whether the set has no members.
func (b Set) Empty() bool {
	for _, x := range b {
		if x != 0 {
			return false
		}
	}
	return true
}

// All yields the members of the set in ascending order. Members that have been yielded may be
// removed during the iteration.
func (b Set) All() iter.Seq[int] {
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
