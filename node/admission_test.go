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
	"dunestand/internal/standin"
	"dunestand/internal/standin/admissioncheck"
)

// Five controllers under a burst. Two teams are guaranteed half of the fleet each; one
// submits ten times what it may do. Everything is at the size of a test machine: 8
// machines of 2 processors, tasks of one second.
const (
	burstNodes   = 5
	burstHorizon = 10 // seconds
	burstCPUs    = 8  // guaranteed to each team
	burstTasks   = 2  // of a job, one processor and second each
	// For more jobs than a burst has.
	burstMemoryMB = 100
	// What a team's guarantee can do in a second, in jobs.
	burstRate = burstCPUs / burstTasks
)

func burstPolicy(t *testing.T) *config.Policy {
	p, err := config.ParsePolicy("test", fmt.Sprintf("admission_horizon_s = %d", burstHorizon), config.DefaultPolicy())
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// burst is a cluster whose users flood it.
type burst struct {
	*cluster
	checker    *admissioncheck.Checker
	userGroup  sync.WaitGroup
	mu         sync.Mutex
	abandoned  map[string]int // users by team
	unanswered int            // users who never got an answer that says anything
	random     *rand.Rand
}

func newBurst(t *testing.T) *burst {
	b := newBurstWith(t, burstPolicy(t), burstMemoryMB)
	b.waitUntilActive()
	return b
}

func newBurstWith(t *testing.T, policy *config.Policy, memoryMB float64) *burst {
	state := standin.NewState()
	b := &burst{
		checker:   admissioncheck.New(state),
		abandoned: map[string]int{},
		random:    rand.New(rand.NewPCG(1, 2)),
	}
	b.cluster = newCluster(t, clusterOptions{
		nodes:    burstNodes,
		machines: 8,
		cpus:     2,
		runTime:  time.Second,
		memoryMB: memoryMB,
		teams: []config.Team{
			{Name: "mill", CPUs: burstCPUs, CPUsMax: 2 * burstCPUs},
			{Name: "dye", CPUs: burstCPUs, CPUsMax: 2 * burstCPUs},
		},
		policy: policy,
		kv:     state,
	})
	return b
}

// waitActive waits until every node admits by the plan.
func (b *burst) waitUntilActive() {
	b.t.Helper()
	for i := range b.nodes {
		for try := 0; !strings.Contains(b.metrics(i), "dunestand_admission_active 1"); try++ {
			if try == 200 {
				b.t.Fatalf("node %d does not admit by the plan", i)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// number gives a random number below n.
func (b *burst) randomBelow(n int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.random.IntN(n)
}

func burstJob(id int, team, class string) map[string]any {
	return standin.Submission(fmt.Sprintf("j-%06d", id), team, class, burstTasks, 1)
}

// submitOnce asks one node and has the checker hear the answer. It gives how long the user
// is to wait.
func (b *burst) submitOnce(user, node int, job map[string]any) (admissioncheck.AnswerKind, time.Duration) {
	reply := b.checker.Submit(b.ctx, user, b.nodes[node].settings.ClientListen, job)
	refused := reply.Status == http.StatusServiceUnavailable || reply.Status == http.StatusTooManyRequests
	if reply.Kind == admissioncheck.Indefinite && reply.Status != 0 && !refused {
		b.t.Errorf("%v: status %d", job["uid"], reply.Status)
	}
	return reply.Kind, max(reply.RetryAfter, time.Second)
}

const (
	burstUserTimeout = 15 * time.Second
	duplicateEvery   = 4 // one user in so many sends each submission through two nodes at once
)

// user submits a job, through the given nodes at first and then any, until it is
// accepted, or for a quarter of the time that users do. Then it is submitted once more.
func (b *burst) runUser(id int, team, class string, nodes []int) {
	job := burstJob(id, team, class)
	if err := b.checker.Announce(job); err != nil {
		b.t.Error(err)
		return
	}
	began := time.Now()
	answered := false
	for try := 0; b.ctx.Err() == nil; try++ {
		node := nodes[b.randomBelow(len(nodes))]
		if try > 0 {
			node = b.randomBelow(burstNodes)
		}
		if id%duplicateEvery == 0 {
			b.userGroup.Add(1)
			go func() {
				defer b.userGroup.Done()
				b.submitOnce(-id, b.randomBelow(burstNodes), job)
			}()
		}
		kind, wait := b.submitOnce(id, node, job)
		answered = answered || kind != admissioncheck.Indefinite
		if kind == admissioncheck.SaysAccepted {
			b.submitOnce(id, b.randomBelow(burstNodes), job)
			return
		}
		wait += time.Duration(b.randomBelow(300)) * time.Millisecond
		if time.Since(began)+wait > burstUserTimeout {
			break
		}
		time.Sleep(wait)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.abandoned[team]++
	if !answered {
		b.unanswered++
	}
}

// offer has users submit jobs of a team, so many a second, for some time.
func (b *burst) startUsers(first int, team, class string, perSecond float64, duration time.Duration, nodes ...int) {
	b.userGroup.Add(1)
	go func() {
		defer b.userGroup.Done()
		count := int(perSecond * duration.Seconds())
		for i := range count {
			b.userGroup.Add(1)
			go func() {
				defer b.userGroup.Done()
				b.runUser(first+i, team, class, nodes)
			}()
			time.Sleep(duration / time.Duration(count))
		}
	}()
}

// expect checks what holds after every burst.
func (b *burst) checkInvariants() map[string]int {
	b.t.Helper()
	for _, broken := range b.checker.Verdicts() {
		b.t.Error(broken)
	}
	if b.checker.Plans() < 3 || b.checker.Waits() == 0 {
		b.t.Errorf("%d plans were made, %d answers told jobs to wait", b.checker.Plans(), b.checker.Waits())
	}
	if b.unanswered > 0 {
		b.t.Errorf("%d users got no answer that says anything", b.unanswered)
	}
	admitted := map[string]int{}
	for id := range b.checker.Accepted() {
		n, _ := strconv.Atoi(strings.TrimPrefix(id, "j-"))
		admitted[burstTeam(n)]++
	}
	return admitted
}

// Jobs below this number are of the team that floods.
const firstSteadyID = 500_000

func burstTeam(id int) string {
	if id < firstSteadyID {
		return "mill"
	}
	return "dye"
}

// flood has one team submit ten times what it may do through two controllers, and the
// other one most of what is guaranteed to it.
func (b *burst) flood(duration time.Duration) {
	b.startUsers(0, "mill", "bulk", 9.5*burstRate, duration, 0, 1)
	b.startUsers(200_000, "mill", "few", 0.5*burstRate, duration, 0, 1)
	b.startUsers(firstSteadyID, "dye", "lot", 0.8*burstRate, duration, 0, 1, 2, 3, 4)
}

// usualJobs is how many jobs the other team submits meanwhile.
func steadyJobs(duration time.Duration) int { return int(0.8 * burstRate * duration.Seconds()) }

// One team floods through two controllers at once. Every job gets one answer, the other
// team keeps what is promised to it, no class starves, and the flood gets the rest.
func TestFloodingTeamDoesNotDisplaceGuaranteedTeam(t *testing.T) {
	b := newBurst(t)
	const lasts = 8 * time.Second
	began := time.Now()
	b.flood(lasts)
	b.userGroup.Wait()
	took := time.Since(began)
	admitted := b.checkInvariants()
	if b.abandoned["dye"] > 0 || admitted["dye"] != steadyJobs(lasts) {
		t.Errorf("%d of %d jobs of the usual volume were admitted", admitted["dye"], steadyJobs(lasts))
	}
	// The flood has what the fleet can do, but for the other team's jobs, and a horizon
	// ahead. The margin is a fifth: tasks also wait for reports, of which their run time
	// knows nothing.
	fleet := 2 * burstRate * (took.Seconds() + burstHorizon)
	if got := float64(admitted["mill"]); got > 1.2*(fleet-float64(admitted["dye"])) || got < 0.4*burstRate*took.Seconds() {
		t.Errorf("%v jobs of the flood were admitted within %v; the fleet can do %v in all", got, took, fleet)
	}
	few := 0
	for id := range b.checker.Accepted() {
		if id >= "j-200000" && id < "j-500000" {
			few++
		}
	}
	if few < int(0.5*burstRate*lasts.Seconds())*8/10 {
		t.Errorf("%d jobs of the small class were admitted", few)
	}
	t.Logf("admitted %v, gave up %v, %d waits, %d plans, within %v", admitted, b.abandoned, b.checker.Waits(), b.checker.Plans(), took)
}

// The same while things fail: answers of saves are lost, the leader is killed and comes
// back, a controller is cut off from the state service and goes by an old plan, and the
// leader loses its way to the other controllers, one way.
func TestGuaranteedTeamIsAdmittedWhileControllersFail(t *testing.T) {
	b := newBurst(t)
	const lasts = 14 * time.Second
	b.options.kv.Silent = func(commit int) bool { return commit%7 == 0 }
	b.flood(lasts)
	time.Sleep(2 * time.Second)
	leader := b.leader()
	b.stop(leader)
	time.Sleep(2 * time.Second)
	b.start(leader)
	time.Sleep(2 * time.Second)
	behind := (b.leader() + 1) % burstNodes
	b.nodes[behind].rejectKV(true)
	time.Sleep(3 * time.Second)
	b.nodes[behind].rejectKV(false)
	leader = b.leader()
	for _, other := range b.nodes[leader].settings.Others {
		b.nodes[leader].dialer.setPartitioned(other.Endpoint, true)
	}
	time.Sleep(3 * time.Second)
	for _, other := range b.nodes[leader].settings.Others {
		b.nodes[leader].dialer.setPartitioned(other.Endpoint, false)
	}
	b.userGroup.Wait()
	admitted := b.checkInvariants()
	if want := steadyJobs(lasts) * 95 / 100; admitted["dye"] < want {
		t.Errorf("%d of %d jobs of the usual volume were admitted", admitted["dye"], steadyJobs(lasts))
	}
	t.Logf("admitted %v, gave up %v, %d waits, %d plans", admitted, b.abandoned, b.checker.Waits(), b.checker.Plans())
}
