package federation

import (
	"errors"
	"testing"
	"testing/synctest"

	"dunestand/internal/protocol"
)

// A superseded leader begins no transfers after its first version conflict, and calls
// OnSuperseded exactly once.
func TestSupersededLeaderBeginsNoTransfer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFederation(t, 1)
		f.submit("mill", 2, "loomplan")
		c := f.cells["mill"]
		old, calls := c.manager, 0
		old.OnSuperseded = func() { calls++ }
		ctx := t.Context()
		if err := old.BeginTransfer(ctx, TransferRequest{Job: "j-000001", Class: "loomplan", Target: "dye", Work: 10}); err != nil {
			t.Fatal(err)
		}
		c.startLeader()
		c.manager.Cancel(ctx, "j-000001") // the new leader writes the record
		old.Cancel(ctx, "j-000001")
		for range 3 {
			old.Tick(ctx)
		}
		if err := old.BeginTransfer(ctx, TransferRequest{Job: "j-000002", Class: "loomplan", Target: "dye", Work: 10}); !errors.Is(err, ErrTransferNotBegun) {
			t.Errorf("superseded leader: BeginTransfer returns %v, want ErrTransferNotBegun", err)
		}
		if calls != 1 {
			t.Errorf("OnSuperseded was called %d times, want once", calls)
		}
	})
}

// A job that is not eligible for a transfer stays at its origin, and BeginTransfer returns an
// error.
func TestIneligibleJobIsNotTransferred(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFederation(t, 1)
		m := f.cells["mill"].manager
		for name, mutate := range map[string]func(*TransferRequest){
			"unknown class":  func(r *TransferRequest) { r.Class = "other" },
			"to own cell":    func(r *TransferRequest) { r.Target = "mill" },
			"unknown target": func(r *TransferRequest) { r.Target = "loom" },
			"restart limit":  func(r *TransferRequest) { r.Class, r.Restarts = "yarnrecount", 3 },
			"invalid job ID": func(r *TransferRequest) { r.Job = "job" },
		} {
			request := TransferRequest{Job: "j-000001", Class: "loomplan", Target: "dye", Work: 1}
			mutate(&request)
			if err := m.BeginTransfer(t.Context(), request); !errors.Is(err, ErrTransferNotBegun) || m.Owner("j-000001") != OwnerOrigin {
				t.Errorf("%s: error is %v, want ErrTransferNotBegun and an unchanged owner", name, err)
			}
		}
	})
}

// A record that cannot be decoded blocks its job: the record is not overwritten, and messages
// about its transfer are not answered.
func TestUnreadableRecordBlocksItsJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFederation(t, 1)
		c := f.cells["mill"]
		raw := protocol.Encode("damaged")
		in := TransferID{Origin: "dye", Job: "j-000009", Incarnation: 7}
		for _, key := range []string{outgoingKey("j-000001"), incomingKey(in)} {
			c.store.records[key] = protocol.Item{Key: key, Value: raw, Version: 5}
		}
		c.startLeader()
		if err := c.manager.ReadError("j-000001"); !errors.Is(err, ErrUnreadableRecord) || c.manager.Owner("j-000001") != OwnerNone {
			t.Errorf("job with an unreadable record is not blocked: read error is %v", err)
		}
		if err := c.manager.BeginTransfer(t.Context(), TransferRequest{Job: "j-000001", Class: "loomplan", Target: "dye", Work: 1}); !errors.Is(err, ErrTransferNotBegun) {
			t.Errorf("BeginTransfer of the blocked job returns %v, want ErrTransferNotBegun", err)
		}
		out := TransferID{Origin: "mill", Job: "j-000001", Incarnation: 1}
		c.manager.Receive(t.Context(), "dye", Message{Kind: MessageRefused, Transfer: out})
		c.manager.Receive(t.Context(), "dye", Message{Kind: MessageCommit, Transfer: in})
		c.manager.Tick(t.Context())
		if sent, writes := c.manager.Stats.Sent.Load(), c.manager.Stats.Writes.Load(); sent != 0 || writes != 0 {
			t.Errorf("%d messages and %d writes about unreadable records, want none", sent, writes)
		}
	})
}

// A message is accepted only from another cell of the cells file, and only about a transfer in
// which that cell has the matching role.
func TestForbiddenMessageIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newFakeFederation(t, 1).cells["mill"].manager
		idOf := func(cell string) TransferID { return TransferID{Origin: cell, Job: "j-000001", Incarnation: 1} }
		for n, c := range []struct {
			from string
			m    Message
		}{
			{"recipes", Message{Kind: MessageReserve, Transfer: idOf("dye"), Work: 1}},
			{"dye", Message{Kind: MessageRefused, Transfer: idOf("dye")}},
			{"mill", Message{Kind: MessageReserve, Transfer: idOf("mill"), Work: 1}},
			{"loom", Message{Kind: MessageReserve, Transfer: idOf("loom"), Work: 1}},
			{"dye", Message{Kind: messageKindCount, Transfer: idOf("dye")}},
		} {
			m.Receive(t.Context(), c.from, c.m)
			if got := m.Stats.Rejected.Load(); got != int64(n+1) || m.Stats.Sent.Load() != 0 {
				t.Errorf("message from %s (%v of %v): %d rejected and %d sent so far, want all rejected and none sent", c.from, c.m.Kind, c.m.Transfer, got, m.Stats.Sent.Load())
			}
		}
	})
}
