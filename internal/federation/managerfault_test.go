package federation

import (
	"testing"
	"testing/synctest"
	"time"

	"dunestand/internal/units"
)

// originRecord returns the record of a transfer of a job of this cell.
func (m *Manager) originRecord(job string) OriginRecord {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.outgoing[job].record
}

// newFederationWithTransfer returns a region in which the dyehouse runs a job of the mill, and the
// transfer of that job.
func newFederationWithTransfer(t *testing.T, class string) (*fakeFederation, TransferID) {
	t.Helper()
	f := newFakeFederation(t, 3)
	f.submit("mill", 1, class)
	c := f.cells["mill"]
	c.jobs[0].handedOver = true
	if err := c.manager.HandOver(t.Context(), HandOverRequest{Job: "j-000001", Class: class, Target: "dye", Work: 10}); err != nil {
		t.Fatal(err)
	}
	id := c.manager.originRecord("j-000001").Transfer
	for range 20 {
		if f.advance(time.Second); f.cells["dye"].manager.MayRun(id) {
			return f, id
		}
	}
	t.Fatal("the target does not get to run the job")
	return nil, id
}

// A job whose target is partitioned for ever is reclaimed once lease, grace period and drift
// have passed; one that may not be restarted waits.
func TestJobIsReclaimedFromPartitionedCell(t *testing.T) {
	for class, want := range map[string]Owner{"loomplan": OwnerOrigin, "rushorder": OwnerTarget} {
		synctest.Test(t, func(t *testing.T) {
			f, _ := newFederationWithTransfer(t, class)
			f.cells["dye"].slots = 0 // so that the job gets no further
			f.setPartitioned("dye", true)
			m := f.cells["mill"].manager
			f.advance((reclaimAfterLeases*f.config.Timing.Lease + f.config.Timing.ReclaimDelay() + 3*units.Second).Duration())
			if got := m.Owner("j-000001"); got != want && !(want == OwnerOrigin && got == OwnerEnded) {
				t.Errorf("%s: owner %v, want %v", class, got, want)
			}
		})
	}
}

// A leader that takes over while a job is elsewhere does not know when its predecessor
// granted a lease last: it counts from its own election, also when the job is cancelled at
// once.
func TestNewLeaderWaitsForPredecessorsGrants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, id := newFederationWithTransfer(t, "loomplan")
		c := f.cells["mill"]
		c.stopLeader()
		f.setPartitioned("dye", true)
		c.startLeader()
		c.manager.Cancel(t.Context(), "j-000001")
		f.advance((f.config.Timing.ReclaimDelay() - 2*units.Second).Duration())
		if got := c.manager.Owner("j-000001"); got != OwnerNone {
			t.Errorf("before the reclaim delay: owner %v", got)
		}
		f.advance(4 * time.Second)
		if got := c.manager.Owner("j-000001"); got != OwnerEnded || f.answers["j-000001"] != "cancelled" {
			t.Errorf("after the reclaim delay: owner %v, answer %q", got, f.answers["j-000001"])
		}
		if d := f.cells["dye"]; d.manager.MayRun(id) || d.incomingWanted[id] {
			t.Error("the target goes on")
		}
	})
}

// While the store is down no record changes, and nothing is sent that rests on a change.
func TestNothingIsSentBeforeItIsStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFederation(t, 1)
		m := f.cells["mill"].manager
		if err := m.HandOver(t.Context(), HandOverRequest{Job: "j-000001", Class: "loomplan", Target: "dye", Work: 10}); err != nil {
			t.Fatal(err)
		}
		id := m.originRecord("j-000001").Transfer
		f.cells["mill"].store.down = true
		before := m.Stats.Sent.Load()
		m.Receive(t.Context(), "dye", Message{Kind: MessageReserved, Transfer: id})
		m.Receive(t.Context(), "dye", Message{Kind: MessageReserve, Transfer: TransferID{"dye", "j-000002", 1}, Work: 1})
		if sent := m.Stats.Sent.Load() - before; sent != 0 || m.originRecord("j-000001").Phase != OriginIntended {
			t.Errorf("%d messages, phase %v", sent, m.originRecord("j-000001").Phase)
		}
		if free := m.FreeCapacity(); free != Work(f.cells["mill"].slots)*fakeSlotCapacity {
			t.Errorf("%d free: a reservation that is not stored is kept", free)
		}
	})
}

// Only the target's result counts, and none once the job's user was told of its end.
func TestLateOrForbiddenResultChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, id := newFederationWithTransfer(t, "loomplan")
		m := f.cells["mill"].manager
		result := Message{Kind: MessageResult, Transfer: id, Done: TaskSet{15}, Run: 1}
		m.Receive(t.Context(), "recipes", result)
		if got := m.Owner("j-000001"); got != OwnerTarget {
			t.Errorf("after a result of another cell: owner %v", got)
		}
		if m.JobEnded(t.Context(), "j-000001") {
			t.Error("a job that is elsewhere may end here")
		}
		m.mu.Lock()
		m.outgoing["j-000001"].record.Phase = OriginReturned
		m.mu.Unlock()
		if !m.JobEnded(t.Context(), "j-000001") {
			t.Fatal("a job that is back may not end")
		}
		m.Receive(t.Context(), "dye", result)
		if phase := m.originRecord("j-000001").Phase; phase != OriginWithdrawn {
			t.Errorf("a result after the job's end: phase %v", phase)
		}
	})
}

// nonDurableScheduler is a cell that cannot store the end of its jobs.
type nonDurableScheduler struct{ *fakeCell }

func (nonDurableScheduler) Finished(string, TaskSet) bool { return false }

// The record of a transfer is what is known of the job's end until that is durable in the
// cell itself.
func TestRecordStaysUntilTheJobsEndIsDurable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, id := newFederationWithTransfer(t, "loomplan")
		c := f.cells["mill"]
		c.manager.Scheduler = nonDurableScheduler{c}
		f.advance(time.Minute)
		key := outgoingKey(id.Job)
		if _, stored := c.store.records[key]; !stored {
			t.Fatal("the record is gone before the job's end is durable")
		}
		if got := c.manager.Owner(id.Job); got != OwnerEnded {
			t.Errorf("owner %v, want %v", got, OwnerEnded)
		}
		c.manager.Scheduler = c
		f.advance(10 * time.Second)
		if _, stored := c.store.records[key]; stored {
			t.Error("the record stays though the job's end is durable")
		}
	})
}
