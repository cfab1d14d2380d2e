package config

import (
	"errors"
	"math"
	"os"
	"regexp"
	"strings"
	"testing"

	"pgregory.net/rapid"

	_ "dunestand/internal/fake/fixedseed"
)

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
		t.Run(text, func(t *testing.T) {
			_, err := ParsePolicy("p", text, DefaultPolicy())
			if err == nil {
				t.Fatal("the policy is accepted")
			} else if !regexp.MustCompile(want).MatchString(err.Error()) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%q, want %s", err, want)
			}
			policyError, ok := errors.AsType[*PolicyError](err)
			if !ok || !strings.HasPrefix(err.Error(), policyError.Position.String()+": ") {
				t.Errorf("%#v has no position", err)
			}
		})
	}
}

// The examples in docs/operating.md are valid policies.
func TestDocumentedPoliciesAreValid(t *testing.T) {
	raw, err := os.ReadFile("../../docs/operating.md")
	if err != nil {
		t.Fatal(err)
	}
	blocks := regexp.MustCompile("(?s)```policy\n(.*?)```").FindAllStringSubmatch(string(raw), -1)
	if len(blocks) < 3 {
		t.Fatalf("%d examples found", len(blocks))
	}
	for _, block := range blocks {
		if _, err := ParsePolicy("example", block[1], DefaultPolicy()); err != nil {
			t.Errorf("%v in\n%s", err, block[1])
		}
	}
}

// A rank is never NaN, which could not be ordered, and no setting is negative or overflows,
// even if the policy's expressions yield such values.
func TestPolicyValuesAreBounded(t *testing.T) {
	p, err := ParsePolicy("p", "rank = 1 / (due_s - due_s)\nreserve_cpus = -5\nidle_return_s = 1e300\nspot_preference = 0 - 3", DefaultPolicy())
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		due := rapid.Float64().Draw(t, "due")
		if rank := p.Rank(RankInput{DueS: due}); math.IsNaN(rank) {
			t.Fatal("rank is not a number")
		}
		in := FleetInput{GuaranteedCPUs: rapid.Float64().Draw(t, "cpus")}
		if p.ReserveCPUs(in) != 0 || p.IdleTimeout(in) <= 0 || p.SpotPreference(in) != 0 {
			t.Fatalf("%v %v %v", p.ReserveCPUs(in), p.IdleTimeout(in), p.SpotPreference(in))
		}
	})
}
