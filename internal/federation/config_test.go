package federation

import (
	"errors"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"dunestand/internal/config"
	"dunestand/internal/units"
)

// exampleConfigPath is the example cells file shipped with the project.
const exampleConfigPath = "../../deploy/cells.toml"

func loadExampleConfig(t *testing.T) *Config {
	t.Helper()
	c, err := LoadConfig(exampleConfigPath)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestExampleConfigIsRead(t *testing.T) {
	c := loadExampleConfig(t)
	if c.Self != "mill" || len(c.Cells) != 3 || c.CompleteByHour != 6 || c.MaxMoves != 2 || c.Margin != 60*units.Second {
		t.Errorf("decoded config is %+v", c)
	}
	for class, want := range map[string]int{"loomplan": UnlimitedRestarts, "rushorder": 0, "yarnrecount": 2} {
		if got := c.Class(class); got == nil || got.MaxRestarts != want {
			t.Errorf("%s: %+v, want %d restarts", class, got, want)
		}
	}
	if c.Class("other") != nil {
		t.Error("jobs of an unlisted class may be transferred")
	}
	for address, want := range map[string]string{"10.0.1.77": "dye", "::ffff:10.0.2.1": "recipes", "10.0.3.1": "", "::1": ""} {
		addr := netip.MustParseAddr(address)
		if got := c.CellByAddress(addr); got != want {
			t.Errorf("%s is in %q, want %q", address, got, want)
		}
		if c.Permits(addr, "mill") || c.Permits(addr, "") {
			t.Errorf("%s may send messages on behalf of cell mill or of an empty cell name", address)
		}
	}
}

func TestInvalidConfigNamesTheField(t *testing.T) {
	raw, err := os.ReadFile(exampleConfigPath)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, want string }{
		{`complete_by_hour = 6`, `complete_by_hour = 24`, "complete_by_hour: 24 is not an hour"},
		{`complete_by_hour = 6`, ``, "complete_by_hour: missing"},
		{`lease_s = 12`, `lease_s = nan`, "lease_s"},
		{`stop_s = 30`, `stop_s = 0`, "stop_s"},
		{`margin_s = 60`, `margin_s = -1`, "margin_s"},
		{`moves = 2`, `moves = 0`, "moves"},
		{`moves = 2`, `jumps = 2`, "jumps: unknown field"},
		{`moves = 2`, `moves = "two"`, "moves"},
		{`moves = 2`, `moves = `, "cells.toml:24: "},
		{`name = "dye"`, `name = "mill"`, `cell[1].name: "mill" is listed twice`},
		{`name = "dye"`, `name = "Dye"`, "cell[1].name"},
		{`self = "mill"`, `self = "loom"`, "self"},
		{`"10.0.1.0/24"`, `"10.0.0.0/16"`, "cell[1].networks[0]: 10.0.0.0/16 overlaps"},
		{`"10.0.1.0/24"`, `"10.0.1.7/24"`, "cell[1].networks[0]"},
		{`"10.0.1.0/24"`, `"10.0.9.0/24"`, "cell[1].controllers[0]"},
		{`"10.0.1.1:8081"`, `"dye:8081"`, "cell[1].controllers[0]"},
		{`networks = ["10.0.1.0/24"]`, ``, "cell[1].networks: missing"},
		{`name = "yarnrecount"`, `name = "loomplan"`, "class[2].name"},
		{`restarts = 2`, `restarts = -1`, "class[2].restarts: -1 is below 0"},
		{`restarts = 2`, ``, "class[2].restarts: missing"},
		{`restarts = 2`, `restarts = "some"`, "restarts"},
	} {
		t.Run(c.old+" as "+c.new, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "cells.toml")
			if err := os.WriteFile(path, []byte(strings.Replace(string(raw), c.old, c.new, 1)), 0o600); err != nil {
				t.Fatal(err)
			}
			_, err := LoadConfig(path)
			if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("error is %v, want one line that contains %q", err, c.want)
			}
		})
	}
}

func TestConfigMustAgreeWithSettings(t *testing.T) {
	settings := &config.Settings{Fleet: config.Fleet{
		Workers:    config.Workers{LeaseS: 26, CancelS: 46},
		Objectives: []config.Objective{{Class: "loomplan"}, {Class: "rushorder"}, {Class: "yarnrecount"}},
	}}
	if err := loadExampleConfig(t).CheckSettings(settings); err != nil {
		t.Fatal(err)
	}
	for want, mutate := range map[string]func(*Config){
		"stop_s":        func(c *Config) { c.Timing.StopGrace = 26 * units.Second }, // too short once drift is included
		"lease_s":       func(c *Config) { c.Timing.Lease = 16 * units.Second },
		"class[3].name": func(c *Config) { c.Classes = append(c.Classes, ClassPolicy{Name: "reindex"}) },
	} {
		t.Run(want, func(t *testing.T) {
			c := loadExampleConfig(t)
			mutate(c)
			err := c.CheckSettings(settings)
			var field *FieldError
			if !errors.As(err, &field) || field.Field != want || !strings.HasPrefix(err.Error(), want+":") {
				t.Errorf("%v, want an error about %s", err, want)
			}
		})
	}
}
