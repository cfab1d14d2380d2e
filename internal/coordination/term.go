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
	KV       *kv.Client
	Cloud    *cloud.Client
	Elector  *Elector
	Clock    units.Clock
	Log      *slog.Logger
	Dial     transport.DialFunc // nil: the machine's own network
	Metrics  *Metrics
	Format   *FormatNegotiator
	Admitter *admitter // nil: all jobs are admitted
	// UnreachablePeers counts the other controllers that cannot be reached.
	UnreachablePeers func() int
	// PeerReachable tells whether any other controller answers.
	PeerReachable func() bool
}

// Leader is one node's time as leader. What it knows is gone with it.
type Leader struct {
	Deps
	token         uint64
	electedAt     units.Micros
	traceAttempts bool // steps of attempts are logged

	mu                    sync.Mutex
	allReconciled         bool
	ready                 bool
	state                 *cluster.State
	bucketVersions        []uint64
	terminalJobs          *terminalCache
	attemptsStarted       uint64
	writes                uint64
	scaleOutRequests      uint64
	completions           completionRate
	lastCycle             units.Micros
	lastFiniteJobAt       units.Micros                      // when there was an unfinished job that ends by itself
	cycleCost             units.Micros                      // moving mean
	queue                 []queuedJob                       // waiting jobs as the last round saw them
	reservations          map[*cluster.Machine]*cluster.Job // whose room the last round keeps together for whom
	allMachinesConsidered bool                              // the last round left no machine unasked for what waits
	lastSummary           units.Micros
	lastTimeoutCheck      units.Micros
	maxUnreachablePeers   int          // the most controllers out of reach at a time in this term
	judgeSilenceFrom      units.Micros // this node was late itself: until then no machine's silence is judged
	released              releasedMachines
	headroom              map[*cluster.Machine]units.Resources // room that the last round kept for replicas
	pushRequests          map[string]*pushRequest              // machines that are told something before their next report
	writesInFlight        int
	pendingUncleared      atomic.Bool // the inbox may hold what is to be taken out and was not
	admission             leaderAdmission
	provisioning          provisioningState

	restored    chan struct{} // closed once the records are restored
	writeSignal chan struct{}
	cycleSignal chan struct{}
	pushSignal  chan struct{}
}

// NewLeader starts a term that was just claimed. Everything waits for Run to
// restore the records.
func NewLeader(number uint64, deps Deps) *Leader {
	deps.Log = deps.Log.With("term", number)
	t := &Leader{
		Deps:            deps,
		token:           number,
		traceAttempts:   deps.Log.Enabled(context.Background(), slog.LevelDebug),
		electedAt:       deps.Clock.Steady(),
		lastFiniteJobAt: deps.Clock.Steady(),
		state:           cluster.NewState(deps.Settings.Fleet.Teams, deps.Settings.Fleet.State),
		bucketVersions:  make([]uint64, storage.Buckets),
		restored:        make(chan struct{}),
		terminalJobs:    newTerminalCache(4096),
		released:        releasedMachines{},
		pushRequests:    map[string]*pushRequest{},
		headroom:        map[*cluster.Machine]units.Resources{},
		provisioning:    newProvisioningState(),
		reservations:    map[*cluster.Machine]*cluster.Job{},
		writeSignal:     make(chan struct{}, 1),
		cycleSignal:     make(chan struct{}, 1),
		pushSignal:      make(chan struct{}, 1),
	}
	t.admission = t.newLeaderAdmission()
	if deps.Admitter != nil {
		t.state.OnRunObserved = func(j *cluster.Job, run units.Micros) {
			t.admission.corrections.Observe(j.Spec.Team, j.Spec.Estimate, run)
		}
	}
	return t
}

func raise(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// sleep waits, and tells whether to go on.
func sleep(ctx context.Context, d units.Micros) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d.Duration()):
		return true
	}
}

// Run restores the records and then leads until ctx ends.
func (t *Leader) Run(ctx context.Context) {
	t.Log.Info("term begins")
	for !t.restore(ctx) {
		if !sleep(ctx, readRetryDelay) {
			return
		}
	}
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){t.writeLoop, t.cycleLoop, t.autoscaleLoop, t.monitorDelay, t.broadcastLoop, t.ingestLoop, t.pushLoop, t.admission.publisher.loop} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			loop(ctx)
		}()
	}
	wg.Wait()
	t.Log.Info("term ends")
}

const kvTimeout = 1500 * units.Millisecond
