package cluster

import (
	"math/bits"

	"dunestand/internal/bitset"
)

// doneTasks is the set of a job's completed tasks. It tracks which completions are durable.
type doneTasks struct {
	set       bitset.Set
	count     int
	unwritten bitset.Set // done, but not in a write batch
	inFlight  bitset.Set // done, and in a write batch whose outcome is not known
}

func newDoneTasks(tasks int) doneTasks {
	return doneTasks{set: bitset.New(tasks), unwritten: bitset.New(tasks), inFlight: bitset.New(tasks)}
}

func (d *doneTasks) has(i int) bool       { return d.set.Has(i) }
func (d *doneTasks) isDurable(i int) bool { return !d.unwritten.Has(i) && !d.inFlight.Has(i) }

// add adds a task that is not in the set.
func (d *doneTasks) add(i int) {
	d.set.Add(i)
	d.count++
	d.unwritten.Add(i)
}

// recount sets count to the number of tasks in the set, after they were decoded from records.
func (d *doneTasks) recount() {
	d.count = 0
	for _, b := range d.set {
		d.count += bits.OnesCount8(b)
	}
}

// moveToInFlight moves the unwritten tasks whose pages are no longer dirty to those in flight: a
// write batch now contains these pages.
func (d *doneTasks) moveToInFlight(records *jobRecords) {
	for i := range d.unwritten.All() {
		if !records.pageOf(i).dirty {
			d.inFlight.Add(i)
			d.unwritten.Remove(i)
		}
	}
}

// committed records that the write batch in flight was committed.
func (d *doneTasks) committed() { clear(d.inFlight) }

// aborted records that the write batch in flight was not committed.
func (d *doneTasks) aborted() {
	d.unwritten.AddAll(d.inFlight)
	clear(d.inFlight)
}
