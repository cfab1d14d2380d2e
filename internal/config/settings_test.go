package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"dunestand/internal/units"
)

func validSettings() map[string]any {
	return map[string]any{
		"node_name":     "dune-0",
		"area":          "a",
		"client_listen": "10.0.0.1:8080",
		"mesh_addr":     "10.0.0.1:8081",
		"colour":        "red",
		"others": []any{map[string]any{
			"node_name": "dune-1",
			"area":      "b",
			"endpoint":  "10.0.0.2:8081",
		}},
		"services": map[string]any{"cloud": "10.2.0.2:8443", "state": "10.2.0.1:2379"},
		"settings": map[string]any{"zones": []any{"a", "b"},
			"teams": []any{map[string]any{"name": "t", "cpus": 4.0, "cpus_max": 8.0}},
			"objectives": []any{
				map[string]any{"kind": "finished", "class": "c", "within_s": 90.0},
				map[string]any{"kind": "deadline", "class": "d", "times": 1.5},
				map[string]any{"kind": "deadline", "class": "d", "times": 1.0},
			},
			"workers":   map[string]any{"report_s": 3.0, "lease_s": 26.0, "cancel_s": 46.0},
			"state":     map[string]any{"rps": 150.0, "write_rps": 60.0, "value_kb": 16.0, "txn_ops": 12},
			"cloud":     map[string]any{"rps": 6.0, "list_lag_s": 4.0},
			"resources": map[string]any{"core_share": 0.06, "ram_mb": 125.0, "max_connections": 1200}},
	}
}

func encode(t *testing.T, v any) []byte {
	t.Helper()
	raw, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

func TestValidSettingsAreParsed(t *testing.T) {
	s, err := Parse(encode(t, validSettings()))
	if err != nil {
		t.Fatal(err)
	}
	if s.Name != "dune-0" || s.Peers[0].Endpoint != "10.0.0.2:8081" || s.Fleet.Workers.LeaseDuration() != 26*units.Second {
		t.Fatalf("%+v", s)
	}
}

func TestObjectivesApplyByClassAndKind(t *testing.T) {
	s, err := Parse(encode(t, validSettings()))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name, class string
		deadline    units.Micros
		want        []units.Micros
	}{
		{"a class with an objective", "c", 0, []units.Micros{90 * units.Second}},
		{"multiples of a deadline", "d", 10, []units.Micros{10, 15}},
		{"a deadline of a class without objectives", "e", 10, []units.Micros{10}},
		{"neither", "e", 0, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := s.Fleet.CompletionObjectives(c.class, c.deadline); !slices.Equal(got, c.want) {
				t.Errorf("%v, expected %v", got, c.want)
			}
		})
	}
	if due := s.Fleet.GuaranteedStartObjective(); due != 0 {
		t.Errorf("work within a guaranteed quota has to start within %v without an objective", due)
	}
	s.Fleet.Objectives = append(s.Fleet.Objectives,
		Objective{Kind: ObjectiveGuarantee, WithinS: 30},
		Objective{Kind: ObjectiveWait, Class: "c", WithinS: 20},
		Objective{Kind: ObjectiveWait, Class: "d", WithinS: 10})
	if due := s.Fleet.GuaranteedStartObjective(); due != 30*units.Second {
		t.Errorf("work within a guaranteed quota has to start within %v", due)
	}
	if due := s.Fleet.StartObjective("d"); due != 10*units.Second {
		t.Errorf("the job has to start within %v", due)
	}
}

// largeSettings returns the settings of a deployment of five controllers and twelve teams.
func largeSettings() map[string]any {
	var others, teams []any
	for i := range 4 {
		others = append(others, map[string]any{
			"node_name": fmt.Sprintf("dune-%d", i+1),
			"area":      "b",
			"endpoint":  fmt.Sprintf("10.0.0.%d:8081", i+2),
		})
	}
	for i := range 12 {
		teams = append(teams, map[string]any{
			"name":     fmt.Sprintf("kitchen-%02d", i),
			"cpus":     500.0,
			"cpus_max": 800.0,
		})
	}
	settings := validSettings()
	settings["others"], settings["settings"].(map[string]any)["teams"] = others, teams
	return settings
}

func TestSettingsOfLargeDeploymentAreParsed(t *testing.T) {
	parsed, err := Parse(encode(t, largeSettings()))
	if err != nil || len(parsed.Peers) != 4 || len(parsed.Fleet.Teams) != 12 {
		t.Fatalf("%v %+v", err, parsed)
	}
}

func TestMissingAndDuplicateSettingsAreRejected(t *testing.T) {
	appendTo := func(settings map[string]any, list string, entry any) {
		settings[list] = append(settings[list].([]any), entry)
	}
	for want, invalidate := range map[string]func(settings, fleet map[string]any){
		"others[4].node_name":           func(s, _ map[string]any) { appendTo(s, "others", s["others"].([]any)[0]) },
		"others[4].endpoint":            func(s, _ map[string]any) { appendTo(s, "others", map[string]any{"node_name": "dune-9"}) },
		"teams[12].name":                func(_, f map[string]any) { appendTo(f, "teams", f["teams"].([]any)[3]) },
		"teams[12]: negative quota":     func(_, f map[string]any) { appendTo(f, "teams", map[string]any{"name": "x", "cpus": -1.0}) },
		"settings.workers.report_s":     func(_, f map[string]any) { delete(f, "workers") },
		"settings.resources.core_share": func(_, f map[string]any) { delete(f, "resources") },
		"services.cloud":                func(s, _ map[string]any) { delete(s, "services") },
		"settings.zones":                func(_, f map[string]any) { delete(f, "zones") },
	} {
		t.Run(want, func(t *testing.T) {
			settings := largeSettings()
			invalidate(settings, settings["settings"].(map[string]any))
			if _, err := Parse(encode(t, settings)); err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
				t.Error(err)
			}
		})
	}
}

// An invalid value is rejected with a single line that names the field.
func TestInvalidValuesAreRejected(t *testing.T) {
	for path, bad := range map[string][]any{
		"node_name":                     {"", 7},
		"client_listen":                 {"", "localhost:80", "10.0.0.1"},
		"mesh_addr":                     {""},
		"services.state":                {"", "nowhere"},
		"settings.workers.lease_s":      {0.0, -1.0, "long", 3.0, 2.5},
		"settings.workers.report_s":     {0.0, -1.0, 26.0},
		"settings.state.write_rps":      {0.0},
		"settings.state.txn_ops":        {1, 2.5},
		"settings.state.value_kb":       {0.5},
		"settings.state.next.value_kb":  {0.5, -2.0, "small"},
		"settings.state.next.txn_ops":   {2, -1, 2.5},
		"settings.state.next.write_rps": {-1.0},
		"settings.state.next":           {7, "soon"},
		"settings.cloud.list_lag_s":     {-1.0},
		"settings.resources.ram_mb":     {0.0, -1.0},
		"settings.resources.core_share": {0.0, -0.5},
		"settings.zones":                {[]any{}},
	} {
		for _, value := range bad {
			t.Run(fmt.Sprintf("%s=%v", path, value), func(t *testing.T) {
				_, err := Parse(encode(t, settingsWith(path, value)))
				field := path[strings.LastIndexByte(path, '.')+1:]
				if err == nil {
					t.Fatal("the value is accepted")
				} else if !strings.Contains(err.Error(), field) || strings.Contains(err.Error(), "\n") {
					t.Errorf("%q", err)
				}
				fieldError, ok := errors.AsType[*FieldError](err)
				if !ok || fieldError.Field == "" || fieldError.Problem == "" {
					t.Errorf("%#v is not a complete FieldError", err)
				}
			})
		}
	}
}

// settingsWith returns valid settings in which the value at a path is replaced.
func settingsWith(path string, value any) map[string]any {
	settings := validSettings()
	parent := settings
	parts := strings.Split(path, ".")
	for _, part := range parts[:len(parts)-1] {
		if parent[part] == nil {
			parent[part] = map[string]any{}
		}
		parent = parent[part].(map[string]any)
	}
	parent[parts[len(parts)-1]] = value
	return settings
}

func TestMalformedAndMissingFilesAreRejected(t *testing.T) {
	for _, raw := range []string{"", "{", "[]", "null"} {
		if _, err := Parse([]byte(raw)); err == nil {
			t.Errorf("%q is accepted", raw)
		}
	}
	path := filepath.Join(t.TempDir(), "none.json")
	_, err := Load(path)
	if err == nil {
		t.Fatal("a missing file is accepted")
	}
	if !errors.Is(err, fs.ErrNotExist) || !strings.HasPrefix(err.Error(), "settings "+path+": ") {
		t.Errorf("a missing file: %v", err)
	}
}

// All upcoming limits are optional, and none raises a current limit.
func TestUpcomingLimitsNeverRaiseCurrentLimits(t *testing.T) {
	for _, c := range []struct {
		next any
		want KVLimits
	}{
		{nil, KVLimits{RPS: 150, WriteRPS: 60, ValueKB: 16, TxnOps: 12}},
		{map[string]any{}, KVLimits{RPS: 150, WriteRPS: 60, ValueKB: 16, TxnOps: 12}},
		{
			map[string]any{"value_kb": 2.0, "txn_ops": 4, "since": "noon"},
			KVLimits{RPS: 150, WriteRPS: 60, ValueKB: 2, TxnOps: 4},
		},
		{
			map[string]any{"write_rps": 42.0, "value_kb": 64.0},
			KVLimits{RPS: 150, WriteRPS: 42, ValueKB: 16, TxnOps: 12},
		},
	} {
		s := validSettings()
		s["settings"].(map[string]any)["state"] = map[string]any{
			"rps":       150.0,
			"write_rps": 60.0,
			"value_kb":  16.0,
			"txn_ops":   12,
			"next":      c.next,
		}
		parsed, err := Parse(encode(t, s))
		if err != nil {
			t.Errorf("%v: %v", c.next, err)
		} else if got := parsed.Fleet.KVLimits.Lowest(); got != c.want {
			t.Errorf("%v: %+v", c.next, got)
		}
	}
}
