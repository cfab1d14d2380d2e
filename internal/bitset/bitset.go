// Package bitset holds sets of small numbers, one bit for each number that may be in a set.
package bitset

import "iter"

// Set is a set of task numbers. A job may have 100,000 tasks, and a leader
// thousands of jobs: a task that is not on a machine takes no more than a bit.
type Set []byte

// New returns an empty set of the numbers from 0 to n-1.
func New(n int) Set { return make(Set, (n+7)/8) }

// Has reports whether a number is in the set.
func (b Set) Has(i int) bool { return b[i/8]&(1<<(i%8)) != 0 }

// Add puts a number into the set.
func (b Set) Add(i int) { b[i/8] |= 1 << (i % 8) }

// Remove takes a number out of the set.
func (b Set) Remove(i int) { b[i/8] &^= 1 << (i % 8) }

// AddAll adds the members of a set of the same size.
func (b Set) AddAll(o Set) {
	for i, x := range o {
		b[i] |= x
	}
}

// Page returns the part of the set that holds the numbers of page p, each of so many.
func (b Set) Page(p, size int) []byte {
	return b[min(p*size/8, len(b)):min((p+1)*size/8, len(b))]
}

// Empty reports whether no number is in the set.
func (b Set) Empty() bool {
	for _, x := range b {
		if x != 0 {
			return false
		}
	}
	return true
}

// All yields the numbers in the set. Those that have been yielded may be removed meanwhile.
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
