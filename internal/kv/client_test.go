package kv

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"dunestand/internal/config"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// newTestClient returns a client of a store that gives the same response to every request.
func newTestClient(t *testing.T, status int, body []byte) *Client {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write(body)
	}))
	t.Cleanup(server.Close)
	limits := config.KVLimits{RPS: 1e4, WriteRPS: 1e4, TxnOps: 12}
	return NewClient(nil, strings.TrimPrefix(server.URL, "http://"), limits, 0, &fakeClock{now: units.Second})
}

// Each outcome of a compare-and-swap has its own error and is counted.
func TestCompareAndSwapTellsOutcomesApart(t *testing.T) {
	for _, c := range []struct {
		name             string
		status           int
		body             []byte
		want             error
		refused, unknown uint64
	}{
		{name: "carried out", status: http.StatusOK, body: protocol.Encode(protocol.TxnResponse{Revision: 7})},
		{name: "too many requests", status: http.StatusTooManyRequests, want: ErrRefused, refused: 1},
		{name: "unavailable", status: http.StatusServiceUnavailable, want: ErrRefused, refused: 1},
		{name: "bad request", status: http.StatusBadRequest, want: ErrInvalidRequest},
		{name: "unreadable response", status: http.StatusOK, body: []byte{0xff}, want: ErrOutcomeUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			client := newTestClient(t, c.status, c.body)
			revision, err := client.CompareAndSwap(t.Context(), protocol.Txn{}, Urgent, CallTimeout)
			if !errors.Is(err, c.want) {
				t.Errorf("error %v, want %v", err, c.want)
			}
			if (revision == 7) != (c.want == nil) {
				t.Errorf("revision %d", revision)
			}
			if refused, unknown := client.Stats.Refused.Load(), client.Stats.OutcomeUnknown.Load(); refused != c.refused || unknown != c.unknown {
				t.Errorf("counted %d refused and %d of unknown outcome", refused, unknown)
			}
		})
	}
}

func TestVersionConflictNamesTheKeys(t *testing.T) {
	client := newTestClient(t, http.StatusConflict, protocol.Encode(protocol.TxnResponse{Failed: []string{"a", "b"}}))
	_, err := client.CompareAndSwap(t.Context(), protocol.Txn{}, Urgent, CallTimeout)
	var conflict *VersionConflictError
	if !errors.As(err, &conflict) || !slices.Equal(conflict.Keys, []string{"a", "b"}) {
		t.Errorf("%v, want a conflict on a and b", err)
	}
}

func TestStoreThatDoesNotAnswerLeavesTheOutcomeUnknown(t *testing.T) {
	client := newTestClient(t, http.StatusOK, nil)
	client.addr = "127.0.0.1:1"
	own := client.WithOwnConnections()
	if _, _, err := own.Get(t.Context(), "key", CallTimeout); !errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("%v, want %v", err, ErrOutcomeUnknown)
	}
	if n := client.Stats.OutcomeUnknown.Load(); n != 1 {
		t.Errorf("the clients' shared statistics count %d requests of unknown outcome, want 1", n)
	}
}

func TestMissingKeyIsNoError(t *testing.T) {
	client := newTestClient(t, http.StatusNotFound, nil)
	if item, ok, err := client.Get(t.Context(), "key", CallTimeout); ok || err != nil {
		t.Errorf("got %+v, %v, %v, want no item and no error", item, ok, err)
	}
}

func TestUnexpectedStatusIsReported(t *testing.T) {
	client := newTestClient(t, http.StatusTeapot, nil)
	_, err := client.Watch(t.Context(), "job/", 1, 0)
	var status *StatusError
	if !errors.As(err, &status) || status.Status != http.StatusTeapot {
		t.Errorf("%v, want the status", err)
	}
}

func TestWatchOfCompactedChangesFails(t *testing.T) {
	client := newTestClient(t, http.StatusGone, nil)
	if _, err := client.Watch(t.Context(), "job/", 1, 0); !errors.Is(err, ErrCompacted) {
		t.Errorf("%v, want %v", err, ErrCompacted)
	}
}

// The leader gets its whole share of the writes and each follower an equal part of the followers'
// share, under the present limits and under the next ones.
func TestWriteShareFollowsRoleAndLimits(t *testing.T) {
	b := newRateBudget(config.KVLimits{RPS: 100, WriteRPS: 100, TxnOps: 12, Next: &config.KVLimits{RPS: 50, WriteRPS: 50, TxnOps: 12}}, 4)
	c := &Client{budget: b}
	check := func(when string, want float64) {
		t.Helper()
		if got := float64(b.writeLimiter().Limit()); got != want {
			t.Errorf("%s: %v writes a second, want %v", when, got, want)
		}
	}
	check("follower", 100*followerWriteShare/4)
	c.SetLeader(true)
	check("leader", 100*leaderWriteShare)
	c.ApplyNextLimits()
	check("leader, next limits", 50*leaderWriteShare)
	c.SetLeader(false)
	check("follower, next limits", 50*followerWriteShare/4)
}
