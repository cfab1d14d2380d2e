package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"io/fs"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"strings"
	"testing"

	"dunestand/internal/config"
)

// execute runs a command line of the program in this process.
func execute(args ...string) (output string, err error) {
	var out bytes.Buffer
	root := newRootCommand()
	root.SetArgs(args)
	root.SetOut(&out)
	root.SetErr(&out)
	err = root.Execute()
	return out.String(), err
}

// writeFile writes a file in a temporary directory and returns its path.
func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// writeJSON writes a value as a JSON file in a temporary directory and returns its path.
func writeJSON(t *testing.T, name string, content any) string {
	t.Helper()
	raw, err := json.Marshal(content)
	if err != nil {
		t.Fatal(err)
	}
	return writeFile(t, name, string(raw))
}

// writeSettings writes valid settings with the address of a key-value store and returns the
// path.
func writeSettings(t *testing.T, kvStoreAddress string) string {
	t.Helper()
	return writeJSON(t, "settings.json",
		controllerSettings(0, "127.0.0.1:1", []string{"127.0.0.1:2"}, kvStoreAddress, "127.0.0.1:4"))
}

// expectInputError fails the test unless an error is an input error whose text is one line.
func expectInputError(t *testing.T, err error) {
	t.Helper()
	if _, ok := errors.AsType[inputError](err); !ok {
		t.Errorf("%v is not an input error", err)
	} else if strings.Contains(err.Error(), "\n") {
		t.Errorf("%q is not one line", err)
	}
}

// Invalid input on the command line is reported in one line, with exit status 2.
func TestInvalidInputIsAnInputError(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "none")
	broken := writeFile(t, "broken.json", `{"node_name": 7}`)
	badPolicy := writeFile(t, "bad.policy", "rank = 1 +\n")
	badCells := writeFile(t, "bad.toml", "complete_by_hour = 24")
	for _, args := range [][]string{
		{},
		{"--config", missing},
		{"--config", broken},
		{"check", broken},
		{"check"},
		{"check", "a", "b"},
		{"policy"},
		{"policy", "check"},
		{"policy", "check", badPolicy},
		{"policy", "check", missing},
		{"cells"},
		{"cells", "check"},
		{"cells", "check", missing},
		{"cells", "check", badCells},
		{"--colour"},
		{"frobnicate"},
		{"version", "x"},
	} {
		t.Run(strings.Join(args, " "), func(t *testing.T) {
			_, err := execute(args...)
			expectInputError(t, err)
		})
	}
}

func TestExitStatusDistinguishesInvalidInput(t *testing.T) {
	program := buildProgram(t)
	for _, c := range []struct {
		name   string
		args   []string
		status int
	}{
		{"success", []string{"version"}, 0},
		{"failure", []string{"admission", "show", writeSettings(t, freeAddress(t))}, exitFailure},
		{"bad input", []string{"frobnicate"}, exitBadInput},
	} {
		t.Run(c.name, func(t *testing.T) {
			cmd := exec.CommandContext(t.Context(), program, c.args...)
			var stderr bytes.Buffer
			cmd.Stderr = &stderr
			_ = cmd.Run() // the exit status is checked below
			if status := cmd.ProcessState.ExitCode(); status != c.status {
				t.Errorf("status %d, expected %d", status, c.status)
			}
			if message := stderr.String(); c.status != 0 && (!strings.HasPrefix(message, "dunestand: ") || strings.Count(message, "\n") != 1) {
				t.Errorf("message %q", message)
			}
		})
	}
}

func TestUnknownSubcommandErrorNamesUsage(t *testing.T) {
	for group, want := range map[string]string{
		"policy":    "policy: use dunestand policy check FILE",
		"cells":     "cells: use dunestand cells check FILE",
		"admission": "admission: use dunestand admission show or explain",
	} {
		_, err := execute(group, "frobnicate")
		expectInputError(t, err)
		if err == nil || err.Error() != want {
			t.Errorf("%s: %v, expected %s", group, err, want)
		}
	}
}

func TestInputErrorKeepsItsCause(t *testing.T) {
	if _, err := execute("check", filepath.Join(t.TempDir(), "none")); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("missing file: %v", err)
	}
	_, err := execute("check", writeFile(t, "broken.json", `{"node_name": 7}`))
	if fieldError, ok := errors.AsType[*config.FieldError](err); !ok || fieldError.Field != "node_name" {
		t.Errorf("invalid field: %v", err)
	}
}

func TestPolicyWithUnknownTeamIsAnInputError(t *testing.T) {
	policy := writeFile(t, "unknown.policy", "rank = 1\nadmission_team_shares = {\"nobody\": 1}\n")
	_, err := execute("--config", writeSettings(t, "127.0.0.1:3"), "--policy", policy)
	expectInputError(t, err)
	if want := policy + ":2:26: "; err == nil || !strings.HasPrefix(err.Error(), want) {
		t.Errorf("share of an unknown team: %v, want %s", err, want)
	}
}

func TestCellsThatDoNotFitTheSettingsAreAnInputError(t *testing.T) {
	_, err := execute("cells", "check", "../../deploy/cells.toml", "--config", writeSettings(t, "127.0.0.1:3"))
	expectInputError(t, err)
	if err == nil || !strings.HasPrefix(err.Error(), "lease_s: ") {
		t.Errorf("a cells file that does not fit the settings: %v", err)
	}
}

func TestValidInputIsAccepted(t *testing.T) {
	for _, c := range []struct {
		name   string
		args   []string
		output string
	}{
		{"policy", []string{"policy", "check", writeFile(t, "good.policy", "rank = waited_s * -1\n")}, ""},
		{"cells file in deploy", []string{"cells", "check", "../../deploy/cells.toml"}, ""},
		{"settings", []string{"check", writeSettings(t, "127.0.0.1:3")}, ""},
		{"version", []string{"version"}, "dunestand " + Version + " " + runtime.Version() + "\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			output, err := execute(c.args...)
			if err != nil {
				t.Error(err)
			}
			if output != c.output {
				t.Errorf("prints %q, expected %q", output, c.output)
			}
		})
	}
}

func TestLogLevelIsParsed(t *testing.T) {
	for name, want := range map[string]slog.Level{
		"":      slog.LevelInfo,
		"error": slog.LevelError,
		"debug": slog.LevelDebug,
	} {
		if level, err := logLevel(name); err != nil || level != want {
			t.Errorf("%q: %v %v", name, level, err)
		}
	}
	_, err := logLevel("loud")
	expectInputError(t, err)
}

func TestThreadsFollowTheCoreShare(t *testing.T) {
	threads, gc, memory := runtime.GOMAXPROCS(0), debug.SetGCPercent(gcPercent), debug.SetMemoryLimit(-1)
	t.Cleanup(func() {
		runtime.GOMAXPROCS(threads)
		debug.SetGCPercent(gc)
		debug.SetMemoryLimit(memory)
	})
	for share, want := range map[float64]int{0.06: 1, 1: 1, 1.005: 1, 1.5: 2, 2: 2} {
		limitProcess(config.Resources{CoreShare: share, RAMMB: 1000})
		if got := runtime.GOMAXPROCS(0); got != want {
			t.Errorf("%v cores: %d threads, expected %d", share, got, want)
		}
	}
	if limit := debug.SetMemoryLimit(-1); limit != 700<<20 {
		t.Errorf("memory limit of %d bytes", limit)
	}
}
