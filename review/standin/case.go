package standin

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Result is the exit status of a case.
type Result int

// The results of a case.
const (
	Held      Result = 0
	Broken    Result = 1
	CannotRun Result = 2
)

// longestRun is the time after which a case is given up.
const longestRun = 118 * time.Second

// outcome is a result with the reason for it.
type outcome struct {
	result Result
	why    string
}

// Main runs a case with the record in the given folder, ends all controllers, and exits with the
// result. The environment variable TROUBLE=0 turns the disruption off.
func Main(folder string, config Config, run func(c *Cluster, trouble bool) (Result, string)) {
	record, err := NewRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Println("cannot run:", err)
		os.Exit(int(CannotRun))
	}
	end := make(chan os.Signal, 1)
	signal.Notify(end, os.Interrupt, syscall.SIGTERM)
	finished := make(chan outcome, 1)
	cluster, err := Start(config, record)
	if err != nil {
		finished <- outcome{CannotRun, err.Error()}
	} else {
		go func() {
			result, why := run(cluster, os.Getenv("TROUBLE") != "0")
			finished <- outcome{result, why}
		}()
	}
	var o outcome
	select {
	case o = <-finished:
	case s := <-end:
		o = outcome{CannotRun, fmt.Sprintf("ended by signal %v", s)}
	case <-time.After(longestRun):
		o = outcome{CannotRun, "not finished in time"}
	}
	record.Printf("RESULT %d: %s", o.result, o.why)
	cluster.Stop()
	record.Close()
	fmt.Printf("%s: %d: %s\n", folder, o.result, o.why)
	os.Exit(int(o.result))
}
