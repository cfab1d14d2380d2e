package standin

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"dunestand/internal/protocol"
)

// Request is one request about a job, from its sending to its answer.
type Request struct {
	Job        string
	Controller string // the controller that it was sent to
	Sent       time.Time
	Received   time.Time // when the answer came in
	Status     int       // 0: no answer
	Stage      protocol.Stage
	// Abandoned: its user had stopped waiting by the time the answer came in.
	TimedOut bool
}

func (r Request) accepted() bool {
	return r.Status == http.StatusOK || r.Status == http.StatusCreated
}

// denies tells whether the answer says that the job is not known.
func (r Request) denied() bool {
	return r.Status == http.StatusNotFound || r.Status == http.StatusBadRequest || r.Status == http.StatusUnprocessableEntity
}

func (r Request) String() string {
	answer := string(r.Stage)
	if answer == "" {
		answer = fmt.Sprint(r.Status)
	}
	return fmt.Sprintf("%s from %s, asked at %s and answered at %s",
		answer, r.Controller, r.Sent.Format(timeFormat), r.Received.Format(timeFormat))
}

const timeFormat = "04:05.000"

// RegressionKind tells how an older answer relates to the newer one before it.
type RegressionKind uint8

// The kinds of regression.
const (
	// AskedAfter: the older answer is to a request that began after the newer answer
	// had come in. No delay on the way explains it.
	Sequential RegressionKind = iota
	// AskedBefore: the older answer came in after the newer one, to a request that
	// began before.
	Concurrent
	// AnsweredLate: one of the two answers came in after its user had stopped waiting.
	AfterTimeout
)

func (k RegressionKind) String() string {
	return [...]string{"asked after", "asked before", "answered late"}[k]
}

// Regression is a pair of answers about a job of which the later one is older.
type Regression struct {
	Kind         RegressionKind
	Newer, Older Request
}

func (r Regression) String() string {
	return fmt.Sprintf("%s (%s): %s, then %s", r.Newer.Job, r.Kind, r.Newer, r.Older)
}

// History records users' concurrent requests and finds answers that went back: a job
// that was called done or cancelled and later something else, or accepted and later
// unknown.
type History struct {
	mu       sync.Mutex
	requests map[string][]Request // by job
}

// NewHistory makes an empty history.
func NewHistory() *History { return &History{requests: map[string][]Request{}} }

// Record adds a request that was answered.
func (h *History) Record(r Request) {
	if !r.accepted() && !r.denied() {
		return // it says nothing about the job
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests[r.Job] = append(h.requests[r.Job], r)
}

// Jobs counts the jobs that were asked about.
func (h *History) Jobs() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.requests)
}

// Finals counts the jobs that were called done or cancelled in time for their users.
func (h *History) TerminalJobs() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, all := range h.requests {
		if slices.ContainsFunc(all, func(r Request) bool { return r.Stage.Final() && !r.TimedOut }) {
			n++
		}
	}
	return n
}

// Regressions lists every answer that is older than one that came in before it, once
// for each kind.
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

// regressionsOf holds an answer against those that came in before it.
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

// olderThan tells whether an answer may not follow an earlier one.
func contradicts(r, earlier Request) bool {
	if !earlier.accepted() {
		return false
	}
	if r.denied() {
		return true
	}
	return earlier.Stage.Final() && r.Stage != earlier.Stage
}
