package fake

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"dunestand/internal/protocol"
)

const (
	testCancelTimeout = 10 * time.Second
	testQuotaLimit    = 4 // CPUs
)

// twoTasks is the ID of a job with two tasks of one CPU each, which each case finds
// submitted.
const twoTasks = "j-1"

// The checker reports each kind of violation, and none for an allowed sequence of events.
func TestInvariantCheckerReportsEachKindOfViolation(t *testing.T) {
	a, b, c := &MachineInfo{ID: "i-1", Zone: "a"}, &MachineInfo{ID: "i-2", Zone: "a"}, &MachineInfo{ID: "i-3", Zone: "b"}
	accept := func(checker *InvariantChecker) {
		checker.ResponseReceived(twoTasks, false, http.StatusCreated, protocol.StagePending)
	}
	finish := func(checker *InvariantChecker) {
		for index, m := range []*MachineInfo{a, b} {
			checker.TaskStarted(twoTasks, index, m)
			checker.TaskEnded(twoTasks, index, m.ID, true)
		}
		checker.ResponseReceived(twoTasks, false, http.StatusOK, protocol.StageDone)
	}
	confirmCancel := func(checker *InvariantChecker) {
		checker.CancelRequested(twoTasks)
		checker.ResponseReceived(twoTasks, false, http.StatusOK, protocol.StageCancelled)
	}
	for name, test := range map[string]struct {
		events func(checker *InvariantChecker)
		want   string // names of the violated rules, in the order of detection
	}{
		"done": {func(checker *InvariantChecker) { accept(checker); finish(checker) }, ""},
		"rejected and failed before it is accepted": {func(checker *InvariantChecker) {
			for _, status := range []int{0, http.StatusNotFound, http.StatusUnprocessableEntity, http.StatusServiceUnavailable} {
				checker.ResponseReceived(twoTasks, false, status, "")
			}
		}, ""},
		"unavailable after it is accepted": {func(checker *InvariantChecker) {
			accept(checker)
			checker.ResponseReceived(twoTasks, true, http.StatusServiceUnavailable, "")
		}, ""},
		"job that was never submitted": {func(checker *InvariantChecker) {
			checker.ResponseReceived("j-9", false, http.StatusOK, protocol.StageRunning)
		}, "invented"},
		"unknown after it is accepted": {func(checker *InvariantChecker) {
			accept(checker)
			checker.ResponseReceived(twoTasks, false, http.StatusNotFound, "")
		}, "forgotten"},
		"duplicate rejected as invalid": {func(checker *InvariantChecker) {
			accept(checker)
			checker.ResponseReceived(twoTasks, true, http.StatusUnprocessableEntity, "")
		}, "forgotten"},
		"unknown after it is done": {func(checker *InvariantChecker) {
			accept(checker)
			finish(checker)
			checker.ResponseReceived(twoTasks, false, http.StatusNotFound, "")
		}, "forgotten went_back"},
		"running after it is done": {func(checker *InvariantChecker) {
			finish(checker)
			checker.ResponseReceived(twoTasks, false, http.StatusOK, protocol.StageRunning)
		}, "went_back"},
		"done before its tasks": {func(checker *InvariantChecker) {
			checker.ResponseReceived(twoTasks, false, http.StatusOK, protocol.StageDone)
		}, "not_done"},
		"cancelled without a request": {func(checker *InvariantChecker) {
			checker.ResponseReceived(twoTasks, false, http.StatusOK, protocol.StageCancelled)
		}, "went_back"},
		"task on two machines": {func(checker *InvariantChecker) {
			checker.TaskStarted(twoTasks, 0, a)
			checker.TaskStarted(twoTasks, 0, b)
		}, "ran_twice"},
		"task restarted after it ended": {func(checker *InvariantChecker) {
			checker.TaskStarted(twoTasks, 0, a)
			checker.TaskEnded(twoTasks, 0, a.ID, false)
			checker.TaskStarted(twoTasks, 0, b)
		}, ""},
		"over the quota limit": {func(checker *InvariantChecker) {
			checker.JobSubmitted(JobInfo{ID: "j-2", Tasks: 1, CPUs: testQuotaLimit})
			checker.TaskStarted("j-2", 0, a)
			checker.TaskStarted(twoTasks, 0, b)
		}, "quota"},
		"outside its zone": {func(checker *InvariantChecker) {
			checker.JobSubmitted(JobInfo{ID: "j-2", Tasks: 1, CPUs: 1, Zone: "b"})
			checker.TaskStarted("j-2", 0, a)
		}, "wrong_place"},
		"zone affinity, two zones": {func(checker *InvariantChecker) {
			checker.JobSubmitted(JobInfo{ID: "j-2", Tasks: 2, CPUs: 1, ZoneAffinity: true})
			checker.TaskStarted("j-2", 0, a)
			checker.TaskStarted("j-2", 1, c)
		}, "wrong_place"},
		"zone spread, one zone": {func(checker *InvariantChecker) {
			checker.JobSubmitted(JobInfo{ID: "j-2", Tasks: 2, CPUs: 1, ZoneSpread: true})
			checker.TaskStarted("j-2", 0, a)
			checker.TaskStarted("j-2", 1, b)
		}, "wrong_place"},
		"runs until the cancel timeout": {func(checker *InvariantChecker) {
			checker.TaskStarted(twoTasks, 0, a)
			confirmCancel(checker)
			time.Sleep(testCancelTimeout)
			checker.CheckCancellations()
		}, ""},
		"attempts of a task": {func(checker *InvariantChecker) {
			checker.AttemptStarted(twoTasks, 0, 7)
			checker.AttemptStarted(twoTasks, 1, 7)
			checker.AttemptStarted(twoTasks, 0, 8)
		}, ""},
		"attempt started a second time": {func(checker *InvariantChecker) {
			checker.AttemptStarted(twoTasks, 0, 7)
			checker.AttemptStarted(twoTasks, 0, 7)
		}, "started_again"},
		"runs beyond the cancel timeout": {func(checker *InvariantChecker) {
			checker.TaskStarted(twoTasks, 0, a)
			confirmCancel(checker)
			time.Sleep(testCancelTimeout + time.Millisecond)
			checker.CheckCancellations()
		}, "ran_cancelled"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				checker := NewInvariantChecker(testQuotaLimit, testCancelTimeout)
				checker.JobSubmitted(JobInfo{ID: twoTasks, Tasks: 2, CPUs: 1})
				test.events(checker)
				var rules []string
				for _, violation := range checker.Violations() {
					rule, _, _ := strings.Cut(violation, ":")
					rules = append(rules, rule)
				}
				if got := strings.Join(rules, " "); got != test.want {
					t.Errorf("%q, want %q", checker.Violations(), test.want)
				}
			})
		})
	}
}
