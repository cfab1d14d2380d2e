package cluster

import (
	"math/bits"

	"dunestand/internal/bitset"
)

// doneTasks is the set of a job's completed tasks, and how far it is durable.
type doneTasks struct {
	set       bitset.Set
	count     int
	unwritten bitset.Set // done, but in no write batch yet
	inFlight  bitset.Set // done, and in a write batch whose outcome is not known
}

func newDoneTasks(tasks int) doneTasks {
	return doneTasks{set: bitset.New(tasks), unwritten: bitset.New(tasks), inFlight: bitset.New(tasks)}
}

func (d *doneTasks) has(i int) bool       { return d.set.Has(i) }
func (d *doneTasks) isDurable(i int) bool { return !d.unwritten.Has(i) && !d.inFlight.Has(i) }

// add notes that a task is done which was not.
func (d *doneTasks) add(i int) {
	d.set.Add(i)
	d.count++
	d.unwritten.Add(i)
}

// recount counts the tasks that were read from the records.
func (d *doneTasks) recount() {
	d.count = 0
	for _, b := range d.set {
		d.count += bits.OnesCount8(b)
	}
}

// sent moves the tasks whose records are in a write batch now to those in flight: the ones
// on pages that are not dirty any more.
func (d *doneTasks) sent(records *jobRecords) {
	for i := range d.unwritten.All() {
		if !records.pageOf(i).dirty {
			d.inFlight.Add(i)
			d.unwritten.Remove(i)
		}
	}
}

// committed notes that the write batch in flight was carried out.
func (d *doneTasks) committed() { clear(d.inFlight) }

// refused notes that the write batch in flight was not carried out.
func (d *doneTasks) refused() {
	d.unwritten.AddAll(d.inFlight)
	clear(d.inFlight)
}
