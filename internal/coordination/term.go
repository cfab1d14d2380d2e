package coordination

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"dunestand/internal/cloud"
	"dunestand/internal/cluster"
	"dunestand/internal/config"
	"dunestand/internal/kv"
	"dunestand/internal/storage"
	"dunestand/internal/transport"
	"dunestand/internal/units"
)

// Deps is what a term works with.
type Deps struct {
	Settings *config.Settings
	Policy   *config.Policy
	Store    *kv.Client
	Cloud    *cloud.Client
	Lease    *FleetLease
	Clock    units.Clock
	Log      *slog.Logger
	Dial     transport.DialFunc // nil: the machine's own network
	Metrics  *Metrics
	Format   *FleetFormat
	Admitter *admitter // nil: all jobs are admitted
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

	mu                sync.Mutex
	allConfirmed      bool
	ready             bool
	ledger            *cluster.State
	bucketVersions    []uint64
	finals            *finalCache
	attempts          uint64
	saves             uint64
	rentRequests      uint64
	completions       completionRate
	lastRound         units.Micros
	lastWork          units.Micros                      // when there was an unfinished job that ends by itself
	roundCost         units.Micros                      // moving mean
	queue             []queued                          // waiting jobs as the last round saw them
	reservedFor       map[*cluster.Machine]*cluster.Job // whose room the last round keeps together for whom
	allOffered        bool                              // the last round left no machine unasked for what waits
	lastSummary       units.Micros
	lastTimeoutCheck  units.Micros
	unreached         int          // the most controllers out of reach at a time in this term
	silenceCountsFrom units.Micros // this node was late itself: until then no machine's silence is judged
	released          releasedMachines
	headroom          map[*cluster.Machine]units.Resources // room that the last round kept for replicas
	directRequests    map[string]*directRequest            // machines that are told something before their next report
	saving            int
	inboxUncleared    atomic.Bool // the inbox may hold what is to be taken out and was not
	admission         termAdmission
	provisioning      provisioningState

	restored     chan struct{} // closed once the records are restored
	saveSignal   chan struct{}
	roundSignal  chan struct{}
	directSignal chan struct{}
}

// NewTerm starts a term that was just claimed. Everything waits for Run to
// restore the records.
func NewTerm(number uint64, deps Deps) *Term {
	deps.Log = deps.Log.With("term", number)
	t := &Term{
		Deps:           deps,
		number:         number,
		traces:         deps.Log.Enabled(context.Background(), slog.LevelDebug),
		claimedAt:      deps.Clock.Steady(),
		lastWork:       deps.Clock.Steady(),
		ledger:         cluster.NewState(deps.Settings.Fleet.Teams, deps.Settings.Fleet.State),
		bucketVersions: make([]uint64, storage.Buckets),
		restored:       make(chan struct{}),
		finals:         newFinalCache(4096),
		released:       releasedMachines{},
		directRequests: map[string]*directRequest{},
		headroom:       map[*cluster.Machine]units.Resources{},
		provisioning:   newProvisioningState(),
		reservedFor:    map[*cluster.Machine]*cluster.Job{},
		saveSignal:     make(chan struct{}, 1),
		roundSignal:    make(chan struct{}, 1),
		directSignal:   make(chan struct{}, 1),
	}
	t.admission = t.newAdmission()
	if deps.Admitter != nil {
		t.ledger.OnRunObserved = func(j *cluster.Job, run units.Micros) {
			t.admission.corrections.Observe(j.Spec.Team, j.Spec.Estimate, run)
		}
	}
	return t
}

func signal(c chan struct{}) {
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
		if !pause(ctx, readRetry) {
			return
		}
	}
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){t.saveLoop, t.roundLoop, t.cloudLoop, t.delayLoop, t.announceLoop, t.inboxLoop, t.directLoop, t.admission.publisher.loop} {
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
