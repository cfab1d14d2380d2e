package config

import (
	"slices"

	"dunestand/internal/units"
)

// ObjectiveKind is what an objective is about. Kinds that are not known are ignored.
type ObjectiveKind string

// The kinds of objectives, as the settings name them.
const (
	// ObjectiveFinished: a job of the class completes within WithinS of its submission.
	ObjectiveFinished ObjectiveKind = "finished"
	// ObjectiveDeadline: a job of the class completes within Times its own deadline.
	ObjectiveDeadline ObjectiveKind = "deadline"
	// ObjectiveGuarantee: work within a guaranteed quota starts within WithinS.
	ObjectiveGuarantee ObjectiveKind = "guarantee"
	// ObjectiveWait: the tasks of a job of the class start within WithinS.
	ObjectiveWait ObjectiveKind = "wait"
)

// String returns the name in the settings.
func (k ObjectiveKind) String() string { return string(k) }

// CompletionObjectives lists when a job should be complete, from its submission, the earliest
// first: its own deadline and the multiples of it that the service-level objectives name,
// or what these say of its class. It is empty if nothing is said. A deadline of 0 is none.
func (f *Fleet) CompletionObjectives(class string, deadline units.Micros) []units.Micros {
	var dues []units.Micros
	for _, o := range f.Objectives {
		switch {
		case o.Class != class:
		case o.Kind == ObjectiveFinished && o.WithinS > 0:
			dues = append(dues, units.Seconds(o.WithinS))
		case o.Kind == ObjectiveDeadline && deadline > 0 && o.Times > 0:
			dues = append(dues, units.Micros(float64(deadline)*o.Times))
		}
	}
	if len(dues) == 0 && deadline > 0 {
		dues = append(dues, deadline)
	}
	slices.Sort(dues)
	return dues
}

// GuaranteedStartObjective is within what time work inside a guaranteed quota should start, 0 if
// nothing is said.
func (f *Fleet) GuaranteedStartObjective() units.Micros {
	return f.firstWithin(func(o Objective) bool { return o.Kind == ObjectiveGuarantee })
}

// StartObjective is within what time of its submission a job's tasks should start, 0 if nothing
// is said.
func (f *Fleet) StartObjective(class string) units.Micros {
	return f.firstWithin(func(o Objective) bool { return o.Kind == ObjectiveWait && o.Class == class })
}

// firstWithin returns the time of the first objective that matches, 0 if none does.
func (f *Fleet) firstWithin(matches func(Objective) bool) units.Micros {
	if i := slices.IndexFunc(f.Objectives, matches); i >= 0 {
		return units.Seconds(f.Objectives[i].WithinS)
	}
	return 0
}
