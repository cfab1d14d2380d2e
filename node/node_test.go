package node

import (
	"net/http"
	"strings"
	"testing"

	"dunestand/internal/fake"
	"dunestand/internal/protocol"
)

// submission returns a submission of the only team, with two CPUs per task.
func submission(id string, tasks int) map[string]any {
	job := fake.Submission(id, "team", "q", tasks, 1)
	job[protocol.FieldCPUs] = 2.0
	return job
}

// Jobs that any controller accepted complete although the leader stops, and the remaining
// controllers know every job.
func TestJobsSurviveLeaderFailover(t *testing.T) {
	c := newDefaultCluster(t)
	accepted := response.accepted
	done := func(r response) bool { return r.status == http.StatusOK && r.job().Stage == protocol.StageDone }
	unknown := func(r response) bool { return r.status == http.StatusNotFound }
	all := []int{0, 1, 2}
	for _, id := range []string{"j-000001", "j-000002"} {
		c.requestUntil(t, "submit", all, http.MethodPost, protocol.PathSubmit, submission(id, 8), accepted)
	}
	c.requestUntil(t, "first job", all, http.MethodGet, jobPath("j-000001"), nil, done)
	leader := c.leader()
	c.requestUntil(t, "submit before the failover", all, http.MethodPost, protocol.PathSubmit, submission("j-000003", 8), accepted)
	c.stop(leader)
	rest := []int{(leader + 1) % 3, (leader + 2) % 3}
	for _, id := range []string{"j-000001", "j-000002", "j-000003"} {
		c.requestUntil(t, "job after failover", rest, http.MethodGet, jobPath(id), nil, done)
		c.requestUntil(t, "duplicate submission", rest, http.MethodPost, protocol.PathSubmit, submission(id, 3), done)
	}
	c.requestUntil(t, "unknown job", rest, http.MethodGet, jobPath("j-999999"), nil, unknown)
	c.requestUntil(t, "cancel of a finished job", rest, http.MethodPost, cancelPath("j-000001"), nil, done)
}

// Every controller rejects an invalid submission with the status for its error, and nothing is
// stored.
func TestInvalidSubmissionsAreRejected(t *testing.T) {
	c := newDefaultCluster(t)
	all := []int{0, 1, 2}
	with := func(change func(map[string]any)) map[string]any {
		s := submission("j-000009", 1)
		change(s)
		return s
	}
	cases := []struct {
		name   string
		body   any
		status int
	}{
		{"not a map", []int{1}, http.StatusBadRequest},
		{"empty map", map[string]any{}, http.StatusBadRequest},
		{"unknown job kind", with(func(s map[string]any) { s[protocol.FieldJobKind] = "ring" }), http.StatusBadRequest},
		{"tasks as text", with(func(s map[string]any) { s[protocol.FieldTasks] = "4" }), http.StatusBadRequest},
		{"over 64 KiB", with(func(s map[string]any) { s[protocol.FieldImage] = strings.Repeat("x", 70<<10) }), http.StatusBadRequest},
		{"unknown team", with(func(s map[string]any) { s[protocol.FieldTeam] = "nobody" }), http.StatusUnprocessableEntity},
		{"fits no machine", with(func(s map[string]any) { s[protocol.FieldCPUs] = 5.0 }), http.StatusUnprocessableEntity},
		{"over the limit", with(func(s map[string]any) { s[protocol.FieldCPUs] = 13.0 }), http.StatusUnprocessableEntity},
		{"unknown type", with(func(s map[string]any) { s[protocol.FieldInstanceTypes] = []string{"none"} }), http.StatusUnprocessableEntity},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			c.requestUntil(t, k.name, all, http.MethodPost, protocol.PathSubmit, k.body, func(r response) bool { return r.status == k.status })
		})
	}
	c.requestUntil(t, "nothing was stored", all, http.MethodGet, jobPath("j-000009"), nil, func(r response) bool { return r.status == http.StatusNotFound })
}
