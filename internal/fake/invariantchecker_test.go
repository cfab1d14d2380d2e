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
	testQuotaLimit    = 4 // processors
)

// twoTasks is a submitted job in the checkers of these tests, with two tasks of one
// processor.
const twoTasks = "j-1"

// The checker finds each kind of violation, and none in what is allowed.
func TestInvariantCheckerFindsPlantedViolations(t *testing.T) {
	a, b, c := &MachineInfo{ID: "i-1", Zone: "a"}, &MachineInfo{ID: "i-2", Zone: "a"}, &MachineInfo{ID: "i-3", Zone: "b"}
	accept := func(k *InvariantChecker) {
		k.ResponseReceived(twoTasks, false, http.StatusCreated, protocol.StagePending)
	}
	finish := func(k *InvariantChecker) {
		for index, m := range []*MachineInfo{a, b} {
			k.TaskStarted(twoTasks, index, m)
			k.TaskEnded(twoTasks, index, m.ID, true)
		}
		k.ResponseReceived(twoTasks, false, http.StatusOK, protocol.StageDone)
	}
	confirmCancel := func(k *InvariantChecker) {
		k.CancelRequested(twoTasks)
		k.ResponseReceived(twoTasks, false, http.StatusOK, protocol.StageCancelled)
	}
	for name, test := range map[string]struct {
		events func(k *InvariantChecker)
		want   string // names of the violated rules, in their order
	}{
		"done": {func(k *InvariantChecker) { accept(k); finish(k) }, ""},
		"rejected and failed before it is accepted": {func(k *InvariantChecker) {
			for _, status := range []int{0, http.StatusNotFound, http.StatusUnprocessableEntity, http.StatusServiceUnavailable} {
				k.ResponseReceived(twoTasks, false, status, "")
			}
		}, ""},
		"unavailable after it is accepted": {func(k *InvariantChecker) {
			accept(k)
			k.ResponseReceived(twoTasks, true, http.StatusServiceUnavailable, "")
		}, ""},
		"a job that nobody submitted": {func(k *InvariantChecker) {
			k.ResponseReceived("j-9", false, http.StatusOK, protocol.StageRunning)
		}, "invented"},
		"unknown after it is accepted": {func(k *InvariantChecker) {
			accept(k)
			k.ResponseReceived(twoTasks, false, http.StatusNotFound, "")
		}, "forgotten"},
		"a duplicate is invalid": {func(k *InvariantChecker) {
			accept(k)
			k.ResponseReceived(twoTasks, true, http.StatusUnprocessableEntity, "")
		}, "forgotten"},
		"unknown after it is done": {func(k *InvariantChecker) {
			accept(k)
			finish(k)
			k.ResponseReceived(twoTasks, false, http.StatusNotFound, "")
		}, "forgotten went_back"},
		"running after it is done": {func(k *InvariantChecker) {
			finish(k)
			k.ResponseReceived(twoTasks, false, http.StatusOK, protocol.StageRunning)
		}, "went_back"},
		"done before its tasks": {func(k *InvariantChecker) {
			k.ResponseReceived(twoTasks, false, http.StatusOK, protocol.StageDone)
		}, "not_done"},
		"cancelled without a request": {func(k *InvariantChecker) {
			k.ResponseReceived(twoTasks, false, http.StatusOK, protocol.StageCancelled)
		}, "went_back"},
		"a task on two machines": {func(k *InvariantChecker) {
			k.TaskStarted(twoTasks, 0, a)
			k.TaskStarted(twoTasks, 0, b)
		}, "ran_twice"},
		"a task again after it has ended": {func(k *InvariantChecker) {
			k.TaskStarted(twoTasks, 0, a)
			k.TaskEnded(twoTasks, 0, a.ID, false)
			k.TaskStarted(twoTasks, 0, b)
		}, ""},
		"over the quota limit": {func(k *InvariantChecker) {
			k.JobSubmitted(JobInfo{ID: "j-2", Tasks: 1, CPUs: testQuotaLimit})
			k.TaskStarted("j-2", 0, a)
			k.TaskStarted(twoTasks, 0, b)
		}, "quota"},
		"outside its zone": {func(k *InvariantChecker) {
			k.JobSubmitted(JobInfo{ID: "j-2", Tasks: 1, CPUs: 1, Zone: "b"})
			k.TaskStarted("j-2", 0, a)
		}, "wrong_place"},
		"zone affinity, two zones": {func(k *InvariantChecker) {
			k.JobSubmitted(JobInfo{ID: "j-2", Tasks: 2, CPUs: 1, ZoneAffinity: true})
			k.TaskStarted("j-2", 0, a)
			k.TaskStarted("j-2", 1, c)
		}, "wrong_place"},
		"zone spread, one zone": {func(k *InvariantChecker) {
			k.JobSubmitted(JobInfo{ID: "j-2", Tasks: 2, CPUs: 1, ZoneSpread: true})
			k.TaskStarted("j-2", 0, a)
			k.TaskStarted("j-2", 1, b)
		}, "wrong_place"},
		"runs until the timeout after a cancellation": {func(k *InvariantChecker) {
			k.TaskStarted(twoTasks, 0, a)
			confirmCancel(k)
			time.Sleep(testCancelTimeout)
			k.CheckCancellations()
		}, ""},
		"runs for longer after a cancellation": {func(k *InvariantChecker) {
			k.TaskStarted(twoTasks, 0, a)
			confirmCancel(k)
			time.Sleep(testCancelTimeout + time.Millisecond)
			k.CheckCancellations()
		}, "ran_cancelled"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				k := NewInvariantChecker(testQuotaLimit, testCancelTimeout)
				k.JobSubmitted(JobInfo{ID: twoTasks, Tasks: 2, CPUs: 1})
				test.events(k)
				var rules []string
				for _, violation := range k.Violations() {
					rule, _, _ := strings.Cut(violation, ":")
					rules = append(rules, rule)
				}
				if got := strings.Join(rules, " "); got != test.want {
					t.Errorf("%q, want %q", k.Violations(), test.want)
				}
			})
		})
	}
}
