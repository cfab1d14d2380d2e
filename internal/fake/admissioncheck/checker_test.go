package admissioncheck

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"dunestand/internal/admission"
	"dunestand/internal/cluster"
	"dunestand/internal/fake"
	"dunestand/internal/protocol"
)

const testJob = "j-1"

// storePendingSubmission stores a pending submission unconditionally, even if the job is stored
// already.
func storePendingSubmission(t *testing.T, kv *fake.KVServer, id string) {
	t.Helper()
	spec, err := protocol.ParseSubmission(protocol.Encode(fake.Submission(id, "team", "class", 1, 1)))
	if err != nil {
		t.Fatal(err)
	}
	txn := cluster.PendingSubmissionTxn(cluster.PendingSubmission{Spec: *spec})
	txn.If = nil
	if _, ok := kv.Apply(txn); !ok {
		t.Fatal("pending submission is not stored")
	}
}

// The checker reports each violation that can be caused without a valid plan, and none for an
// allowed sequence of events.
func TestCheckerReportsEachKindOfViolation(t *testing.T) {
	respond := func(c *Checker, kind ResponseKind, plan uint64) {
		sent := time.Now()
		time.Sleep(time.Millisecond)
		c.ResponseReceived(1, testJob, sent, kind, plan)
		time.Sleep(time.Millisecond)
	}
	for name, test := range map[string]struct {
		events func(t *testing.T, c *Checker, kv *fake.KVServer)
		want   []string // a substring of each violation, in the order of detection
	}{
		"stored, then accepted": {func(t *testing.T, c *Checker, kv *fake.KVServer) {
			respond(c, Indefinite, 0)
			storePendingSubmission(t, kv, testJob)
			respond(c, Accepted, 0)
			respond(c, Indefinite, 0)
		}, nil},
		"accepted without being stored": {func(_ *testing.T, c *Checker, _ *fake.KVServer) {
			respond(c, Accepted, 0)
		}, []string{"not linearizable"}},
		"stored twice": {func(t *testing.T, _ *Checker, kv *fake.KVServer) {
			storePendingSubmission(t, kv, testJob)
			storePendingSubmission(t, kv, testJob)
		}, []string{"accepted twice"}},
		"job that was never submitted": {func(t *testing.T, _ *Checker, kv *fake.KVServer) {
			storePendingSubmission(t, kv, "j-2")
		}, []string{"never submitted"}},
		"deferred by a plan that was never stored, after it was accepted": {func(t *testing.T, c *Checker, kv *fake.KVServer) {
			storePendingSubmission(t, kv, testJob)
			respond(c, Accepted, 0)
			respond(c, Deferred, 7)
		}, []string{"never stored", "not linearizable"}},
		"plan that cannot be decoded": {func(_ *testing.T, _ *Checker, kv *fake.KVServer) {
			kv.Apply(protocol.Txn{Then: []protocol.Change{{Set: admission.KeyPlan, Value: protocol.Encode(map[string]int{})}}})
		}, []string{"cannot be decoded"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kv := fake.NewKVServer()
				c := New(kv)
				if err := c.RegisterSubmission(fake.Submission(testJob, "team", "class", 1, 1)); err != nil {
					t.Fatal(err)
				}
				test.events(t, c, kv)
				got := c.Violations()
				if len(got) != len(test.want) {
					t.Fatalf("%q, want %q", got, test.want)
				}
				for i, part := range test.want {
					if !strings.Contains(got[i], part) {
						t.Errorf("%q, want %q", got[i], part)
					}
				}
			})
		})
	}
}

// A response with status 429 defers the job only if it names a plan; any other failure leaves the
// outcome unknown.
func TestResponsesAreClassified(t *testing.T) {
	deferred := protocol.Encode(protocol.ErrorResponse{PlanVersion: 3})
	for _, test := range []struct {
		status int
		body   []byte
		kind   ResponseKind
		plan   uint64
	}{
		{http.StatusOK, nil, Accepted, 0},
		{http.StatusCreated, nil, Accepted, 0},
		{http.StatusTooManyRequests, deferred, Deferred, 3},
		{http.StatusTooManyRequests, nil, Indefinite, 0},
		{http.StatusServiceUnavailable, deferred, Indefinite, 0},
	} {
		if kind, plan := ClassifyResponse(test.status, test.body); kind != test.kind || plan != test.plan {
			t.Errorf("status %d: %v by plan %d, want %v by plan %d", test.status, kind, plan, test.kind, test.plan)
		}
	}
}
