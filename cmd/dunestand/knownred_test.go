package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// CI passes over a test only if its line in the list names it, the cause and the issue, and
// over three at most.
func TestListOfKnownFailuresIsChecked(t *testing.T) {
	const existing = "internal/sorted TestKeysAreAscending"
	for _, c := range []struct {
		name, list string
		valid      bool
	}{
		{"complete", existing + " | it fails | issue 7\n", true},
		{"no newline", existing + " | it fails | issue 7", true},
		{"empty", "", true},
		{"no test", "internal/sorted | it fails | issue 7\n", false},
		{"no cause", existing + " | | issue 7\n", false},
		{"no issue", existing + " | it fails\n", false},
		{"unknown test", "internal/sorted TestNoSuch | it fails | issue 7\n", false},
		{"unknown package", "internal/none TestKeysAreAscending | it fails | issue 7\n", false},
		{"four lines", strings.Repeat(existing+" | it fails | issue 7\n", 4), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			list := filepath.Join(t.TempDir(), "list")
			if err := os.WriteFile(list, []byte(c.list), 0o600); err != nil {
				t.Fatal(err)
			}
			output, err := exec.CommandContext(t.Context(), "../../.ci/known-red", list).Output()
			if (err == nil) != c.valid {
				t.Errorf("accepted: %v, want %v", err == nil, c.valid)
			}
			if named := strings.Contains(string(output), existing); named != (c.valid && c.list != "") {
				t.Errorf("printed %q", output)
			}
		})
	}
}
