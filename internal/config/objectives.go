package config

import (
	"slices"

	"dunestand/internal/units"
)

// ObjectiveKind is the kind of a service-level objective, by its name in the settings. Unknown
// kinds are ignored.
type ObjectiveKind string

// Kinds of objectives.
const (
	// ObjectiveFinished requires a job of the class to complete within WithinS of its submission.
	ObjectiveFinished ObjectiveKind = "finished"
	// ObjectiveDeadline requires a job of the class to complete within Times its own deadline.
	ObjectiveDeadline ObjectiveKind = "deadline"
	// ObjectiveGuarantee requires tasks within a guaranteed quota to start within WithinS.
	ObjectiveGuarantee ObjectiveKind = "guarantee"
	// ObjectiveWait requires the tasks of a job of the class to start within WithinS of its
	// submission.
	ObjectiveWait ObjectiveKind = "wait"
)

// String returns the name of the kind in the settings.
func (k ObjectiveKind) String() string { return string(k) }

// CompletionObjectives returns the times within which a job should complete, counted from its
// submission, in ascending order. They follow from the objectives of the job's class; without
// any, the only one is the job's own deadline. A deadline of 0 means that the job has none.
func (f *Fleet) CompletionObjectives(class string, deadline units.Micros) []units.Micros {
	var targets []units.Micros
	for _, o := range f.Objectives {
		switch {
		case o.Class != class:
		case o.Kind == ObjectiveFinished && o.WithinS > 0:
			targets = append(targets, units.Seconds(o.WithinS))
		case o.Kind == ObjectiveDeadline && deadline > 0 && o.Times > 0:
			targets = append(targets, units.Micros(float64(deadline)*o.Times))
		}
	}
	if len(targets) == 0 && deadline > 0 {
		targets = append(targets, deadline)
	}
	slices.Sort(targets)
	return targets
}

// GuaranteedStartObjective returns the time within which tasks within a guaranteed quota should
// start, or 0 without such an objective.
func (f *Fleet) GuaranteedStartObjective() units.Micros {
	return f.firstTimeLimit(func(o Objective) bool { return o.Kind == ObjectiveGuarantee })
}

// StartObjective returns the time from a job's submission within which its tasks should start,
// or 0 if its class has no such objective.
func (f *Fleet) StartObjective(class string) units.Micros {
	return f.firstTimeLimit(func(o Objective) bool { return o.Kind == ObjectiveWait && o.Class == class })
}

// firstTimeLimit returns WithinS of the first objective that matches, or 0 if none does.
func (f *Fleet) firstTimeLimit(matches func(Objective) bool) units.Micros {
	if i := slices.IndexFunc(f.Objectives, matches); i >= 0 {
		return units.Seconds(f.Objectives[i].WithinS)
	}
	return 0
}
