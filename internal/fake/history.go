package fake

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"dunestand/internal/protocol"
)

// Request is one request about a job with its response.
type Request struct {
	Job        string
	Controller string // that it was sent to
	Sent       time.Time
	Received   time.Time // of the response
	Status     int       // of HTTP; 0: no response
	Stage      protocol.JobStage
	TimedOut   bool // its user had given up when the response was received
}

func (r Request) accepted() bool {
	return r.Status == http.StatusOK || r.Status == http.StatusCreated
}

// denied reports whether the response says that the job is unknown.
func (r Request) denied() bool {
	return r.Status == http.StatusNotFound || r.Status == http.StatusBadRequest || r.Status == http.StatusUnprocessableEntity
}

func (r Request) String() string {
	response := string(r.Stage)
	if response == "" {
		response = fmt.Sprint(r.Status)
	}
	return fmt.Sprintf("%s from %s, sent at %s and received at %s",
		response, r.Controller, r.Sent.Format(timeFormat), r.Received.Format(timeFormat))
}

const timeFormat = "04:05.000"

// RegressionKind is how the requests of a regression relate in time.
type RegressionKind uint8

// The kinds of regression.
const (
	// Sequential: the request with the older response was sent after the newer response
	// had been received. No delay on the way explains it.
	Sequential RegressionKind = iota
	// Concurrent: the request with the older response was sent before the newer response
	// was received.
	Concurrent
	// AfterTimeout: one of the responses was received after its user had given up.
	AfterTimeout
)

func (k RegressionKind) String() string {
	return [...]string{"sequential", "concurrent", "after timeout"}[k]
}

// Regression is a pair of responses about a job of which the one received later is older.
type Regression struct {
	Kind         RegressionKind
	Newer, Older Request
}

func (r Regression) String() string {
	return fmt.Sprintf("%s (%s): %s, then %s", r.Newer.Job, r.Kind, r.Newer, r.Older)
}

// History records the concurrent requests of users and finds regressions: a job that was
// called done or cancelled and later something else, or accepted and later unknown.
type History struct {
	mu       sync.Mutex
	requests map[string][]Request // by job
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{requests: map[string][]Request{}} }

// Record adds a request. One whose response says nothing about the job is left out.
func (h *History) Record(r Request) {
	if !r.accepted() && !r.denied() {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests[r.Job] = append(h.requests[r.Job], r)
}

// Jobs counts the jobs with a recorded request.
func (h *History) Jobs() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.requests)
}

// TerminalJobs counts the jobs that were called done or cancelled before a user gave up.
func (h *History) TerminalJobs() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, all := range h.requests {
		if slices.ContainsFunc(all, func(r Request) bool { return r.Stage.IsTerminal() && !r.TimedOut }) {
			n++
		}
	}
	return n
}

// Regressions returns, ordered by job and time, every response that is older than one
// received before it, once for each kind.
func (h *History) Regressions() []Regression {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []Regression
	for _, all := range h.requests {
		all = slices.Clone(all)
		slices.SortStableFunc(all, func(a, b Request) int { return a.Received.Compare(b.Received) })
		for i, r := range all {
			out = append(out, regressionsTo(r, all[:i])...)
		}
	}
	slices.SortStableFunc(out, func(a, b Regression) int {
		return cmp.Or(cmp.Compare(a.Newer.Job, b.Newer.Job), a.Older.Received.Compare(b.Older.Received))
	})
	return out
}

// regressionsTo compares a response to those received before it.
func regressionsTo(r Request, before []Request) []Regression {
	var out []Regression
	var found [AfterTimeout + 1]bool
	for _, earlier := range before {
		if !contradicts(r, earlier) {
			continue
		}
		kind := Concurrent
		switch {
		case r.TimedOut || earlier.TimedOut:
			kind = AfterTimeout
		case r.Sent.After(earlier.Received):
			kind = Sequential
		}
		if !found[kind] {
			found[kind] = true
			out = append(out, Regression{Kind: kind, Newer: earlier, Older: r})
		}
	}
	return out
}

// contradicts reports whether a response may not follow an earlier one.
func contradicts(r, earlier Request) bool {
	if !earlier.accepted() {
		return false
	}
	if r.denied() {
		return true
	}
	return earlier.Stage.IsTerminal() && r.Stage != earlier.Stage
}
