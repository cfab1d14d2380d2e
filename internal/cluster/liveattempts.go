package cluster

import "iter"

// LiveAttempts are the attempts of a job that may be on machines, by task index. A task usually
// has one. It has several if heartbeats list it on more than one machine, which a delayed
// duplicate of a heartbeat can cause. The map contains the latest attempt of each task, which is
// the one with the highest number; the others are linked from it in descending order.
type LiveAttempts map[int]*Attempt

// All returns an iterator over all attempts, in no order. The loop body may remove the current
// attempt.
func (l LiveAttempts) All() iter.Seq[*Attempt] {
	return func(yield func(*Attempt) bool) {
		for task := range l {
			for a := range l.Of(task) {
				if !yield(a) {
					return
				}
			}
		}
	}
}

// Of returns an iterator over the attempts of a task, the latest first. The loop body may
// remove the current attempt.
func (l LiveAttempts) Of(task int) iter.Seq[*Attempt] {
	return func(yield func(*Attempt) bool) {
		for a := l[task]; a != nil; {
			earlier := a.earlier
			if !yield(a) {
				return
			}
			a = earlier
		}
	}
}

// add adds an attempt and reports whether it is the only one of its task.
func (l LiveAttempts) add(a *Attempt) bool {
	latest := l[a.Index]
	if latest == nil || latest.Number < a.Number {
		a.earlier = latest
		l[a.Index] = a
		return latest == nil
	}
	before := latest
	for before.earlier != nil && before.earlier.Number >= a.Number {
		before = before.earlier
	}
	a.earlier, before.earlier = before.earlier, a
	return false
}

// remove removes an attempt and reports whether it was the only one of its task.
func (l LiveAttempts) remove(a *Attempt) bool {
	if l[a.Index] != a {
		for other := range l.Of(a.Index) {
			if other.earlier == a {
				other.earlier = a.earlier
			}
		}
		return false
	}
	if a.earlier == nil {
		delete(l, a.Index)
		return true
	}
	l[a.Index] = a.earlier
	return false
}
