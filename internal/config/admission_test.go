package config

import (
	"os"
	"strings"
	"testing"

	"dunestand/internal/units"
)

func TestAdmissionSettingsAreParsed(t *testing.T) {
	p, err := ParsePolicy("p", `admission_horizon_s = 5 * 60
admission_team_shares = {
  "planning": 3,
  "dyehouse": 0.5
  }
admission_class_shares = {"rushorder": 2}`, DefaultPolicy())
	if err != nil {
		t.Fatal(err)
	}
	admission := p.Admission
	if admission.Horizon != 300*units.Second || len(admission.TeamShares) != 2 || admission.TeamShares[1].Weight != 0.5 || admission.ClassShares[0].Name != "rushorder" {
		t.Errorf("%+v", admission)
	}
	if DefaultPolicy().Admission.Horizon != 0 {
		t.Error("admission control is on in the built-in policy")
	}
}

// An invalid admission setting is rejected with a single line that names file, line and column.
func TestErrorsOfAdmissionSettingsNameLineAndColumn(t *testing.T) {
	for text, want := range map[string]string{
		`admission_horizon_s = -1`:                                         `p:1:23: -1 is neither 0 nor`,
		`admission_horizon_s = 5`:                                          `p:1:23: 5 is neither 0 nor`,
		`admission_horizon_s = 1e12`:                                       `p:1:23: 1e+12 is neither`,
		`admission_horizon_s = "long"`:                                     `p:1:`,
		`admission_team_shares = {"a": 1, "b": -2}`:                        `p:1:34: the share of "b" is negative`,
		"rank = 1\nadmission_team_shares = {\"a\": 0,\n  \"b\": 0}":        `p:2:25: the sum of the shares is 0`,
		"admission_team_shares = {\"a\": 1,\n  \"b\": 0}":                  `p:2:3: the share of "b" is 0`,
		"admission_class_shares = {\"a\": 1,\n  \"b\": 2,\n     \"a\": 3}": `p:3:6: "a" already has a share`,
		`admission_team_shares = 7`:                                        `p:1:25: expected shares by name`,
		`admission_team_shares = {"a": "b"}`:                               `p:1:26: the share of "a" is not a number`,
		`admission_team_shares = {"a": colour}`:                            `p:1:31: unknown name colour`,
		`admission_team_shares = {"": 1}`:                                  `p:1:26: expected a name`,
		"admission_team_shares = {}\nadmission_team_shares = {}":           `p:2:1: admission_team_shares is set twice`,
	} {
		t.Run(text, func(t *testing.T) {
			_, err := ParsePolicy("p", text, DefaultPolicy())
			if err == nil || !strings.HasPrefix(err.Error(), want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%v, want %s", err, want)
			}
		})
	}
}

func TestSharesOfUnknownTeamsAndClassesAreRejected(t *testing.T) {
	s, err := Parse(encode(t, validSettings()))
	if err != nil {
		t.Fatal(err)
	}
	for text, want := range map[string]string{
		`admission_team_shares = {"t": 1}`:                       "",
		`admission_class_shares = {"c": 1, "d": 2}`:              "",
		"rank = 1\nadmission_team_shares = {\"t\": 1, \"x\": 2}": `p:2:34: "x" is not a team in the settings`,
		`admission_class_shares = {"e": 2}`:                      `p:1:27: "e" is not a class`,
	} {
		t.Run(text, func(t *testing.T) {
			p, err := ParsePolicy("p", text, DefaultPolicy())
			if err != nil {
				t.Fatal(err)
			}
			err = p.CheckShares(&s.Fleet)
			if want == "" && err != nil || want != "" && (err == nil || !strings.HasPrefix(err.Error(), want)) {
				t.Errorf("%v, want %q", err, want)
			}
		})
	}
}

// The policy in deploy/ is valid and turns admission control on.
func TestFairAdmissionPolicyIsValid(t *testing.T) {
	const path = "../../deploy/fair-admission.policy"
	if _, err := os.Stat(path); err != nil {
		t.Fatal(err)
	}
	p, err := LoadPolicy(path)
	if err != nil || p.Admission.Horizon == 0 {
		t.Errorf("%v %+v", err, p)
	}
}
