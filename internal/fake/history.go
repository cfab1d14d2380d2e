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

// Request is a user's request about one job and the response to it.
type Request struct {
	Job        string
	Controller string // the controller that the request was sent to
	Sent       time.Time
	Received   time.Time // of the response
	Status     int       // HTTP status; 0: no response
	Stage      protocol.JobStage
	TimedOut   bool // the response was received after the user's timeout
}

func (r Request) accepted() bool {
	return r.Status == http.StatusOK || r.Status == http.StatusCreated
}

// reportsUnknownJob reports whether the response implies that the job does not exist. For an
// accepted job that includes 400 and 422: a repetition of its submission cannot be invalid.
func (r Request) reportsUnknownJob() bool {
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

// RegressionKind is the relation in time between the two requests of a regression.
type RegressionKind uint8

// The kinds of regression.
const (
	// Sequential: the request with the older response was sent after the newer response had
	// been received. Network delay cannot explain the regression.
	Sequential RegressionKind = iota
	// Concurrent: the request with the older response was sent before the newer response
	// was received.
	Concurrent
	// AfterTimeout: one of the responses was received after its user's timeout.
	AfterTimeout
)

func (k RegressionKind) String() string {
	return [...]string{"sequential", "concurrent", "after timeout"}[k]
}

// Regression is a pair of responses about a job of which the one received later shows an older
// state.
type Regression struct {
	Kind         RegressionKind
	Newer, Older Request // by the state in the response; Older was received later
}

func (r Regression) String() string {
	return fmt.Sprintf("%s (%s): %s, then %s", r.Newer.Job, r.Kind, r.Newer, r.Older)
}

// History records users' concurrent requests and finds regressions: a job that was reported in
// a terminal state and later in another state, or accepted and later unknown.
type History struct {
	mu       sync.Mutex
	requests map[string][]Request // by job
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{requests: map[string][]Request{}} }

// Record adds a request, unless its response does not tell whether the job exists (no response,
// or a status such as 429 or 503).
func (h *History) Record(r Request) {
	if !r.accepted() && !r.reportsUnknownJob() {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests[r.Job] = append(h.requests[r.Job], r)
}

// Jobs returns the number of jobs with a recorded request.
func (h *History) Jobs() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.requests)
}

// TerminalJobs returns the number of jobs that were reported in a terminal state within a user's
// timeout.
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

// Regressions returns the regressions ordered by job and by the time of the older response. A
// response that contradicts several earlier ones is reported once per kind.
func (h *History) Regressions() []Regression {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []Regression
	for _, all := range h.requests {
		all = slices.Clone(all)
		slices.SortStableFunc(all, func(a, b Request) int { return a.Received.Compare(b.Received) })
		for i, r := range all {
			out = append(out, regressionsAgainst(r, all[:i])...)
		}
	}
	slices.SortStableFunc(out, func(a, b Regression) int {
		return cmp.Or(cmp.Compare(a.Newer.Job, b.Newer.Job), a.Older.Received.Compare(b.Older.Received))
	})
	return out
}

// regressionsAgainst returns the regressions of a response against those received before it, at
// most one per kind.
func regressionsAgainst(r Request, before []Request) []Regression {
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

// contradicts reports whether a response shows an older state than an earlier response.
func contradicts(r, earlier Request) bool {
	if !earlier.accepted() {
		return false
	}
	if r.reportsUnknownJob() {
		return true
	}
	return earlier.Stage.IsTerminal() && r.Stage != earlier.Stage
}
