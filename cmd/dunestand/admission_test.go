package main

import (
	"encoding/json"
	"errors"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"dunestand/internal/admission"
	"dunestand/internal/fake"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
	"dunestand/node"
)

// The commands show the plan that is stored, and what it says about a job.
func TestAdmissionCommands(t *testing.T) {
	state := fake.NewKVServer()
	server := httptest.NewServer(state)
	t.Cleanup(server.Close)
	dir := t.TempDir()
	write := func(name string, content any) string {
		raw, err := json.Marshal(content)
		if err != nil {
			t.Fatal(err)
		}
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, raw, 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	settings := write("settings.json", processSettings(0, "127.0.0.1:1", []string{"127.0.0.1:2"}, strings.TrimPrefix(server.URL, "http://"), "127.0.0.1:4"))
	job := write("job.json", processJob(7, "mill", 1))
	if _, err := execute("admission", "show", settings); !errors.Is(err, node.ErrNoPlan) {
		t.Errorf("without a plan: %v", err)
	}
	teams := []admission.Team{{Name: "mill", GuaranteedQuota: admission.Amounts{units.AmountOf(8)}, QuotaLimit: admission.Amounts{units.AmountOf(16)}}}
	bulk := admission.Cell{Team: "mill", Class: "q"}
	plan := admission.NewPlanner(admission.Options{Horizon: 100 * units.Second}, teams, nil, 0).Next(3, 2, admission.Measurement{
		Backlog: []admission.CellBacklog{{Cell: bulk, Work: admission.WorkOf(800, units.AmountOf(1), 10*units.Second)}},
	}).Plan
	raw, _, err := admission.Encode(plan, 8<<10)
	if err != nil {
		t.Fatal(err)
	}
	state.Put(admission.KeyPlan, raw)
	for command, want := range map[string][]string{
		"show":    {"plan 3 of term 2", "restricted", "mill"},
		"explain": {"j-000007", "wait by plan 3", "small job of mill, class q, by cpu"},
	} {
		args := []string{"admission", command, settings}
		if command == "explain" {
			args = append(args, job)
		}
		out, err := execute(args...)
		if err != nil {
			t.Errorf("%s: %v", command, err)
		}
		for _, text := range want {
			if !strings.Contains(out, text) {
				t.Errorf("%s prints no %q:\n%s", command, text, out)
			}
		}
	}
	state.Put(admission.KeyPlan, protocol.Encode("nonsense"))
	if _, err := execute("admission", "show", settings); err == nil {
		t.Error("a plan that is not readable is shown")
	}
	for _, args := range [][]string{
		{"admission"},
		{"admission", "show"},
		{"admission", "show", job},
		{"admission", "explain", settings},
		{"admission", "explain", settings, settings},
	} {
		var bad badInput
		if _, err := execute(args...); !errors.As(err, &bad) {
			t.Errorf("%v: %v is not bad input", args, err)
		}
	}
}
