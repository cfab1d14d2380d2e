package cluster

import "math/bits"

// doneTasks is the set of a job's completed tasks, and how far it is durable.
type doneTasks struct {
	set       bitset
	count     int
	unwritten bitset // done, but in no write batch yet
	inFlight  bitset // done, and in a write batch whose outcome is not known
}

func newDoneTasks(tasks int) doneTasks {
	return doneTasks{set: newBitset(tasks), unwritten: newBitset(tasks), inFlight: newBitset(tasks)}
}

func (d *doneTasks) has(i int) bool       { return d.set.has(i) }
func (d *doneTasks) isDurable(i int) bool { return !d.unwritten.has(i) && !d.inFlight.has(i) }

// add notes that a task is done which was not.
func (d *doneTasks) add(i int) {
	d.set.add(i)
	d.count++
	d.unwritten.add(i)
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
	for i := range d.unwritten.all() {
		if !records.pageOf(i).dirty {
			d.inFlight.add(i)
			d.unwritten.remove(i)
		}
	}
}

// committed notes that the write batch in flight was carried out.
func (d *doneTasks) committed() { clear(d.inFlight) }

// refused notes that the write batch in flight was not carried out.
func (d *doneTasks) refused() {
	d.unwritten.addAll(d.inFlight)
	clear(d.inFlight)
}
