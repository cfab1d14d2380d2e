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
	"dunestand/internal/fake/admissioncheck"
	"dunestand/internal/protocol"
)

var measure = flag.Bool("measure", false, "run the measurements that take minutes")

// latencies is a distribution of durations in milliseconds. It is safe for concurrent use.
type latencies struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

func newLatencies() *latencies { return &latencies{histogram: hdrhistogram.New(1, 600_000, 3)} }

func (l *latencies) record(t time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.histogram.RecordValue(max(t.Milliseconds(), 1)) // durations are below the maximum of ten minutes
}

func (l *latencies) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.histogram
	return fmt.Sprintf("%d: median %d ms, 90%% %d ms, 99%% %d ms, maximum %d ms", h.TotalCount(),
		h.ValueAtQuantile(50), h.ValueAtQuantile(90), h.ValueAtQuantile(99), h.Max())
}

// runMeasuredUser submits one job until it is accepted, and polls it until it is done. It records
// the time to each response, to acceptance and to completion.
func (b *burst) runMeasuredUser(id int, team string, responses, accepted, done *latencies) {
	job := burstJob(id, team, "lot")
	if err := b.checker.RegisterSubmission(job); err != nil {
		b.t.Error(err)
		return
	}
	began := time.Now()
	for {
		sent := time.Now()
		kind, retryAfter := b.submitOnce(id, b.randomBelow(burstControllers), job)
		responses.record(time.Since(sent))
		if kind == admissioncheck.Accepted {
			break
		}
		if time.Since(began) > time.Minute {
			return
		}
		time.Sleep(retryAfter)
	}
	accepted.record(time.Since(began))
	for time.Since(began) < 3*time.Minute {
		r := b.request(b.randomBelow(burstControllers), http.MethodGet, jobPath(job[protocol.FieldID].(string)), nil)
		if r.job().Stage == protocol.StageDone {
			done.record(time.Since(began))
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// TestMeasureAdmission measures admission with the admission plan enabled and disabled: one team
// floods for 30 s with ten times its guaranteed quota, and the other starts 10 s later with four
// fifths of its own. The controllers have memory for all jobs, or for some 390 of them.
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

// measureBurst runs one burst and logs the measurements.
func measureBurst(t *testing.T, policy *config.Policy, memoryMB float64) {
	const (
		duration    = 30 * time.Second
		steadyStart = 10 * time.Second // when the steady team's users start
	)
	b := newBurstWith(t, policy, memoryMB)
	b.leader()
	if policy != nil {
		b.waitUntilActive()
	}
	time.Sleep(3 * time.Second) // until machines are provisioned and send heartbeats
	responses := newLatencies()
	accepted := map[string]*latencies{floodingTeam: newLatencies(), steadyTeam: newLatencies()}
	done := map[string]*latencies{floodingTeam: newLatencies(), steadyTeam: newLatencies()}
	startUsers := func(first int, team string, perSecond float64, duration time.Duration) {
		for i := range int(perSecond * duration.Seconds()) {
			b.users.Go(func() { b.runMeasuredUser(first+i, team, responses, accepted[team], done[team]) })
			time.Sleep(time.Duration(float64(time.Second) / perSecond))
		}
	}
	before, began := b.options.kv.Revision(), time.Now()
	b.users.Go(func() { startUsers(0, floodingTeam, 10*burstRate, duration) })
	b.users.Go(func() {
		time.Sleep(steadyStart)
		startUsers(firstSteadyID, steadyTeam, 0.8*burstRate, duration-steadyStart)
	})
	time.Sleep(duration)
	ended := time.Now()
	for policy != nil && !strings.Contains(b.metrics(b.leader()), "dunestand_admission_restricted_cells 0") {
		time.Sleep(100 * time.Millisecond)
	}
	t.Logf("admission is unrestricted %v after the flood", time.Since(ended).Round(100*time.Millisecond))
	b.users.Wait()
	t.Logf("responses: %v, %.0f a second; transactions %d; plans %d", responses,
		float64(responses.histogram.TotalCount())/time.Since(began).Seconds(), b.options.kv.Revision()-before, b.checker.StoredPlans())
	for _, team := range []string{floodingTeam, steadyTeam} {
		t.Logf("%s: accepted %v; done %v", team, accepted[team], done[team])
	}
	if violations := b.checker.Violations(); policy != nil && len(violations) > 0 {
		t.Errorf("%v", violations)
	}
}
