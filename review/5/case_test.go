package main

import (
	"testing"

	"dunestand/review/casetest"
)

// TestFormerLeaderTakesNothingFromItsSuccessor runs the cases 5 and 6.
func TestFormerLeaderTakesNothingFromItsSuccessor(t *testing.T) {
	for _, folder := range []string{"../5", "../6"} {
		t.Run(folder, func(t *testing.T) {
			t.Chdir(folder)
			casetest.Run(t)
		})
	}
}
