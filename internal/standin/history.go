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
	Job    string
	Node   string // the controller that it was sent to
	Began  time.Time
	Ended  time.Time // when the answer came in
	Status int       // 0: no answer
	Stage  protocol.JobStage
	// Abandoned: its user had stopped waiting by the time the answer came in.
	Abandoned bool
}

func (r Request) accepted() bool {
	return r.Status == http.StatusOK || r.Status == http.StatusCreated
}

// denies tells whether the answer says that the job is not known.
func (r Request) denies() bool {
	return r.Status == http.StatusNotFound || r.Status == http.StatusBadRequest || r.Status == http.StatusUnprocessableEntity
}

func (r Request) String() string {
	answer := string(r.Stage)
	if answer == "" {
		answer = fmt.Sprint(r.Status)
	}
	return fmt.Sprintf("%s from %s, asked at %s and answered at %s",
		answer, r.Node, r.Began.Format(clockFormat), r.Ended.Format(clockFormat))
}

const clockFormat = "04:05.000"

// RegressionKind tells how an older answer relates to the newer one before it.
type RegressionKind uint8

// The kinds of regression.
const (
	// AskedAfter: the older answer is to a request that began after the newer answer
	// had come in. No delay on the way explains it.
	AskedAfter RegressionKind = iota
	// AskedBefore: the older answer came in after the newer one, to a request that
	// began before.
	AskedBefore
	// AnsweredLate: one of the two answers came in after its user had stopped waiting.
	AnsweredLate
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
	if !r.accepted() && !r.denies() {
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
func (h *History) Finals() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, all := range h.requests {
		if slices.ContainsFunc(all, func(r Request) bool { return r.Stage.IsTerminal() && !r.Abandoned }) {
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
		slices.SortStableFunc(all, func(a, b Request) int { return a.Ended.Compare(b.Ended) })
		for i, r := range all {
			out = append(out, regressionsOf(r, all[:i])...)
		}
	}
	slices.SortStableFunc(out, func(a, b Regression) int {
		return cmp.Or(cmp.Compare(a.Newer.Job, b.Newer.Job), a.Older.Ended.Compare(b.Older.Ended))
	})
	return out
}

// regressionsOf holds an answer against those that came in before it.
func regressionsOf(r Request, before []Request) []Regression {
	var out []Regression
	var found [AnsweredLate + 1]bool
	for _, earlier := range before {
		if !olderThan(r, earlier) {
			continue
		}
		kind := AskedBefore
		switch {
		case r.Abandoned || earlier.Abandoned:
			kind = AnsweredLate
		case r.Began.After(earlier.Ended):
			kind = AskedAfter
		}
		if !found[kind] {
			found[kind] = true
			out = append(out, Regression{Kind: kind, Newer: earlier, Older: r})
		}
	}
	return out
}

// olderThan tells whether an answer may not follow an earlier one.
func olderThan(r, earlier Request) bool {
	if !earlier.accepted() {
		return false
	}
	if r.denies() {
		return true
	}
	return earlier.Stage.IsTerminal() && r.Stage != earlier.Stage
}
