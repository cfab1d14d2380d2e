package federation

// TaskSet is a bit set of the tasks of a job by task index. Task 0 is the lowest bit of the
// first byte. Nil is the empty set.
type TaskSet []byte

// Union returns a new set of the tasks that are in s or other.
func (s TaskSet) Union(other TaskSet) TaskSet {
	out := make(TaskSet, max(len(s), len(other)))
	copy(out, s)
	for i, bits := range other {
		out[i] |= bits
	}
	return out
}

// ContainsAll reports whether every task of other is in the set.
func (s TaskSet) ContainsAll(other TaskSet) bool {
	for i, bits := range other {
		if bits != 0 && (i >= len(s) || s[i]&bits != bits) {
			return false
		}
	}
	return true
}

// Add adds the task with the given index.
func (s *TaskSet) Add(task int) {
	for len(*s) <= task/8 {
		*s = append(*s, 0)
	}
	(*s)[task/8] |= 1 << (task % 8)
}

// Has reports whether a task is in the set.
func (s TaskSet) Has(task int) bool { return task/8 < len(s) && s[task/8]&(1<<(task%8)) != 0 }
