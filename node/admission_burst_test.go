package node

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"dunestand/internal/config"
	"dunestand/internal/fake"
	"dunestand/internal/fake/admissioncheck"
	"dunestand/internal/protocol"
)

// The burst tests run five controllers in a fleet of 8 machines with 2 CPUs each. Each of two
// teams has half of the fleet as its guaranteed quota, and one of them submits ten times as much.
// Tasks take one second, so that a test machine can run the burst.
const (
	burstControllers = 5
	burstHorizon     = 10  // seconds
	burstCPUs        = 8   // guaranteed to each team
	burstTasks       = 2   // per job; each uses one CPU for one second
	burstMemoryMB    = 100 // enough for all jobs of a burst
	// burstRate is the number of jobs per second that a team's guaranteed quota can run.
	burstRate = burstCPUs / burstTasks
)

// The teams of a burst.
const (
	floodingTeam = "mill"
	steadyTeam   = "dye"
)

func burstPolicy(t *testing.T) *config.Policy {
	t.Helper()
	policy, err := config.ParsePolicy("test", fmt.Sprintf("admission_horizon_s = %d", burstHorizon), config.DefaultPolicy())
	if err != nil {
		t.Fatal(err)
	}
	return policy
}

// burst is a cluster with many concurrent users.
type burst struct {
	*cluster
	checker                      *admissioncheck.Checker
	users                        sync.WaitGroup
	mu                           sync.Mutex     // guards the fields below
	abandoned                    map[string]int // number of users that gave up, by team
	usersWithoutDefiniteResponse int            // number of users that gave up without a definite response
	random                       *rand.Rand
}

// newBurst starts a cluster and waits until every controller applies the admission plan.
func newBurst(t *testing.T) *burst {
	t.Helper()
	b := newBurstWith(t, burstPolicy(t), burstMemoryMB)
	b.waitUntilActive()
	return b
}

// newBurstWith starts a cluster with a policy; nil: the built-in policy, which has no admission
// plan.
func newBurstWith(t *testing.T, policy *config.Policy, memoryMB float64) *burst {
	t.Helper()
	store := fake.NewKVServer()
	b := &burst{
		checker:   admissioncheck.New(store),
		abandoned: map[string]int{},
		random:    rand.New(rand.NewPCG(1, 2)),
	}
	b.cluster = newCluster(t, clusterOptions{
		controllers: burstControllers,
		machines:    8,
		cpus:        2,
		runTime:     time.Second,
		memoryMB:    memoryMB,
		teams: []config.Team{
			{Name: floodingTeam, GuaranteedCPUs: burstCPUs, LimitCPUs: 2 * burstCPUs},
			{Name: steadyTeam, GuaranteedCPUs: burstCPUs, LimitCPUs: 2 * burstCPUs},
		},
		policy: policy,
		kv:     store,
	})
	return b
}

// waitUntilActive waits until every controller applies the admission plan.
func (b *burst) waitUntilActive() {
	b.t.Helper()
	for i := range b.controllers {
		for try := 0; !strings.Contains(b.metrics(i), admissionActive); try++ {
			if try == 200 {
				b.t.Fatalf("controller %d does not apply the admission plan", i)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// randomBelow returns a random number below n.
func (b *burst) randomBelow(n int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.random.IntN(n)
}

func burstJob(id int, team, class string) map[string]any {
	return fake.Submission(fmt.Sprintf("j-%06d", id), team, class, burstTasks, 1)
}

// submitOnce submits a job to one controller and checks the response. retryAfter is how long the
// user must wait before a retry.
func (b *burst) submitOnce(user, controller int, job map[string]any) (kind admissioncheck.ResponseKind, retryAfter time.Duration) {
	received := b.checker.Submit(b.ctx, user, b.controllers[controller].settings.ClientListen, job)
	rejected := received.Status == http.StatusServiceUnavailable || received.Status == http.StatusTooManyRequests
	if received.Kind == admissioncheck.Indefinite && received.Status != 0 && !rejected {
		b.t.Errorf("%v: status %d", job[protocol.FieldID], received.Status)
	}
	return received.Kind, max(received.RetryAfter, time.Second)
}

const (
	burstUserTimeout = 15 * time.Second // a quarter of the time for which users of the service retry
	duplicateEvery   = 4                // one user in duplicateEvery sends each submission to two controllers concurrently
)

// runUser submits a job until it is accepted or burstUserTimeout has passed. The first attempt
// goes to one of the given controllers, later ones to any. An accepted job is submitted once more.
func (b *burst) runUser(id int, team, class string, controllers []int) {
	job := burstJob(id, team, class)
	if err := b.checker.RegisterSubmission(job); err != nil {
		b.t.Error(err)
		return
	}
	began := time.Now()
	definite := false
	for try := 0; b.ctx.Err() == nil; try++ {
		controller := controllers[b.randomBelow(len(controllers))]
		if try > 0 {
			controller = b.randomBelow(burstControllers)
		}
		if id%duplicateEvery == 0 {
			b.users.Go(func() { b.submitOnce(-id, b.randomBelow(burstControllers), job) })
		}
		kind, retryAfter := b.submitOnce(id, controller, job)
		definite = definite || kind != admissioncheck.Indefinite
		if kind == admissioncheck.Accepted {
			b.submitOnce(id, b.randomBelow(burstControllers), job)
			return
		}
		retryAfter += time.Duration(b.randomBelow(300)) * time.Millisecond
		if time.Since(began)+retryAfter > burstUserTimeout {
			break
		}
		time.Sleep(retryAfter)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.abandoned[team]++
	if !definite {
		b.usersWithoutDefiniteResponse++
	}
}

// startUsers starts, in the background, perSecond users per second, each of whom submits one job
// of a team. Job numbers count up from first.
func (b *burst) startUsers(first int, team, class string, perSecond float64, duration time.Duration, controllers ...int) {
	b.users.Go(func() {
		count := int(perSecond * duration.Seconds())
		for i := range count {
			b.users.Go(func() { b.runUser(first+i, team, class, controllers) })
			time.Sleep(duration / time.Duration(count))
		}
	})
}

// checkInvariants checks the invariants that hold after every burst, and returns the number of
// admitted jobs by team.
func (b *burst) checkInvariants() map[string]int {
	b.t.Helper()
	for _, violation := range b.checker.Violations() {
		b.t.Error(violation)
	}
	if b.checker.StoredPlans() < 3 || b.checker.DeferredResponses() == 0 {
		b.t.Errorf("%d plans were stored, %d responses deferred jobs", b.checker.StoredPlans(), b.checker.DeferredResponses())
	}
	if b.usersWithoutDefiniteResponse > 0 {
		b.t.Errorf("%d users got indefinite responses only", b.usersWithoutDefiniteResponse)
	}
	admitted := map[string]int{}
	for id := range b.checker.DurableJobs() {
		n, _ := strconv.Atoi(strings.TrimPrefix(id, "j-"))
		admitted[burstTeam(n)]++
	}
	return admitted
}

// firstSteadyID is the lowest job number of the steady team.
const firstSteadyID = 500_000

func burstTeam(id int) string {
	if id < firstSteadyID {
		return floodingTeam
	}
	return steadyTeam
}

// flood has the flooding team submit ten times its guaranteed quota through two controllers, and
// the steady team four fifths of its own through all controllers. It returns at once.
func (b *burst) flood(duration time.Duration) {
	b.startUsers(0, floodingTeam, "bulk", 9.5*burstRate, duration, 0, 1)
	b.startUsers(200_000, floodingTeam, "few", 0.5*burstRate, duration, 0, 1)
	b.startUsers(firstSteadyID, steadyTeam, "lot", 0.8*burstRate, duration, 0, 1, 2, 3, 4)
}

// steadyJobs returns the number of jobs that the steady team submits during a flood.
func steadyJobs(duration time.Duration) int { return int(0.8 * burstRate * duration.Seconds()) }

// One team floods two controllers at once. The responses about each job are consistent, the other
// team gets its guaranteed quota, no job class starves, and the flooding team gets the rest.
func TestFloodingTeamDoesNotDisplaceGuaranteedTeam(t *testing.T) {
	b := newBurst(t)
	const duration = 8 * time.Second
	began := time.Now()
	b.flood(duration)
	b.users.Wait()
	took := time.Since(began)
	admitted := b.checkInvariants()
	if b.abandoned[steadyTeam] > 0 || admitted[steadyTeam] != steadyJobs(duration) {
		t.Errorf("%d of %d jobs of the steady team were admitted", admitted[steadyTeam], steadyJobs(duration))
	}
	// The flooding team gets what the fleet can run until the horizon ends, less the jobs of the
	// other team. The margin is 20%: tasks also wait for heartbeats, which their run time does not
	// include.
	fleet := 2 * burstRate * (took.Seconds() + burstHorizon)
	if got := float64(admitted[floodingTeam]); got > 1.2*(fleet-float64(admitted[steadyTeam])) || got < 0.4*burstRate*took.Seconds() {
		t.Errorf("%v jobs of the flood were admitted within %v; the fleet can run %v in all", got, took, fleet)
	}
	small := 0
	for id := range b.checker.DurableJobs() {
		if id >= "j-200000" && id < "j-500000" {
			small++
		}
	}
	if small < int(0.5*burstRate*duration.Seconds())*8/10 {
		t.Errorf("%d jobs of the small class were admitted", small)
	}
	t.Logf("admitted %v, gave up %v, %d deferred responses, %d plans, within %v", admitted, b.abandoned, b.checker.DeferredResponses(), b.checker.StoredPlans(), took)
}

// The jobs of the steady team, which stays within its guaranteed quota, are admitted although
// responses of the key-value store are lost, the leader stops and restarts, the store rejects a
// controller, which then uses an old plan, and the leader is partitioned one way from the other
// controllers.
func TestGuaranteedTeamIsAdmittedWhileControllersFail(t *testing.T) {
	b := newBurst(t)
	const duration = 14 * time.Second
	b.options.kv.DropResponse = func(commit int) bool { return commit%7 == 0 }
	b.flood(duration)
	time.Sleep(2 * time.Second)
	leader := b.leader()
	b.stop(leader)
	time.Sleep(2 * time.Second)
	b.start(leader)
	time.Sleep(2 * time.Second)
	stale := (b.leader() + 1) % burstControllers
	b.controllers[stale].setKVRejection(true)
	time.Sleep(3 * time.Second)
	b.controllers[stale].setKVRejection(false)
	leader = b.leader()
	for _, other := range b.controllers[leader].settings.Peers {
		b.controllers[leader].dialer.setPartitioned(other.Endpoint, true)
	}
	time.Sleep(3 * time.Second)
	for _, other := range b.controllers[leader].settings.Peers {
		b.controllers[leader].dialer.setPartitioned(other.Endpoint, false)
	}
	b.users.Wait()
	admitted := b.checkInvariants()
	if want := steadyJobs(duration) * 95 / 100; admitted[steadyTeam] < want {
		t.Errorf("%d of %d jobs of the steady team were admitted", admitted[steadyTeam], steadyJobs(duration))
	}
	t.Logf("admitted %v, gave up %v, %d deferred responses, %d plans", admitted, b.abandoned, b.checker.DeferredResponses(), b.checker.StoredPlans())
}
