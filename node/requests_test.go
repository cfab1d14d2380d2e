package node

import (
	"fmt"
	"maps"
	"net/http"
	"testing"
	"time"

	"dunestand/internal/protocol"
)

// A duplicate submission of an unfinished job gets the state of the known job, even if its
// contents differ or lack a field. Cancelling a finished job reports it as done. A submission that
// fits no machine or lacks a field is rejected. All controllers respond alike; without a leader
// the statuses may differ, but no invalid submission is accepted.
func TestDuplicateAndInvalidRequestsGetTheirStatus(t *testing.T) {
	simulate(t, deploymentOptions{}, func(d *deployment) {
		unfinished, finished := d.newJob(3, 60*time.Second), d.newJob(1, time.Second)
		d.submit(unfinished)
		d.submit(finished)
		d.waitUntil("the job is done", func() bool { return d.invariants.LastStage(finished.ID) == protocol.StageDone })
		check := func(when string, leaderless bool) {
			for controller := range d.controllers {
				for i, fields := range duplicatesOf(submissionOf(unfinished)) {
					if status := d.submitOnce(controller, unfinished.ID, true, fields); status != http.StatusOK && !leaderless {
						t.Errorf("%s, %s: duplicate %d gets status %d", when, d.controllers[controller].name, i, status)
					}
				}
				if status, stage := d.cancelOnce(controller, finished.ID); !leaderless && (status != http.StatusOK || stage != protocol.StageDone) {
					t.Errorf("%s, %s: cancelling a job that is done: status %d, %s", when, d.controllers[controller].name, status, stage)
				}
				if r := d.request(controller, http.MethodPost, cancelPath("j-999999"), nil); !leaderless && r.status != http.StatusNotFound {
					t.Errorf("%s, %s: cancelling an unknown job: status %d", when, d.controllers[controller].name, r.status)
				}
				for i, invalid := range invalidSubmissions {
					fields := submission(fmt.Sprintf("j-8%02d%02d", controller, i), 1)
					invalid.change(fields)
					r := d.request(controller, http.MethodPost, protocol.PathSubmit, fields)
					if r.accepted() || !leaderless && r.status != invalid.status {
						t.Errorf("%s, %s: %s: status %d", when, d.controllers[controller].name, invalid.name, r.status)
					}
				}
			}
		}
		check("with a leader", false)
		d.setKVRejection(d.leader(), true)
		d.sleep(2 * time.Second)
		check("without a leader", true)
	})
}

// duplicatesOf returns three submissions of the same job: the original, one with other contents
// and one without a field.
func duplicatesOf(fields map[string]any) []map[string]any {
	changed, incomplete := maps.Clone(fields), maps.Clone(fields)
	changed[protocol.FieldTasks], changed[protocol.FieldTeam] = 7, "nobody"
	delete(incomplete, protocol.FieldCPUs)
	return []map[string]any{fields, changed, incomplete}
}

// invalidSubmissions are changes that make a valid submission invalid, with the status that it
// then gets.
var invalidSubmissions = []struct {
	name   string
	change func(map[string]any)
	status int
}{
	{"larger than any machine", func(f map[string]any) { f[protocol.FieldCPUs] = 64.0 }, http.StatusUnprocessableEntity},
	{"unknown instance type", func(f map[string]any) { f[protocol.FieldInstanceTypes] = []string{"none"} }, http.StatusUnprocessableEntity},
	{"unknown zone", func(f map[string]any) { f[protocol.FieldZone] = "nowhere" }, http.StatusUnprocessableEntity},
	{"unknown team", func(f map[string]any) { f[protocol.FieldTeam] = "nobody" }, http.StatusUnprocessableEntity},
	{"no tasks", func(f map[string]any) { delete(f, protocol.FieldTasks) }, http.StatusBadRequest},
	{"no priority", func(f map[string]any) { delete(f, protocol.FieldPriority) }, http.StatusBadRequest},
	{"no zone affinity", func(f map[string]any) { delete(f, protocol.FieldZoneAffinity) }, http.StatusBadRequest},
	{"no memory", func(f map[string]any) { delete(f, protocol.FieldMemoryGB) }, http.StatusBadRequest},
}
