package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func execute(args ...string) (string, error) {
	var out bytes.Buffer
	c := command()
	c.SetArgs(args)
	c.SetOut(&out)
	c.SetErr(&out)
	err := c.Execute()
	return out.String(), err
}

// Bad input at the command line is told in one line and ends with status 2.
func TestBadInput(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	broken, badPolicy := write("broken.json", `{"node_name": 7}`), write("bad.policy", "rank = 1 +\n")
	for _, args := range [][]string{
		{},
		{"--config", filepath.Join(dir, "none.json")},
		{"--config", broken},
		{"check", broken},
		{"check"},
		{"check", "a", "b"},
		{"policy"},
		{"policy", "check"},
		{"policy", "check", badPolicy},
		{"policy", "check", filepath.Join(dir, "none")},
		{"cells"},
		{"cells", "check"},
		{"cells", "check", filepath.Join(dir, "none")},
		{"cells", "check", write("bad.toml", "complete_by_hour = 24")},
		{"--colour"},
		{"frobnicate"},
		{"version", "x"},
	} {
		_, err := execute(args...)
		var bad badInput
		if !errors.As(err, &bad) {
			t.Errorf("%v: %v is not bad input", args, err)
		} else if strings.Contains(err.Error(), "\n") {
			t.Errorf("%v: %q is not one line", args, err)
		}
	}
	settings, err := json.Marshal(processSettings(0, "127.0.0.1:1", []string{"127.0.0.1:2"}, "127.0.0.1:3", "127.0.0.1:4"))
	if err != nil {
		t.Fatal(err)
	}
	unknown := write("unknown.policy", "rank = 1\nadmission_team_shares = {\"nobody\": 1}\n")
	_, err = execute("--config", write("settings.json", string(settings)), "--policy", unknown)
	var bad badInput
	if want := unknown + ":2:26: "; !errors.As(err, &bad) || !strings.HasPrefix(err.Error(), want) {
		t.Errorf("a share for an unknown team: %v, want %s", err, want)
	}
	if _, err := execute("policy", "check", write("good.policy", "rank = waited_s * -1\n")); err != nil {
		t.Errorf("a good policy: %v", err)
	}
	if _, err := execute("cells", "check", "../../deploy/cells.toml"); err != nil {
		t.Errorf("the cells file that is delivered: %v", err)
	}
	unfit := []string{"cells", "check", "../../deploy/cells.toml", "--config", write("settings.json", string(settings))}
	if _, err := execute(unfit...); !errors.As(err, &bad) || !strings.HasPrefix(err.Error(), "lease_s: ") {
		t.Errorf("a cells file that does not fit the settings: %v", err)
	}
	if _, err := execute("version"); err != nil {
		t.Errorf("version: %v", err)
	}
}
