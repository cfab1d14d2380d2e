package main

import (
	"errors"
	"net/http/httptest"
	"strings"
	"testing"

	"dunestand/internal/admission"
	"dunestand/internal/fake"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
	"dunestand/node"
)

// startKVStore starts a fake key-value store and returns it and its address.
func startKVStore(t *testing.T) (*fake.KVServer, string) {
	t.Helper()
	store := fake.NewKVServer()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	return store, strings.TrimPrefix(server.URL, "http://")
}

// encodedPlan returns the record of plan 3 of term 2, which restricts the team mill.
func encodedPlan(t *testing.T) []byte {
	t.Helper()
	teams := []admission.Team{{
		Name:            "mill",
		GuaranteedQuota: admission.Amounts{units.AmountOf(8)},
		QuotaLimit:      admission.Amounts{units.AmountOf(16)},
	}}
	planner := admission.NewPlanner(admission.Options{Horizon: 100 * units.Second}, teams, nil, 0)
	plan := planner.Next(3, 2, admission.Measurement{Backlog: []admission.FlowBacklog{{
		Flow: admission.Flow{Team: "mill", Class: "q"},
		Work: admission.WorkOf(800, units.AmountOf(1), 10*units.Second),
	}}}).Plan
	raw, _, err := admission.Encode(plan, 8<<10)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// The commands print the stored plan and its decision on a job.
func TestAdmissionCommandsPrintStoredPlan(t *testing.T) {
	store, address := startKVStore(t)
	settings := writeSettings(t, address)
	job := writeJSON(t, "job.json", testSubmission(7, "mill", 1))
	if _, err := execute("admission", "show", settings); !errors.Is(err, node.ErrNoPlan) {
		t.Errorf("without a plan: %v", err)
	}
	store.Put(admission.KeyPlan, encodedPlan(t))
	for _, c := range []struct {
		args   []string
		output []string
	}{
		{[]string{"show", settings}, []string{"plan 3 of term 2", "restricted", "mill"}},
		{[]string{"explain", settings, job}, []string{"j-000007", "wait by plan 3", "small job of mill, class q, by cpu"}},
	} {
		t.Run(c.args[0], func(t *testing.T) {
			output, err := execute(append([]string{"admission"}, c.args...)...)
			if err != nil {
				t.Error(err)
			}
			for _, text := range c.output {
				if !strings.Contains(output, text) {
					t.Errorf("no %q:\n%s", text, output)
				}
			}
		})
	}
	store.Put(admission.KeyPlan, protocol.Encode("nonsense"))
	if _, err := execute("admission", "show", settings); err == nil {
		t.Error("no error for an invalid plan record")
	}
}

func TestReadJobConvertsOnlyWholeTaskCounts(t *testing.T) {
	job := testSubmission(7, "mill", 3)
	spec, err := readJob(writeJSON(t, "job.json", job))
	if err != nil {
		t.Fatal(err)
	}
	if spec.Tasks != 3 {
		t.Errorf("%d tasks", spec.Tasks)
	}
	job[protocol.FieldTasks] = 2.5
	if _, err := readJob(writeJSON(t, "job.json", job)); err == nil {
		t.Error("a job with 2.5 tasks is accepted")
	}
}

func TestInvalidInputOfAdmissionCommandsIsAnInputError(t *testing.T) {
	_, address := startKVStore(t)
	settings := writeSettings(t, address)
	job := writeJSON(t, "job.json", testSubmission(7, "mill", 1))
	for _, args := range [][]string{
		{"admission"},
		{"admission", "show"},
		{"admission", "show", job},
		{"admission", "explain", settings},
		{"admission", "explain", settings, settings},
	} {
		t.Run(strings.Join(args, " "), func(t *testing.T) {
			_, err := execute(args...)
			expectInputError(t, err)
		})
	}
}
