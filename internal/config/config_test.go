package config

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"pgregory.net/rapid"

	_ "dunestand/internal/fake/fixedseed"
)

func goodSettings() map[string]any {
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

func TestGoodSettings(t *testing.T) {
	s, err := Parse(encode(t, goodSettings()))
	if err != nil {
		t.Fatal(err)
	}
	if s.Node != "dune-0" || s.Others[0].Endpoint != "10.0.0.2:8081" || s.Fleet.Workers.Lease() != 26_000_000 {
		t.Fatalf("%+v", s)
	}
	if d := s.Fleet.Dues("c", 0); len(d) != 1 || d[0] != 90_000_000 {
		t.Errorf("dues of a class with an aim: %v", d)
	}
	if d := s.Fleet.Dues("d", 10); len(d) != 2 || d[0] != 10 || d[1] != 15 {
		t.Errorf("dues of a deadline: %v", d)
	}
}

// The settings of a grown deployment: five controllers, a dozen teams.
func TestManyNodesAndTeams(t *testing.T) {
	s := goodSettings()
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
	s["others"], s["settings"].(map[string]any)["teams"] = others, teams
	parsed, err := Parse(encode(t, s))
	if err != nil || len(parsed.Others) != 4 || len(parsed.Fleet.Teams) != 12 {
		t.Fatalf("%v %+v", err, parsed)
	}
	for what, spoil := range map[string]func(){
		"others[4].node_name": func() { s["others"] = append(others, others[0]) },
		"others[4].endpoint":  func() { s["others"] = append(others, map[string]any{"node_name": "dune-9"}) },
		"teams[12].name":      func() { s["settings"].(map[string]any)["teams"] = append(teams, teams[3]) },
		"teams[12]: negative amount": func() {
			s["settings"].(map[string]any)["teams"] = append(teams, map[string]any{"name": "x", "cpus": -1.0})
		},
		"settings.workers.report_s":     func() { delete(s["settings"].(map[string]any), "workers") },
		"settings.resources.core_share": func() { delete(s["settings"].(map[string]any), "resources") },
		"services.cloud":                func() { delete(s, "services") },
		"settings.zones":                func() { delete(s["settings"].(map[string]any), "zones") },
	} {
		s = goodSettings()
		spoil()
		if _, err := Parse(encode(t, s)); err == nil || !strings.Contains(err.Error(), what) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", what, err)
		}
	}
}

// Every bad value is refused with one line that names the field.
func TestBadSettings(t *testing.T) {
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
			s := goodSettings()
			at := s
			parts := strings.Split(path, ".")
			for _, p := range parts[:len(parts)-1] {
				if at[p] == nil {
					at[p] = map[string]any{}
				}
				at = at[p].(map[string]any)
			}
			at[parts[len(parts)-1]] = value
			_, err := Parse(encode(t, s))
			if err == nil {
				t.Errorf("%s = %v is taken", path, value)
			} else if !strings.Contains(err.Error(), parts[len(parts)-1]) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%s = %v: %q", path, value, err)
			}
		}
	}
	for _, raw := range []string{"", "{", "[]", "null"} {
		if _, err := Parse([]byte(raw)); err == nil {
			t.Errorf("%q is taken", raw)
		}
	}
	if _, err := Load(filepath.Join(t.TempDir(), "none.json")); err == nil {
		t.Error("a missing file is taken")
	}
}

// The limits to come are optional, each of them, and never loosen those of now.
func TestLimitsToCome(t *testing.T) {
	for _, c := range []struct {
		next any
		want State
	}{
		{nil, State{RPS: 150, WriteRPS: 60, ValueKB: 16, TxnOps: 12}},
		{map[string]any{}, State{RPS: 150, WriteRPS: 60, ValueKB: 16, TxnOps: 12}},
		{
			map[string]any{"value_kb": 2.0, "txn_ops": 4, "since": "noon"},
			State{RPS: 150, WriteRPS: 60, ValueKB: 2, TxnOps: 4},
		},
		{
			map[string]any{"write_rps": 42.0, "value_kb": 64.0},
			State{RPS: 150, WriteRPS: 42, ValueKB: 16, TxnOps: 12},
		},
	} {
		s := goodSettings()
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
		} else if got := parsed.Fleet.State.Both(); got != c.want {
			t.Errorf("%v: %+v", c.next, got)
		}
	}
}

func TestPolicyErrorsNameLineAndColumn(t *testing.T) {
	for text, want := range map[string]string{
		"rank = work_s\nidle_return_s = 1 +": `^p:2:\d+: `,
		"# fine\nrank = nothing":             `^p:2:8: unknown name nothing`,
		"colour = 1":                         `^p:1:1: unknown setting "colour"`,
		"rank = 1\nrank = 2":                 `^p:2:1: rank is set twice`,
		"rank = class":                       `^p:1:`,
		"  rank = 1":                         `^p:1:1: expected`,
		"rank":                               `^p:1:1: expected`,
		"rank = due_s > 0\n  ? work_s\n  : wrok_s":      `^p:3:5: unknown name wrok_s`,
		"idle_return_s = waited_s":                      `^p:1:17: unknown name waited_s`,
		"reserve_cpus = guaranteed_cpus / \"a\" # text": `^p:1:\d+: invalid operation`,
	} {
		_, err := ParsePolicy("p", text, DefaultPolicy())
		if err == nil {
			t.Errorf("%q is taken", text)
		} else if !regexp.MustCompile(want).MatchString(err.Error()) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %q, want %s", text, err, want)
		}
	}
}

// The examples in the operators' pages are valid policies.
func TestDocumentedPoliciesAreValid(t *testing.T) {
	raw, err := os.ReadFile("../../docs/operating.md")
	if err != nil {
		t.Fatal(err)
	}
	blocks := regexp.MustCompile("(?s)```policy\n(.*?)```").FindAllStringSubmatch(string(raw), -1)
	if len(blocks) < 3 {
		t.Fatalf("%d examples found", len(blocks))
	}
	for _, b := range blocks {
		if _, err := ParsePolicy("example", b[1], DefaultPolicy()); err != nil {
			t.Errorf("%v in\n%s", err, b[1])
		}
	}
}

// Whatever a policy says, what is worked out from it is a number that can be
// acted on.
func TestPolicyValuesAreBounded(t *testing.T) {
	p, err := ParsePolicy("p", "rank = 1 / (due_s - due_s)\nreserve_cpus = -5\nidle_return_s = 1e300\nspot_preference = 0 - 3", DefaultPolicy())
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		due := rapid.Float64().Draw(t, "due")
		if r := p.Rank(RankInput{DueS: due}); r != r {
			t.Fatal("rank is not a number")
		}
		in := FleetInput{GuaranteedCPUs: rapid.Float64().Draw(t, "cpus")}
		if p.ReserveCPUs(in) != 0 || p.IdleReturn(in) <= 0 || p.SpotPreference(in) != 0 {
			t.Fatalf("%v %v %v", p.ReserveCPUs(in), p.IdleReturn(in), p.SpotPreference(in))
		}
	})
}
