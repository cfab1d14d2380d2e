// Package casetest runs the script of a case as a Go test, so that KNOWN-RED.txt can list it.
package casetest

import (
	"os"
	"os/exec"
	"testing"
)

// Run runs run.sh in the folder of the calling test, which fails if the script does. It skips the test
// unless the environment variable REVIEW is 1: a case takes up to two minutes, needs its builds, and
// stays out of the default run.
func Run(t *testing.T) {
	t.Helper()
	if os.Getenv("REVIEW") != "1" {
		t.Skip("set REVIEW=1 to run the case")
	}
	out, err := exec.Command("./run.sh").CombinedOutput()
	t.Logf("%s", out)
	if err != nil {
		t.Error(err)
	}
}
