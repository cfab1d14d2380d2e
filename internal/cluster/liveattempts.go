package cluster

import "iter"

// LiveAttempts are the attempts of a job that may be on machines, by task. A task has one
// mostly, and several where heartbeats show it on more than one machine: a copy of an old
// heartbeat shows what was there once. The map holds the attempt of a task with the highest
// number, the latest one; the others are chained to it.
type LiveAttempts map[int]*Attempt

// All yields all attempts, in no order. An attempt may be removed while it is yielded.
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

// Of yields the attempts of a task, the latest first. An attempt may be removed while it is
// yielded.
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

// remove removes an attempt and reports whether it was the last one of its task.
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
