package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// CI skips a test only if its entry in the list of known failures is complete and the list has
// at most three entries.
func TestListOfKnownFailuresIsChecked(t *testing.T) {
	const (
		existing = "internal/sorted TestKeysAreAscending"
		details  = " | go test ./internal/sorted, seed 5 | it fails | issue 7"
	)
	for _, c := range []struct {
		name, list string
		valid      bool
	}{
		{"complete", existing + details + "\n", true},
		{"no newline", existing + details, true},
		{"three lines", strings.Repeat(existing+details+"\n", 3), true},
		{"empty", "", true},
		{"no test", "internal/sorted" + details + "\n", false},
		{"no command", existing + " | | it fails | issue 7\n", false},
		{"command left out", existing + " | it fails | issue 7\n", false},
		{"no observation", existing + " | go test ./internal/sorted, seed 5 | | issue 7\n", false},
		{"no issue", existing + " | go test ./internal/sorted, seed 5 | it fails\n", false},
		{"issue without a number", existing + " | go test ./internal/sorted, seed 5 | it fails | issue\n", false},
		{"further part", existing + details + " | more\n", false},
		{"unknown test", "internal/sorted TestNoSuch" + details + "\n", false},
		{"unknown package", "internal/none TestKeysAreAscending" + details + "\n", false},
		{"four lines", strings.Repeat(existing+details+"\n", 4), false},
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
