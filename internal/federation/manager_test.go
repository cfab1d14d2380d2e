package federation

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

func newFakeRegion(t *testing.T, seed uint64) *fakeRegion {
	cells := loadExampleConfig(t)
	cells.Timing = Timing{Lease: 10 * units.Second, StopGrace: 15 * units.Second}
	r := &fakeRegion{
		t:           t,
		clock:       bubbleClock{time.Now()},
		random:      rand.New(rand.NewPCG(seed, 1)),
		cells:       map[string]*fakeCell{},
		config:      cells,
		partitioned: map[string]bool{},
		answers:     map[string]string{},
		runningIn:   map[string]map[string]bool{},
	}
	for name, slots := range map[string]int{"mill": 4, "dye": 16, "recipes": 16} {
		r.cells[name] = &fakeCell{
			name:        name,
			region:      r,
			store:       &fakeStore{records: map[string]protocol.Item{}},
			slots:       slots,
			guestDone:   map[TransferID]TaskSet{},
			guestWanted: map[TransferID]bool{},
		}
	}
	for _, c := range r.cells {
		c.startLeader()
	}
	return r
}

// pass lets the cells work for a time.
func (r *fakeRegion) advance(length time.Duration) {
	for step := range int(length / (250 * time.Millisecond)) {
		time.Sleep(250 * time.Millisecond)
		synctest.Wait()
		for _, name := range []string{"mill", "dye", "recipes"} {
			r.cells[name].stepMachines()
			if step%4 == 0 {
				r.cells[name].stepLeader(context.Background())
			}
		}
	}
}

func (r *fakeRegion) submit(cell string, n int, class string) {
	c := r.cells[cell]
	c.mu.Lock()
	defer c.mu.Unlock()
	for range n {
		c.jobs = append(c.jobs, &fakeJob{id: fmt.Sprintf("j-%06d", len(c.jobs)+1), class: class})
	}
}

// Three stand-in cells, the mill overloaded, the dyehouse cut off and later without half
// of its machines, leaders ending all the while: every job gets exactly one final answer.
func TestThreeFakeCellsGiveOneFinalAnswerPerJob(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testThreeFakeCells(t, seed) })
		})
	}
}

func testThreeFakeCells(t *testing.T, seed uint64) {
	r := newFakeRegion(t, seed)
	for _, class := range []string{"loomplan", "rushorder", "yarnrecount"} {
		r.submit("mill", 12, class)
	}
	r.advance(8 * time.Second)
	r.setPartitioned("dye", true)
	r.cancelSome()
	r.restartLeader("mill", 2*time.Second)
	r.advance(40 * time.Second)
	r.restartLeader("dye", time.Second)
	r.advance(60 * time.Second)
	r.setPartitioned("dye", false)
	r.cells["dye"].slots /= 2
	r.restartLeader("recipes", 20*time.Second)
	r.advance(10 * time.Second)
	r.failStore("mill", 15*time.Second)
	r.advance(10 * time.Minute)
	count := map[string]int{}
	for _, j := range r.cells["mill"].jobs {
		count[r.answers[j.id]]++
	}
	if count["done"]+count["cancelled"] != 36 || count["done"] < 30 {
		t.Errorf("36 jobs ended as %v", count)
	}
	moved, messages, saves := 0, int64(0), int64(0)
	for name, c := range r.cells {
		messages += c.manager.Stats.Sent.Load()
		saves += c.manager.Stats.Writes.Load()
		if len(c.store.records) != 0 {
			t.Errorf("%s keeps %d records", name, len(c.store.records))
		}
		moved += len(c.guestDone)
	}
	if moved == 0 {
		t.Error("no job was handed over")
	}
	t.Logf("%v; %d transfers began to run; of the last leaders %d messages, %d saves", count, moved, messages, saves)
	for _, c := range r.cells {
		c.stopLeader()
	}
	time.Sleep(2 * time.Minute) // late messages
}

func (r *fakeRegion) setPartitioned(cell string, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partitioned[cell] = cut
}

// cancelSome cancels every sixth job.
func (r *fakeRegion) cancelSome() {
	c := r.cells["mill"]
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, j := range c.jobs {
		j.cancelRequested = j.cancelRequested || k%6 == 5
	}
}

func (r *fakeRegion) restartLeader(cell string, away time.Duration) {
	r.cells[cell].stopLeader()
	r.advance(away)
	r.cells[cell].startLeader()
}

// outage has a cell's state service refuse for a while.
func (r *fakeRegion) failStore(cell string, length time.Duration) {
	s := r.cells[cell].store
	set := func(down bool) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.down = down
	}
	set(true)
	r.advance(length)
	set(false)
}

// A leader that was replaced stores nothing, stops, and says so once.
func TestSupersededLeaderStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFakeRegion(t, 1)
		r.submit("mill", 2, "loomplan")
		c := r.cells["mill"]
		old, lost := c.manager, 0
		old.OnSuperseded = func() { lost++ }
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
		if lost != 1 {
			t.Errorf("it says %d times that it was replaced", lost)
		}
	})
}

// What may not be handed over is refused with the reason, and stays where it is.
func TestIneligibleJobIsNotHandedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFakeRegion(t, 1)
		m := r.cells["mill"].manager
		for name, spoil := range map[string]func(*HandOverRequest){
			"unknown class": func(r *HandOverRequest) { r.Class = "other" },
			"to itself":     func(r *HandOverRequest) { r.Target = "mill" },
			"to nowhere":    func(r *HandOverRequest) { r.Target = "loom" },
			"used up":       func(r *HandOverRequest) { r.Class, r.Restarts = "yarnrecount", 3 },
			"bad id":        func(r *HandOverRequest) { r.Job = "job" },
		} {
			request := HandOverRequest{Job: "j-000001", Class: "loomplan", Target: "dye", Work: 1}
			spoil(&request)
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
		r := newFakeRegion(t, 1)
		c := r.cells["mill"]
		raw := protocol.Encode("damaged")
		in := TransferID{Origin: "dye", Job: "j-000009", Incarnation: 7}
		for _, key := range []string{PrefixOut + "j-000001", incomingKey(in)} {
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
		if sent, saves := c.manager.Stats.Sent.Load(), c.manager.Stats.Writes.Load(); sent != 0 || saves != 0 {
			t.Errorf("%d messages and %d saves about what cannot be read", sent, saves)
		}
	})
}

// A cell may speak only for its own transfers, and only cells of the file are heard.
func TestForbiddenMessageIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newFakeRegion(t, 1).cells["mill"].manager
		of := func(cell string) TransferID { return TransferID{Origin: cell, Job: "j-000001", Incarnation: 1} }
		for n, c := range []struct {
			from string
			m    Message
		}{
			{"recipes", Message{Kind: MessageReserve, Transfer: of("dye"), Work: 1}},
			{"dye", Message{Kind: MessageRefused, Transfer: of("dye")}},
			{"mill", Message{Kind: MessageReserve, Transfer: of("mill"), Work: 1}},
			{"loom", Message{Kind: MessageReserve, Transfer: of("loom"), Work: 1}},
			{"dye", Message{Kind: messageKindCount, Transfer: of("dye")}},
		} {
			m.Receive(t.Context(), c.from, c.m)
			if got := m.Stats.Rejected.Load(); got != int64(n+1) || m.Stats.Sent.Load() != 0 {
				t.Errorf("%s says %v of %v: rejected %d, answered %d", c.from, c.m.Kind, c.m.Transfer, got, m.Stats.Sent.Load())
			}
		}
	})
}
