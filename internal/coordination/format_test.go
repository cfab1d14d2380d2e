package coordination

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"dunestand/internal/cluster"
	"dunestand/internal/config"
	"dunestand/internal/kv"
	"dunestand/internal/protocol"
	"dunestand/internal/standin"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// formatsOn makes what each of some controllers knows of the fleet's format.
func formatsOn(t *testing.T, s *standin.State, nodes ...string) map[string]*FleetFormat {
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	out := map[string]*FleetFormat{}
	for i, node := range nodes {
		store := kv.NewClient(nil, strings.TrimPrefix(server.URL, "http://"), config.State{
			RPS:      1e4,
			WriteRPS: 1e4,
		}, len(nodes)-1, units.NewSystemClock())
		others := append(append([]string{}, nodes[:i]...), nodes[i+1:]...)
		out[node] = NewFleetFormat(node, others, storage.FormatNew, store, slog.New(slog.NewTextHandler(io.Discard, nil)))
	}
	return out
}

// The fleet's format is raised only once every configured controller has said
// that it reads the new one, by a leader alone; whoever comes later reads the same,
// and nothing lowers it.
func TestFormatIsRaisedOnceAllAreUpgraded(t *testing.T) {
	s := standin.NewState()
	f := formatsOn(t, s, "a", "b", "c")
	step := func(node string, leads bool, want int) {
		t.Helper()
		if err := f[node].step(t.Context(), leads); err != nil {
			t.Fatal(err)
		}
		if got := f[node].Level(); got != want {
			t.Errorf("%s goes by format %d, want %d", node, got, want)
		}
	}
	step("a", true, storage.FormatOld)
	step("b", false, storage.FormatOld)
	step("a", true, storage.FormatOld) // c is not upgraded, or has never been heard of
	step("c", false, storage.FormatOld)
	step("b", false, storage.FormatOld) // only a leader raises it
	step("a", true, storage.FormatNew)
	step("b", false, storage.FormatNew)
	s.Put(storage.KeyFormat("c"), protocol.Encode(storage.FormatRecord{Format: storage.FormatOld}))
	later := formatsOn(t, s, "a", "b", "c")["b"]
	if err := later.step(t.Context(), true); err != nil || later.Level() != storage.FormatNew {
		t.Errorf("%d, %v", later.Level(), err)
	}
}

// Records of a format that this version does not know are neither skipped nor
// taken for less than they are: the node gives the lease to others and does not
// claim it while the fleet has a later format.
func TestUnknownFormatsAreLeftToOthers(t *testing.T) {
	for what, put := range map[string]func(s *standin.State){
		"the fleet's format": func(s *standin.State) {
			s.Put(storage.KeyFleetFormat, protocol.Encode(storage.FormatRecord{Format: storage.NewestFormat + 1}))
		},
		"a job's record": func(s *standin.State) {
			s.Put(storage.KeyJob("j-000001"), protocol.Encode(map[string]any{
				"v":     storage.NewestFormat + 1,
				"id":    "j-000001",
				"tasks": 1,
			}))
		},
		"a part of a job": func(s *standin.State) {
			s.Put(storage.KeyJob("j-000001")+"/z0", protocol.Encode(map[string]any{"v": 1}))
		},
		"a part without its job, which is not over": func(s *standin.State) {
			s.Put(storage.KeyJob("j-000001")+"/d0", protocol.Encode(map[string]any{"v": 2}))
		},
	} {
		s := standin.NewState()
		put(s)
		term := storedTerm(t, 1, s)
		if term.restore(t.Context()) || term.Ready() {
			t.Errorf("%s: the node leads", what)
		}
		if term.Lease.Valid(1) || term.Lease.backFor != standBack {
			t.Errorf("%s: the node keeps the lease", what)
		}
		if newer := term.Format.Newer(); newer != (what == "the fleet's format") {
			t.Errorf("%s: a later version's %v", what, newer)
		}
	}
}

// Until all controllers are upgraded a service is not taken: a leader of the
// version before would call it done when its replicas end. It is told to come
// back; what can never run is refused for good either way.
func TestServicesWaitForTheUpgrade(t *testing.T) {
	term := testTerm(1, &manualClock{})
	term.ledger.SetInstanceTypes(modelCatalog.Types)
	service := *modelSpec("j-000001")
	service.Kind, service.Tasks = protocol.Service, modelLimit
	for _, c := range []struct {
		level, tasks, want int
	}{
		{storage.FormatOld, modelLimit, http.StatusServiceUnavailable},
		{storage.FormatOld, modelLimit + 1, http.StatusUnprocessableEntity},
		{storage.FormatNew, modelLimit, 0},
		{storage.FormatNew, modelLimit + 1, http.StatusUnprocessableEntity},
	} {
		term.Format.level.Store(int64(c.level))
		service.Tasks = c.tasks
		if got, why := term.checkAdmissible(&service); got != c.want {
			t.Errorf("format %d, %d tasks: %d %s, want %d", c.level, c.tasks, got, why, c.want)
		}
	}
}

// The state service lowers its limits in the midst of a run, and later the format
// is raised: every job is accepted, a large one that was stored before is divided,
// and what is saved is never sent unchanged for ever.
func TestLimitsThatFall(t *testing.T) {
	s := standin.NewState()
	s.Limit(16<<10, 12, 1000)
	term := storedTerm(t, 1, s)
	term.Settings.Fleet.State = config.State{
		RPS:      1e4,
		WriteRPS: 1e4,
		ValueKB:  16,
		TxnOps:   12,
		Next:     &config.State{ValueKB: 2, TxnOps: 4, WriteRPS: 600},
	}
	term.ledger = cluster.NewState(term.Settings.Fleet.Teams, term.Settings.Fleet.State)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if !term.restore(ctx) {
		t.Fatal("not restored")
	}
	term.ledger.SetInstanceTypes(modelCatalog.Types)
	go term.saveLoop(ctx)
	submit := func(id string, tasks int) {
		t.Helper()
		spec := *modelSpec(id)
		spec.Tasks = tasks
		for try := 0; ; try++ {
			if r := term.Submit(ctx, &spec); r.Status == http.StatusCreated || r.Status == http.StatusOK {
				return
			} else if try == 20 {
				t.Fatalf("%s: %d %s", id, r.Status, r.Body)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	eventually := func(done func() bool) {
		t.Helper()
		for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) {
			term.mu.Lock()
			ok := done()
			term.mu.Unlock()
			if ok {
				return
			}
			if time.Now().After(deadline) {
				t.Fatal("not saved")
			}
		}
	}
	const large = "j-000001"
	submit(large, protocol.MaxTasks)
	name := func(from, to int) {
		term.mu.Lock()
		defer term.mu.Unlock()
		for i := from; i < to; i++ {
			term.ledger.Assign(term.ledger.Jobs[large], term.ledger.EnsureMachine(fmt.Sprintf("i-%06d", i), "m", "a", true, 0), uint64(i+1), 0)
		}
		signal(term.saveSignal)
	}
	named := func(to int) func() bool {
		return func() bool { return term.ledger.Jobs[large].MachineIsDurable(fmt.Sprintf("i-%06d", to-1)) }
	}
	name(0, 300)
	eventually(named(300))
	s.Limit(2<<10, 4, 600)
	name(300, 310) // its record is too large by now; the rest goes on
	for i := range 10 {
		submit(fmt.Sprintf("j-%06d", i+10), 3)
	}
	time.Sleep(2 * rejectedPause.Duration())
	if n := s.Rejected(); n == 0 || n > 3 {
		t.Errorf("%d saves were rejected", n)
	}
	term.Format.level.Store(storage.FormatNew)
	eventually(named(310))
	name(310, 900)
	eventually(named(900))
	term.mu.Lock()
	for i := range protocol.MaxTasks {
		term.ledger.TaskDone(term.ledger.Jobs[large], i, 0)
	}
	term.mu.Unlock()
	signal(term.saveSignal)
	eventually(func() bool { return term.ledger.Jobs[large] == nil })
	for deadline := time.Now().Add(20 * time.Second); len(s.Keys(storage.KeyJob(large))) > 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("left over: %v", s.Keys(storage.KeyJob(large)))
		}
	}
	if f, ok, err := ReadFinal(ctx, term.Store, large); err != nil || !ok || f.Stage != protocol.StageDone || f.Done != protocol.MaxTasks {
		t.Errorf("%+v %v %v", f, ok, err)
	}
}
