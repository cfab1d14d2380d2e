package federation

import (
	"errors"
	"testing"
	"testing/synctest"

	"dunestand/internal/protocol"
)

// A leader that was replaced writes nothing, stops, and reports that once.
func TestSupersededLeaderStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFederation(t, 1)
		f.submit("mill", 2, "loomplan")
		c := f.cells["mill"]
		old, calls := c.manager, 0
		old.OnSuperseded = func() { calls++ }
		ctx := t.Context()
		if err := old.HandOver(ctx, HandOverRequest{Job: "j-000001", Class: "loomplan", Target: "dye", Work: 10}); err != nil {
			t.Fatal(err)
		}
		c.startLeader()
		c.manager.Cancel(ctx, "j-000001") // the new leader writes
		old.Cancel(ctx, "j-000001")
		for range 3 {
			old.Tick(ctx)
		}
		if err := old.HandOver(ctx, HandOverRequest{Job: "j-000002", Class: "loomplan", Target: "dye", Work: 10}); !errors.Is(err, ErrNotHandedOver) {
			t.Errorf("it begins a transfer: %v", err)
		}
		if calls != 1 {
			t.Errorf("it reports %d times that it was replaced", calls)
		}
	})
}

// A job that may not be handed over stays where it is, and the error gives the reason.
func TestIneligibleJobIsNotHandedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFederation(t, 1)
		m := f.cells["mill"].manager
		for name, mutate := range map[string]func(*HandOverRequest){
			"unknown class": func(f *HandOverRequest) { f.Class = "other" },
			"to itself":     func(f *HandOverRequest) { f.Target = "mill" },
			"to nowhere":    func(f *HandOverRequest) { f.Target = "loom" },
			"used up":       func(f *HandOverRequest) { f.Class, f.Restarts = "yarnrecount", 3 },
			"bad id":        func(f *HandOverRequest) { f.Job = "job" },
		} {
			request := HandOverRequest{Job: "j-000001", Class: "loomplan", Target: "dye", Work: 1}
			mutate(&request)
			if err := m.HandOver(t.Context(), request); !errors.Is(err, ErrNotHandedOver) || m.Owner("j-000001") != OwnerOrigin {
				t.Errorf("%s: %v", name, err)
			}
		}
	})
}

// A record that cannot be read blocks its job alone: it is not replaced, and messages
// about it get no answer.
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
			t.Errorf("the job is not blocked: %v", err)
		}
		if err := c.manager.HandOver(t.Context(), HandOverRequest{Job: "j-000001", Class: "loomplan", Target: "dye", Work: 1}); !errors.Is(err, ErrNotHandedOver) {
			t.Errorf("it is handed over: %v", err)
		}
		out := TransferID{Origin: "mill", Job: "j-000001", Incarnation: 1}
		c.manager.Receive(t.Context(), "dye", Message{Kind: MessageRefused, Transfer: out})
		c.manager.Receive(t.Context(), "dye", Message{Kind: MessageCommit, Transfer: in})
		c.manager.Tick(t.Context())
		if sent, writes := c.manager.Stats.Sent.Load(), c.manager.Stats.Writes.Load(); sent != 0 || writes != 0 {
			t.Errorf("%d messages and %d writes about what cannot be read", sent, writes)
		}
	})
}

// Messages are accepted only from cells of the cells file, and only about their transfers.
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
				t.Errorf("%s says %v of %v: rejected %d, answered %d", c.from, c.m.Kind, c.m.Transfer, got, m.Stats.Sent.Load())
			}
		}
	})
}
