package controller

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"dunestand/internal/config"
	"dunestand/internal/persister"
	"dunestand/internal/protocol"
	"dunestand/internal/standin"
	"dunestand/internal/storage"
)

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
		term := storedLeader(t, 1, s)
		if term.persister.Restore(t.Context()) || term.Ready() {
			t.Errorf("%s: the node leads", what)
		}
		if term.leadership.Valid() || term.lease().Abstained != persister.UnreadableAbstention {
			t.Errorf("%s: the node keeps the lease", what)
		}
		if newer := term.Format.TooNew(); newer != (what == "the fleet's format") {
			t.Errorf("%s: a later version's %v", what, newer)
		}
	}
}

// Until all controllers are upgraded a service is not taken: a leader of the
// version before would call it done when its replicas end. It is told to come
// back; what can never run is refused for good either way.
func TestServicesWaitForTheUpgrade(t *testing.T) {
	term := newTestLeader(1, &standin.Clock{})
	term.state.SetInstanceTypes(modelCatalog.Types)
	service := *modelSpec("j-000001")
	service.Kind, service.Tasks = protocol.Service, modelLimit
	for _, c := range []struct {
		level       storage.Format
		tasks, want int
	}{
		{storage.FormatOld, modelLimit, http.StatusServiceUnavailable},
		{storage.FormatOld, modelLimit + 1, http.StatusUnprocessableEntity},
		{storage.FormatNew, modelLimit, 0},
		{storage.FormatNew, modelLimit + 1, http.StatusUnprocessableEntity},
	} {
		term.setFormat(c.level)
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
	term := storedLeader(t, 1, s, func(d *Deps) {
		d.Format = standin.NewRecordFormat(storage.FormatOld)
		d.Settings.Fleet.State = config.State{
			RPS:      1e4,
			WriteRPS: 1e4,
			ValueKB:  16,
			TxnOps:   12,
			Next:     &config.State{ValueKB: 2, TxnOps: 4, WriteRPS: 600},
		}
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if !term.persister.Restore(ctx) {
		t.Fatal("not restored")
	}
	term.state.SetInstanceTypes(modelCatalog.Types)
	go term.persister.Run(ctx)
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
			term.state.Lock()
			ok := done()
			term.state.Unlock()
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
		term.state.Lock()
		defer term.state.Unlock()
		for i := from; i < to; i++ {
			term.state.Assign(term.state.Jobs[large], term.state.EnsureMachine(fmt.Sprintf("i-%06d", i), "m", "a", true, 0), uint64(i+1), 0)
		}
		term.writeSignal.Raise()
	}
	named := func(to int) func() bool {
		return func() bool { return term.state.Jobs[large].MachineIsDurable(fmt.Sprintf("i-%06d", to-1)) }
	}
	name(0, 300)
	eventually(named(300))
	s.Limit(2<<10, 4, 600)
	name(300, 310) // its record is too large by now; the rest goes on
	for i := range 10 {
		submit(fmt.Sprintf("j-%06d", i+10), 3)
	}
	time.Sleep(2 * persister.RejectedRetryDelay.Duration())
	if n := s.Rejected(); n == 0 || n > 3 {
		t.Errorf("%d saves were rejected", n)
	}
	term.setFormat(storage.FormatNew)
	eventually(named(310))
	name(310, 900)
	eventually(named(900))
	term.state.Lock()
	for i := range protocol.MaxTasks {
		term.state.TaskDone(term.state.Jobs[large], i, 0)
	}
	term.state.Unlock()
	term.writeSignal.Raise()
	eventually(func() bool { return term.state.Jobs[large] == nil })
	for deadline := time.Now().Add(20 * time.Second); len(s.Keys(storage.KeyJob(large))) > 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("left over: %v", s.Keys(storage.KeyJob(large)))
		}
	}
	if f, ok, err := persister.ReadTerminal(ctx, term.KV, large); err != nil || !ok || f.Stage != protocol.StageDone || f.Done != protocol.MaxTasks {
		t.Errorf("%+v %v %v", f, ok, err)
	}
}
