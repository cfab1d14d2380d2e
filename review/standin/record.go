// Package standin holds what the cases of the review share: stand-ins for workers, the cloud and
// users on loopback addresses, the start of controller processes, and the record of a run. The
// key-value store is the project's own fake, behind a delay.
package standin

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the log of a run: what was sent, answered and run. It is safe for concurrent use.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// NewRecord creates or truncates the file of a record.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, began: time.Now()}, nil
}

// Printf adds a line with the time since the start of the run.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }
