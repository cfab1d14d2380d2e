package federation

import (
	"testing"
	"testing/synctest"
	"time"

	"dunestand/internal/units"
)

// originRecord returns the transfer record of a job of this cell.
func (m *Manager) originRecord(job string) OriginRecord {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.outgoing[job].record
}

// newFederationWithTransfer returns a federation in which cell dye runs a job of cell
// mill, and the ID of the transfer.
func newFederationWithTransfer(t *testing.T, class string) (*fakeFederation, TransferID) {
	t.Helper()
	f := newFakeFederation(t, 3)
	f.submit("mill", 1, class)
	c := f.cells["mill"]
	c.jobs[0].transferred = true
	if err := c.manager.BeginTransfer(t.Context(), TransferRequest{Job: "j-000001", Class: class, Target: "dye", Work: 10}); err != nil {
		t.Fatal(err)
	}
	id := c.manager.originRecord("j-000001").Transfer
	for range 20 {
		if f.advance(time.Second); f.cells["dye"].manager.MayRun(id) {
			return f, id
		}
	}
	t.Fatal("target is not allowed to run the job within 20 s")
	return nil, id
}

// A job whose target is partitioned permanently is reclaimed after the reclaim delay. A job
// that may not be restarted stays with its target.
func TestJobIsReclaimedFromPartitionedCell(t *testing.T) {
	for class, want := range map[string]Owner{"loomplan": OwnerOrigin, "rushorder": OwnerTarget} {
		synctest.Test(t, func(t *testing.T) {
			f, _ := newFederationWithTransfer(t, class)
			f.cells["dye"].slots = 0 // so that the job makes no progress
			f.setPartitioned("dye", true)
			m := f.cells["mill"].manager
			f.advance((reclaimAfterLeases*f.config.Timing.Lease + f.config.Timing.ReclaimDelay() + 3*units.Second).Duration())
			if got := m.Owner("j-000001"); got != want && !(want == OwnerOrigin && got == OwnerEnded) {
				t.Errorf("class %s: owner is %v, want %v", class, got, want)
			}
		})
	}
}

// A new leader does not know when the previous one granted its last lease, so it counts the
// reclaim delay from its own election, even if the job is cancelled immediately.
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
			t.Errorf("before the reclaim delay: owner is %v, want none", got)
		}
		f.advance(4 * time.Second)
		if got := c.manager.Owner("j-000001"); got != OwnerEnded || f.answers["j-000001"] != "cancelled" {
			t.Errorf("after the reclaim delay: owner is %v and answer is %q, want ended and cancelled", got, f.answers["j-000001"])
		}
		if d := f.cells["dye"]; d.manager.MayRun(id) || d.incomingWanted[id] {
			t.Error("target keeps running the job after the reclaim delay")
		}
	})
}

// While writes fail, records do not change, and messages that depend on a write are not sent.
func TestNothingIsSentBeforeItIsStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFederation(t, 1)
		m := f.cells["mill"].manager
		if err := m.BeginTransfer(t.Context(), TransferRequest{Job: "j-000001", Class: "loomplan", Target: "dye", Work: 10}); err != nil {
			t.Fatal(err)
		}
		id := m.originRecord("j-000001").Transfer
		f.cells["mill"].store.down = true
		before := m.Stats.Sent.Load()
		m.Receive(t.Context(), "dye", Message{Kind: MessageReserved, Transfer: id})
		m.Receive(t.Context(), "dye", Message{Kind: MessageReserve, Transfer: TransferID{"dye", "j-000002", 1}, Work: 1})
		if sent := m.Stats.Sent.Load() - before; sent != 0 || m.originRecord("j-000001").Phase != OriginIntended {
			t.Errorf("%d messages sent and phase is %v, want 0 and intended", sent, m.originRecord("j-000001").Phase)
		}
		if free := m.FreeCapacity(); free != Work(f.cells["mill"].slots)*fakeSlotCapacity {
			t.Errorf("free capacity is %d: a reservation without a stored record is kept", free)
		}
	})
}

// A result is accepted only from the target of the transfer, and only until the job has reached
// a terminal state at its origin.
func TestLateOrForbiddenResultChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, id := newFederationWithTransfer(t, "loomplan")
		m := f.cells["mill"].manager
		result := Message{Kind: MessageResult, Transfer: id, Done: TaskSet{15}, Run: 1}
		m.Receive(t.Context(), "recipes", result)
		if got := m.Owner("j-000001"); got != OwnerTarget {
			t.Errorf("after a result from a cell other than the target: owner is %v, want target", got)
		}
		if m.EndJob(t.Context(), "j-000001") {
			t.Error("EndJob permits the end of a job that is at its target")
		}
		m.mu.Lock()
		m.outgoing["j-000001"].record.Phase = OriginReturned
		m.mu.Unlock()
		if !m.EndJob(t.Context(), "j-000001") {
			t.Fatal("EndJob does not permit the end of a returned job")
		}
		m.Receive(t.Context(), "dye", result)
		if phase := m.originRecord("j-000001").Phase; phase != OriginWithdrawn {
			t.Errorf("after a result that follows the end of the job: phase is %v, want withdrawn", phase)
		}
	})
}

// nonDurableScheduler is a fakeCell that cannot store the end of its jobs.
type nonDurableScheduler struct{ *fakeCell }

func (nonDurableScheduler) Finished(string, TaskSet) bool { return false }

// The transfer record of a finished job is kept until the scheduler has stored the end of the
// job durably. Otherwise the result would be lost.
func TestRecordStaysUntilTheJobsEndIsDurable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, id := newFederationWithTransfer(t, "loomplan")
		c := f.cells["mill"]
		c.manager.Scheduler = nonDurableScheduler{c}
		f.advance(time.Minute)
		key := outgoingKey(id.Job)
		if _, stored := c.store.records[key]; !stored {
			t.Fatal("record was deleted before the end of the job was durable")
		}
		if got := c.manager.Owner(id.Job); got != OwnerEnded {
			t.Errorf("owner is %v, want %v", got, OwnerEnded)
		}
		c.manager.Scheduler = c
		f.advance(10 * time.Second)
		if _, stored := c.store.records[key]; stored {
			t.Error("record was not deleted although the end of the job is durable")
		}
	})
}
