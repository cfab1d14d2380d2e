// Command dunestand runs a controller of the cluster scheduler. Its other commands check
// configuration files and show the admission plan.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
)

// Version is the version of the program, as printed by `dunestand version`.
const Version = "0.1.0"

// Exit statuses in case of an error.
const (
	exitFailure  = 1
	exitBadInput = 2
)

// inputError marks an error in the command line or in a file, which the operator has to correct.
// The program exits with status exitBadInput.
type inputError struct{ err error }

func (e inputError) Error() string { return e.err.Error() }
func (e inputError) Unwrap() error { return e.err }

func inputErrorf(format string, args ...any) error {
	return inputError{fmt.Errorf(format, args...)}
}

func main() {
	err := newRootCommand().ExecuteContext(context.Background())
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "dunestand:", err)
	if _, ok := errors.AsType[inputError](err); ok {
		os.Exit(exitBadInput)
	}
	os.Exit(exitFailure)
}
