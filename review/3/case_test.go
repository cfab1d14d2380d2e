package main

import (
	"testing"

	"dunestand/review/casetest"
)

func TestFailedJobStartsAgain(t *testing.T) { casetest.Run(t) }
