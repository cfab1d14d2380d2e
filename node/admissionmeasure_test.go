package node

import (
	"flag"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dunestand/internal/config"
	"dunestand/internal/protocol"
	"dunestand/internal/standin/admissioncheck"
)

var measure = flag.Bool("measure", false, "run the measurements that take minutes")

// times is a distribution of times in milliseconds.
type latencies struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

func newLatencies() *latencies { return &latencies{histogram: hdrhistogram.New(1, 600_000, 3)} }

func (d *latencies) record(t time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.histogram.RecordValue(max(t.Milliseconds(), 1)) // within ten minutes
}

func (d *latencies) String() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return fmt.Sprintf("%d: half %d ms, nine in ten %d ms, 99 in 100 %d ms, most %d ms", d.histogram.TotalCount(),
		d.histogram.ValueAtQuantile(50), d.histogram.ValueAtQuantile(90), d.histogram.ValueAtQuantile(99), d.histogram.Max())
}

// measuredUser submits one job until it is accepted, and asks until it is done.
func (b *burst) measuredUser(id int, team string, answers, accepted, done *latencies) {
	job := burstJob(id, team, "lot")
	if err := b.checker.Announce(job); err != nil {
		b.t.Error(err)
		return
	}
	began := time.Now()
	for {
		asked := time.Now()
		kind, wait := b.submitOnce(id, b.randomBelow(burstNodes), job)
		answers.record(time.Since(asked))
		if kind == admissioncheck.SaysAccepted {
			break
		}
		if time.Since(began) > time.Minute {
			return
		}
		time.Sleep(wait)
	}
	accepted.record(time.Since(began))
	for time.Since(began) < 3*time.Minute {
		_, state, _ := b.request(b.randomBelow(burstNodes), http.MethodGet, fmt.Sprintf("/submissions/j-%06d", id), nil)
		if state.Stage == protocol.StageDone {
			done.record(time.Since(began))
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// One team floods for 30 s with ten times what it may do; the other one comes 10 s later
// with four fifths of what is guaranteed to it. With the admission of jobs on and off, on
// nodes with memory for all jobs and for some 390.
func TestMeasureAdmission(t *testing.T) {
	if !*measure {
		t.Skip("takes minutes: run with -measure")
	}
	const littleMemoryMB = 5
	for _, memoryMB := range []float64{burstMemoryMB, littleMemoryMB} {
		for _, policy := range []*config.Policy{burstPolicy(t), nil} {
			t.Run(fmt.Sprintf("memory=%v/on=%v", memoryMB, policy != nil), func(t *testing.T) {
				measureBurst(t, policy, memoryMB)
			})
		}
	}
}

// measureBurst plays one burst and logs what was measured.
func measureBurst(t *testing.T, policy *config.Policy, memoryMB float64) {
	const (
		lasts  = 30 * time.Second
		second = 10 * time.Second // the other team comes
	)
	b := newBurstWith(t, policy, memoryMB)
	b.leader()
	if policy != nil {
		b.waitUntilActive()
	}
	time.Sleep(3 * time.Second) // machines are rented and report
	answers := newLatencies()
	accepted := map[string]*latencies{"mill": newLatencies(), "dye": newLatencies()}
	done := map[string]*latencies{"mill": newLatencies(), "dye": newLatencies()}
	var users sync.WaitGroup
	offer := func(first int, team string, perSecond float64, lasts time.Duration) {
		defer users.Done()
		for i := range int(perSecond * lasts.Seconds()) {
			users.Add(1)
			go func() {
				defer users.Done()
				b.measuredUser(first+i, team, answers, accepted[team], done[team])
			}()
			time.Sleep(time.Duration(float64(time.Second) / perSecond))
		}
	}
	before, began := b.options.kv.Revision(), time.Now()
	users.Add(2)
	go offer(0, "mill", 10*burstRate, lasts)
	go func() {
		time.Sleep(second)
		offer(firstSteadyID, "dye", 0.8*burstRate, lasts-second)
	}()
	time.Sleep(lasts)
	ended := time.Now()
	for policy != nil && !strings.Contains(b.metrics(b.leader()), "dunestand_admission_restricted_cells 0") {
		time.Sleep(100 * time.Millisecond)
	}
	t.Logf("nothing is restricted %v after the flood", time.Since(ended).Round(100*time.Millisecond))
	users.Wait()
	t.Logf("answers: %v, %.0f a second; transactions %d; plans %d", answers,
		float64(answers.histogram.TotalCount())/time.Since(began).Seconds(), b.options.kv.Revision()-before, b.checker.Plans())
	for _, team := range []string{"mill", "dye"} {
		t.Logf("%s: accepted %v; done %v", team, accepted[team], done[team])
	}
	if broken := b.checker.Verdicts(); policy != nil && len(broken) > 0 {
		t.Errorf("%v", broken)
	}
}
