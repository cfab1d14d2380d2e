package standin

import (
	"fmt"
	"os"
	"path/filepath"
)

// Result is the exit status of a case.
type Result int

// The results of a case.
const (
	Held      Result = 0
	Broken    Result = 1
	CannotRun Result = 2
)

// Main runs a case with the record in the given folder, and exits with its result. The environment
// variable TROUBLE=0 turns the disruption off.
func Main(folder string, config Config, run func(c *Cluster, trouble bool) (Result, string)) {
	record, err := NewRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Println("cannot run:", err)
		os.Exit(int(CannotRun))
	}
	result, why := CannotRun, ""
	cluster, err := Start(config, record)
	if err != nil {
		why = err.Error()
	} else {
		result, why = run(cluster, os.Getenv("TROUBLE") != "0")
	}
	record.Printf("RESULT %d: %s", result, why)
	cluster.Stop()
	record.Close()
	fmt.Printf("%s: %d: %s\n", folder, result, why)
	os.Exit(int(result))
}
