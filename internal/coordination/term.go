package coordination

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"time"

	"dunestand/internal/bookkeeping"
	"dunestand/internal/config"
	"dunestand/internal/protocol"
	"dunestand/internal/transport"
	"dunestand/internal/units"
)

// Deps is what a term works with.
type Deps struct {
	Settings *config.Settings
	Policy   *config.Policy
	Store    *bookkeeping.Store
	Cloud    *bookkeeping.Cloud
	Lease    *FleetLease
	Clock    units.Clock
	Log      *slog.Logger
	Dial     transport.DialFunc // nil: the machine's own network
	Metrics  *Metrics
	Format   *FleetFormat
	// Unreached counts the other controllers that cannot be reached.
	Unreached func() int
	// PeerInReach tells whether any other controller answers.
	PeerInReach func() bool
}

// Term is one node's time as leader. What it knows is gone with it.
type Term struct {
	Deps
	number    uint64
	claimedAt units.Micros
	traces    bool // steps of attempts are logged

	mu               sync.Mutex
	settled          bool
	ready            bool
	ledger           *bookkeeping.Ledger
	heads            []uint64
	finals           *finalCache
	attempts         uint64
	saves            uint64
	hires            uint64
	turnover         turnover
	lastRound        units.Micros
	lastWork         units.Micros                              // when there was an unfinished job that ends by itself
	roundCost        units.Micros                              // moving mean
	queue            []queued                                  // waiting jobs as the last round saw them
	held             map[*bookkeeping.Machine]*bookkeeping.Job // whose room the last round keeps together for whom
	offered          bool                                      // the last round left no machine unasked for what waits
	lastSummary      units.Micros
	lastTimeoutCheck units.Micros
	unreached        int          // the most controllers out of reach at a time in this term
	judgeFrom        units.Micros // this node was late itself: until then no machine's silence is judged
	tombs            map[string]units.Micros
	kept             map[*bookkeeping.Machine]units.Resources // room that the last round kept for replicas
	hurried          map[string]*hurried                      // machines that are told something before their next report
	saving           int
	rent             renting

	restored   chan struct{} // closed once the records are restored
	kickSave   chan struct{}
	kickRound  chan struct{}
	kickDirect chan struct{}
}

// NewTerm starts a term that was just claimed. Everything waits for Run to
// restore the records.
func NewTerm(number uint64, deps Deps) *Term {
	deps.Log = deps.Log.With("term", number)
	return &Term{Deps: deps, number: number, traces: deps.Log.Enabled(context.Background(), slog.LevelDebug), claimedAt: deps.Clock.Steady(), lastWork: deps.Clock.Steady(),
		ledger: bookkeeping.NewLedger(deps.Settings.Fleet.Teams, deps.Settings.Fleet.State), heads: make([]uint64, bookkeeping.Buckets),
		restored: make(chan struct{}), finals: newFinalCache(4096), tombs: map[string]units.Micros{}, hurried: map[string]*hurried{}, kept: map[*bookkeeping.Machine]units.Resources{},
		rent: newRenting(), held: map[*bookkeeping.Machine]*bookkeeping.Job{},
		kickSave: make(chan struct{}, 1), kickRound: make(chan struct{}, 1), kickDirect: make(chan struct{}, 1)}
}

func kick(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// pause waits, and tells whether to go on.
func pause(ctx context.Context, d units.Micros) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d.Duration()):
		return true
	}
}

// Run restores the records and then leads until ctx ends.
func (t *Term) Run(ctx context.Context) {
	t.Log.Info("term begins")
	for !t.restore(ctx) {
		if !pause(ctx, 200*units.Millisecond) {
			return
		}
	}
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){t.saveLoop, t.roundLoop, t.cloudLoop, t.lagLoop, t.announceLoop, t.inboxLoop, t.directLoop} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			loop(ctx)
		}()
	}
	wg.Wait()
	t.Log.Info("term ends")
}

const stateCall = 1500 * units.Millisecond

// restore claims the buckets and reads their jobs.
func (t *Term) restore(ctx context.Context) bool {
	if err := t.claimBuckets(ctx); err != nil {
		t.Log.Info("buckets not claimed yet", "error", err)
		return false
	}
	if err := t.Format.Read(ctx); err != nil {
		t.Log.Info("the fleet's format is not read yet", "error", err)
		return false
	}
	if t.Format.Newer() {
		t.Lease.StandBack(standBack)
		return false
	}
	rows, err := t.listAll(ctx, bookkeeping.PrefixJobs)
	if err != nil {
		t.Log.Info("records not read yet", "error", err)
		return false
	}
	jobs, orphans, err := bookkeeping.ParseJobs(rows)
	if err == nil {
		for _, id := range sortedKeys(orphans) {
			_, over, ferr := t.readFinal(ctx, id)
			if ferr != nil {
				t.Log.Info("records not read yet", "error", ferr)
				return false
			}
			if !over {
				err = fmt.Errorf("record %s: belongs to no job", orphans[id][0])
			}
		}
	}
	if err != nil {
		// Leading without such a job would forget it. Another node may be of a
		// version that reads it; if none is, nobody leads until an operator has
		// looked.
		t.Log.Error("records are not readable; nothing is placed, and this node stands back", "error", err)
		t.Lease.StandBack(standBack)
		return false
	}
	list, err := t.listAll(ctx, bookkeeping.KeyCatalog)
	if err != nil {
		return false
	}
	catalog, stored, err := bookkeeping.ParseCatalog(list)
	if err != nil {
		t.Log.Error("stored catalog is not readable", "error", err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rent.catalogStored = stored
	for _, id := range sortedKeys(orphans) {
		t.ledger.Leave(id, orphans[id])
	}
	t.install(jobs, catalog)
	return true
}

// standBack is for how long a node that could not read the records leaves the
// lease to others.
const standBack = 30 * units.Second

// install takes over what the records say.
func (t *Term) install(jobs []*bookkeeping.Job, catalog protocol.Catalog) {
	now := t.Clock.Steady()
	t.ledger.SetTypes(catalog.Types)
	t.ledger.Raise(t.Format.Level(), now)
	for _, j := range jobs {
		j.Since = now
		t.ledger.Add(j)
	}
	t.ready = true
	close(t.restored)
	t.Log.Info("records restored", "jobs", len(jobs), "doubtful_machines", t.ledger.Doubts(), "took_ms", (now-t.claimedAt)/units.Millisecond)
	kick(t.kickRound)
}

// claimBuckets raises every bucket's incarnation, a transaction's worth at a
// time: from then on, saves of a former leader that are still on their way
// fail.
func (t *Term) claimBuckets(ctx context.Context) error {
	items, err := t.listAll(ctx, bookkeeping.PrefixHeads)
	if err != nil {
		return err
	}
	byKey := map[string]protocol.Item{}
	for _, i := range items {
		byKey[i.Key] = i
	}
	save := t.saveID()
	var txn protocol.Txn
	var claiming []int
	for b := range bookkeeping.Buckets {
		key := bookkeeping.KeyHead(b)
		var head bookkeeping.Lease
		item, ok := byKey[key]
		if ok {
			if err := protocol.Decode(item.Value, &head); err != nil {
				return fmt.Errorf("record %s: %w", key, err)
			}
		}
		if ok && t.isOwn(head) {
			t.heads[b] = item.Version // by an earlier try that got no answer
			continue
		}
		head = bookkeeping.Lease{Holder: t.Settings.Node, Incarnation: head.Incarnation + 1, Save: save}
		txn.If = append(txn.If, protocol.Condition{Key: key, Version: item.Version})
		txn.Then = append(txn.Then, protocol.Change{Set: key, Value: protocol.Encode(head)})
		claiming = append(claiming, b)
	}
	step := t.Settings.Fleet.State.Both().TxnOps
	for from := 0; from < len(claiming); from += step {
		to := min(from+step, len(claiming))
		version, err := t.Store.Commit(ctx, protocol.Txn{If: txn.If[from:to], Then: txn.Then[from:to]}, true, stateCall)
		if err != nil {
			return err // tried again, with the versions then read
		}
		for _, b := range claiming[from:to] {
			t.heads[b] = version
		}
	}
	return nil
}

// isOwn tells whether a bucket's head was claimed in this very term.
func (t *Term) isOwn(head bookkeeping.Lease) bool {
	return head.Holder == t.Settings.Node && strings.HasPrefix(head.Save, fmt.Sprintf("%d-", t.number))
}

func (t *Term) listAll(ctx context.Context, prefix string) ([]protocol.Item, error) {
	var all []protocol.Item
	from := ""
	for {
		page, err := t.Store.List(ctx, prefix, from, 3*units.Second)
		if err != nil {
			return nil, err
		}
		all = append(all, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return all, nil
		}
		from = page.Items[len(page.Items)-1].Key
	}
}

func (t *Term) saveID() string {
	t.saves++
	return fmt.Sprintf("%d-%d", t.number, t.saves)
}

const (
	maxSaving  = 3                       // saves on their way at a time
	lazySave   = units.Second            // changes nobody waits for are gathered so long
	saveGather = 2 * units.Millisecond   // submissions that come together are saved together
	saveTick   = 200 * units.Millisecond // for the changes nobody waits for
)

// saveLoop writes changed records.
func (t *Term) saveLoop(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.kickSave:
			if !pause(ctx, saveGather) {
				return
			}
		case <-time.After(saveTick.Duration()):
		}
		for {
			t.mu.Lock()
			var s *bookkeeping.Save
			if t.saving < maxSaving {
				now := t.Clock.Steady()
				t.ledger.Raise(t.Format.Level(), now)
				s = t.ledger.BuildSave(t.saveID(), t.heads, bookkeeping.SaveLimits{Lazy: lazySave, Tasks: t.Store.WritesSpare()}, now)
			}
			if s != nil {
				t.saving++
			}
			t.mu.Unlock()
			if s == nil {
				break
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				t.commit(ctx, s)
				t.mu.Lock()
				t.saving--
				t.mu.Unlock()
				kick(t.kickSave)
			}()
		}
	}
}

// commit carries a save through. A save without an answer may be carried out
// at any later time, so the very same one is sent until its outcome is known:
// its conditions see to it that it happens once.
func (t *Term) commit(ctx context.Context, s *bookkeeping.Save) {
	uncertain := false
	began := t.Clock.Steady()
	for wait := 100 * units.Millisecond; ; wait = min(2*wait, 400*units.Millisecond) {
		version, err := t.Store.Commit(ctx, s.Txn, false, stateCall)
		if err == nil {
			if t.traces {
				t.Log.Debug("save carried out", "jobs", s.Jobs(), "changes", len(s.Txn.Then),
					"took_us", int64(t.Clock.Steady()-began))
			}
			t.applied(s, version)
			return
		}
		var conflict *bookkeeping.ConflictError
		switch {
		case errors.As(err, &conflict):
			if uncertain && s.Probe() != "" {
				version, ours, err := t.probe(ctx, s)
				if err != nil {
					break
				}
				if ours {
					t.applied(s, version)
					return
				}
			}
			t.conflicted(ctx, s, conflict)
			return
		case errors.Is(err, bookkeeping.ErrUncertain):
			uncertain = true
		case errors.Is(err, bookkeeping.ErrRejected):
			t.rejected(ctx, s, uncertain)
			return
		case !errors.Is(err, bookkeeping.ErrRefused):
			t.Log.Error("save not understood", "jobs", s.Jobs(), "error", err)
			uncertain = true
		}
		if !pause(ctx, wait) {
			return
		}
	}
}

// rejectedPause spaces saves that the state service does not take.
const rejectedPause = 400 * units.Millisecond

// rejected handles a save that the state service will not take as it is: it has
// lower limits now. The save is built anew. But one that was sent before and got
// no answer may have been carried out, or may be still.
func (t *Term) rejected(ctx context.Context, s *bookkeeping.Save, uncertain bool) {
	for uncertain {
		version, ours, err := t.probe(ctx, s)
		if err == nil && ours {
			t.applied(s, version)
			return
		}
		if err == nil {
			// Only a new term's claim makes certain that it never is.
			t.Log.Info("save rejected after a try without an answer; the term is given up", "jobs", s.Jobs())
			t.Lease.Resign()
			return
		}
		if !pause(ctx, rejectedPause) {
			return
		}
	}
	t.mu.Lock()
	first := t.ledger.Tighten()
	t.mu.Unlock()
	t.Store.Tighten()
	t.Log.Error("save rejected; it is built anew", "jobs", s.Jobs(), "changes", len(s.Txn.Then), "limits_lowered", first)
	if !first && !pause(ctx, rejectedPause) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ledger.Rejected(s, t.Clock.Steady())
}

func (t *Term) probe(ctx context.Context, s *bookkeeping.Save) (uint64, bool, error) {
	item, ok, err := t.Store.Get(ctx, s.Probe(), stateCall)
	if err != nil || !ok {
		return 0, false, err
	}
	var rec struct {
		Save string `cbor:"save"`
	}
	if err := protocol.Decode(item.Value, &rec); err != nil {
		return 0, false, err
	}
	return item.Version, rec.Save == s.ID, nil
}

func (t *Term) applied(s *bookkeeping.Save, version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, f := range t.ledger.Applied(s, version) {
		t.finals.put(id, f)
		t.Log.Info("job over", "job", id, "stage", f.Stage, "done", f.Done)
	}
	kick(t.kickRound)
}

// conflicted handles a save that was certainly not carried out: either it
// submits the id of a job that is over, or somebody else has claimed our
// buckets and this term is at its end.
func (t *Term) conflicted(ctx context.Context, s *bookkeeping.Save, c *bookkeeping.ConflictError) {
	over := map[string]bookkeeping.Final{}
	for _, key := range c.Keys {
		id, isFinal := bookkeeping.JobOfFinal(key)
		if !isFinal {
			if t.Lease.Valid(t.number) {
				t.Log.Error("save met another writer's version; the term is given up", "keys", c.Keys, "jobs", s.Jobs())
			}
			t.Lease.Resign()
			return
		}
		for {
			f, ok, err := t.readFinal(ctx, id)
			if err == nil {
				if ok {
					over[id] = f
				}
				break
			}
			if !pause(ctx, 200*units.Millisecond) {
				return
			}
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ledger.Refused(s, t.Clock.Steady())
	for id, f := range over {
		t.finals.put(id, f)
		t.ledger.Drop(id)
	}
}

func (t *Term) readFinal(ctx context.Context, id string) (bookkeeping.Final, bool, error) {
	return ReadFinal(ctx, t.Store, id)
}

// ReadFinal reads a finished job's record.
func ReadFinal(ctx context.Context, store *bookkeeping.Store, id string) (bookkeeping.Final, bool, error) {
	var f bookkeeping.Final
	item, ok, err := store.Get(ctx, bookkeeping.KeyFinal(id), 1200*units.Millisecond)
	if err != nil || !ok {
		return f, false, err
	}
	if err := protocol.Decode(item.Value, &f); err != nil || !f.Stage.Final() {
		return f, false, fmt.Errorf("record %s is not readable: %w", item.Key, err)
	}
	return f, true, nil
}

// finalCache keeps the final states of the jobs asked about last, with a
// bound on their number.
type finalCache struct {
	most     int
	old, new map[string]bookkeeping.Final
}

func newFinalCache(most int) *finalCache {
	return &finalCache{most: most, old: map[string]bookkeeping.Final{}, new: map[string]bookkeeping.Final{}}
}

func (c *finalCache) put(id string, f bookkeeping.Final) {
	if len(c.new) >= c.most/2 {
		c.old, c.new = c.new, map[string]bookkeeping.Final{}
	}
	c.new[id] = f
}

func (c *finalCache) get(id string) (bookkeeping.Final, bool) {
	if f, ok := c.new[id]; ok {
		return f, true
	}
	f, ok := c.old[id]
	if ok {
		c.put(id, f)
	}
	return f, ok
}
