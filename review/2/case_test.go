package main

import (
	"testing"

	"dunestand/review/casetest"
)

func TestLostReplicaReturns(t *testing.T) { casetest.Run(t) }
