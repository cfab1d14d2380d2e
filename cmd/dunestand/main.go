// Command dunestand is the cluster scheduler's controller.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
)

// Version is what `dunestand version` prints.
const Version = "0.1.0"

// Exit statuses other than 0.
const (
	exitFailure  = 1
	exitBadInput = 2
)

// inputError marks an error that the operator has to correct, in the command line or in a
// file: exit status 2.
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
