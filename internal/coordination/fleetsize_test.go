package coordination

import (
	"fmt"
	"testing"

	"dunestand/internal/cluster"
	"dunestand/internal/config"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// The largest fleet that is run, in machines. Nothing fixed may bind below it.
const largestFleet = 4000

// namedFleet is a leader with jobs on every machine of a fleet, and the reports of these.
func namedFleet(machines int) (*Term, []*protocol.Heartbeat) {
	const perMachine, jobs = 4, 40
	clock := &manualClock{now: units.Second}
	term := testTerm(1, clock)
	term.install(nil, modelCatalog)
	term.ledger.UpgradeFormat(storage.FormatNew, clock.now)
	term.ledger.Teams["team"].QuotaLimit = cpus(perMachine * machines)
	var all []*cluster.Job
	for i := range jobs {
		spec := *modelSpec(fmt.Sprintf("j-%06d", i))
		spec.Tasks = machines * perMachine / jobs
		all = append(all, term.ledger.NewJob(spec, clock.now, clock.now))
	}
	term.save()
	reports := make([]*protocol.Heartbeat, machines)
	for i := range reports {
		reports[i] = testReport(fmt.Sprintf("i-%06d", i), 1, 1, 1)
		machine := term.observe(reports[i], clock.now)
		for k := range perMachine {
			number := uint64(i*perMachine + k + 1)
			a := term.ledger.Assign(all[int(number-1)%jobs], machine, number, clock.now)
			reports[i].Tasks = append(reports[i].Tasks, protocol.TaskStatus{
				Job: a.Job.Spec.ID, Index: a.Index, Attempt: a.Number, Stage: protocol.TaskRunning,
			})
		}
	}
	return term, reports
}

// A fleet of 4,000 machines is kept in records of bounded size, all of it is unconfirmed
// after a change of leader, and one report of each machine settles that.
func TestLargestFleetIsRestored(t *testing.T) {
	term, reports := namedFleet(largestFleet)
	rows := saveAll(term)
	limit := term.Settings.Fleet.State.Both().ValueBytes()
	for _, row := range rows {
		if len(row.Value) > limit {
			t.Fatalf("record %s has %d bytes, %d are allowed", row.Key, len(row.Value), limit)
		}
	}
	later := testTerm(2, &manualClock{now: units.Second})
	later.ledger.Teams["team"].QuotaLimit = term.ledger.Teams["team"].QuotaLimit
	jobs, _, err := cluster.ParseJobs(rows)
	if err != nil {
		t.Fatal(err)
	}
	later.install(jobs, modelCatalog)
	if n := later.ledger.UnreconciledCount(); n != largestFleet {
		t.Fatalf("%d machines are unconfirmed after the restore", n)
	}
	for _, r := range reports {
		r.Sequence, r.FencingToken = r.Sequence+1, 2
		later.observe(r, units.Second)
	}
	live := 0
	for _, j := range later.ledger.Jobs {
		live += len(j.LiveAttempts)
	}
	if n := later.ledger.UnreconciledCount(); n != 0 || live != 4*largestFleet {
		t.Errorf("%d machines are unconfirmed after their reports, %d tasks are known", n, live)
	}
}

// What is done for each machine in turn takes no longer on the largest fleet: where half
// of it hangs, telling it of the term takes as many tries one after the other as on the
// largest fleet before.
func TestLargestFleetIsToldAsSoon(t *testing.T) {
	const before, socketsEach = 768, 2
	turns := func(machines int) int {
		slots := announceSlots(machines/2, socketsEach*machines)
		return (machines/2 + slots - 1) / slots
	}
	if small, large := turns(before), turns(largestFleet); large > small+2 {
		t.Errorf("%d machines take %d turns, %d take %d", before, small, largestFleet, large)
	}
	for _, sockets := range []int{100, 1200, 2 * largestFleet, 100_000} {
		if left := sockets - usersSockets(sockets); sockets >= 400 && left < socketsKept(sockets) || usersSockets(sockets) < sockets/2 {
			t.Errorf("of %d sockets %d are left beside users and workers", sockets, left)
		}
	}
	if kept := socketsKept(1200); kept != 64 {
		t.Errorf("%d sockets are kept on a deployment of 1,200", kept)
	}
}

// The machine list takes a third of the cloud's requests at most, however long it is.
func TestMachineListLeavesRequestsToRents(t *testing.T) {
	cloud := config.Cloud{RPS: 6, ListLagS: 4}
	for _, machines := range []int{0, 400, 1700, largestFleet, 3 * largestFleet} {
		pages := float64(1 + machines/protocol.MaxListPage)
		every := listEvery(cloud, machines)
		if rate := pages / every.Seconds(); rate > cloud.RPS/3 {
			t.Errorf("%d machines: the list takes %.2f requests a second of %.0f", machines, rate, cloud.RPS)
		}
		if machines <= 1499 && every != listLeast {
			t.Errorf("%d machines are listed every %v", machines, every.Duration())
		}
	}
}
