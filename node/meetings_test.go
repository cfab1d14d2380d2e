package node

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"dunestand/internal/protocol"
	"dunestand/internal/standin"
)

// One test for each meeting of troubles that has broken a rule on real machines. What
// must never happen is the rule checker's to say; each test says what it brings about.

const long = 300 * time.Second // of a task that ends only by cancellation

// An ordinary day, so that what the others find is not the day's own doing.
func TestQuietDay(t *testing.T) {
	play(t, plan{}, func(d *day) {
		for range 4 {
			d.submit(d.job(6, 8*time.Second))
		}
		d.wait(30 * time.Second)
	})
}

// running submits jobs whose tasks have long to go, and waits until they run.
func (d *day) running(jobs, tasks int) []standin.JobInfo {
	d.t.Helper()
	var out []standin.JobInfo
	for range jobs {
		j := d.job(tasks, long)
		d.submit(j)
		out = append(out, j)
	}
	d.until("the tasks run", func() bool { return d.on(out) == jobs*tasks })
	return out
}

// on counts the tasks of jobs that are on machines.
func (d *day) on(jobs []standin.JobInfo) int {
	n := 0
	for _, j := range jobs {
		n += d.rules.On(j.ID)
	}
	return n
}

func (d *day) until(what string, good func() bool) {
	d.t.Helper()
	for range 600 {
		if good() {
			return
		}
		d.wait(100 * time.Millisecond)
	}
	d.t.Fatalf("not after a minute: %s", what)
}

// confirm has a user's cancellation confirmed by one controller, and tells whether
// it was.
func (d *day) confirm(node int, id string) bool {
	d.rules.Asked(id)
	status, stage := d.told(node, id, false, http.MethodPost, "/submissions/"+id+"/cancel", nil)
	return status == 200 && stage == protocol.StageCancelled
}

// The state service refuses the leader alone, users cancel, and then it is down for
// all for longer than cancel_s while workers report to the old leader. Whoever
// confirms a cancellation, in whichever second, the tasks are gone in time.
func TestGap(t *testing.T) {
	confirmed := 0
	after := []time.Duration{200 * time.Millisecond, 1300 * time.Millisecond, 1700 * time.Millisecond, 2500 * time.Millisecond, 6 * time.Second, 9 * time.Second}
	for ms := 3200; ms <= 5000; ms += 150 { // around the claim of the next leader
		after = append(after, time.Duration(ms)*time.Millisecond)
	}
	for i, after := range after {
		play(t, plan{seed: uint64(i)}, func(d *day) {
			jobs := d.running(6, 4)
			leader := d.leader()
			d.cancel(jobs[0].ID)
			d.refuse(leader, true)
			for i, j := range jobs[1:] { // each user asks again every second
				time.AfterFunc(time.Duration(i)*200*time.Millisecond, func() { d.cancel(j.ID) })
			}
			d.wait(after)
			d.outage(true)
			d.wait(dayCancel + 12*time.Second)
			d.refuse(leader, false)
			d.outage(false)
			d.wait(20 * time.Second)
			confirmed += d.rules.Confirmed()
		})
	}
	if confirmed < 20 {
		t.Errorf("only %d cancellations were confirmed", confirmed)
	}
}

// A new leader cannot read the records for longer than cancel_s, though it holds its
// lease: it knows of no cancellation that its predecessor confirmed, and must not keep
// the machines at work.
func TestLeaderThatCannotRestore(t *testing.T) {
	play(t, plan{}, func(d *day) {
		jobs := d.running(3, 6)
		leader := d.leader()
		for _, j := range jobs {
			if !d.confirm(leader, j.ID) {
				t.Error("the cancellation was not confirmed")
			}
		}
		d.end(leader)
		d.set(func() { d.listSlow = 4 * time.Second })
		d.wait(2 * dayCancel)
		d.set(func() { d.listSlow = 0 })
		d.start(leader)
		d.wait(10 * time.Second)
	})
}

// cancel_s is shorter than the workers' lease: a machine that no command reaches may
// hold a task for longer. Then nobody is told of a cancellation, by the leader, by
// another controller or from the records, until all the job's tasks are gone.
func TestTightCancel(t *testing.T) {
	play(t, plan{cancel: dayLease * 6 / 10}, func(d *day) {
		jobs := d.running(4, 4)
		for i, m := range d.busy() {
			m.Set(standin.Trouble{AnswersLost: i%3 == 0, ReportsLost: i%3 == 1})
		}
		d.cancel(jobs[0].ID)
		d.wait(time.Second)
		leader := d.leader()
		d.cancel(jobs[1].ID)
		d.refuse(leader, true)
		d.wait(5 * time.Second)
		d.cancel(jobs[2].ID)
		d.cancel(jobs[3].ID)
		d.wait(2 * dayLease)
		if d.rules.Confirmed() != len(jobs) {
			t.Errorf("%d of %d cancellations are confirmed", d.rules.Confirmed(), len(jobs))
		}
	})
}

// A job is cancelled while its tasks wait for their images, and the next reports are
// seconds away: none of them begins once its user has been told.
func TestCancelledBeforeItBegins(t *testing.T) {
	play(t, plan{report: 4 * time.Second}, func(d *day) {
		d.submit(d.job(1, 2*time.Second))
		j := d.job(12, long)
		j.Fetch = 3 * time.Second
		d.submit(j)
		d.until("tasks wait for their images", func() bool {
			for _, m := range d.all() {
				if m.Fetches() > 0 {
					return true
				}
			}
			return false
		})
		d.wait(time.Second)
		if !d.confirm(d.leader(), j.ID) {
			t.Error("the cancellation was not confirmed")
		}
		d.wait(4 * time.Second)
		if n := d.rules.LateStarts(); n > 0 {
			t.Errorf("%d tasks began after their user had been told", n)
		}
	})
}

// Copies of reports arrive again up to well over a lease later, from earlier sessions
// and attempts too, while leaders change and machines lose their leases.
func TestOldReportsArrive(t *testing.T) {
	play(t, plan{}, func(d *day) {
		trouble(d.all(), standin.Trouble{Copied: 0.7})
		for i := range 6 {
			d.submit(d.job(6, 20*time.Second))
			if i%2 == 1 {
				d.restart(d.leader(), 300*time.Millisecond)
			}
			d.all()[i%len(d.all())].Hang(dayLease + time.Second)
			d.wait(9 * time.Second)
		}
	})
}

// The leader loses the state service and the other controllers; workers and users
// still reach it, and jobs are cancelled through the new one.
func TestLeaderCutOffWithItsWorkers(t *testing.T) {
	play(t, plan{}, func(d *day) {
		jobs := d.running(4, 4)
		old := d.leader()
		d.refuse(old, true)
		d.cutPeers(old, true)
		d.wait(4500 * time.Millisecond)
		for _, j := range jobs {
			d.cancel(j.ID)
		}
		d.submit(d.job(6, 5*time.Second))
		d.wait(dayCancel + 10*time.Second)
		if d.rules.Confirmed() != len(jobs) {
			t.Errorf("%d of %d cancellations are confirmed", d.rules.Confirmed(), len(jobs))
		}
	})
}

// Jobs bound to one zone lose machines, to silence, to a cut and to a change of leader.
// What a machine held does not begin elsewhere while it may go on there.
func TestOneZoneJobsLoseMachines(t *testing.T) {
	play(t, plan{machines: 8}, func(d *day) {
		for i := range 6 {
			j := d.job(5, 15*time.Second)
			j.OneZone, j.Spread = i%3 == 0, i%3 == 1
			if i%3 == 2 {
				j.Zone = dayZones[i%2]
			}
			d.submit(j)
		}
		d.wait(3 * time.Second)
		for i, m := range d.busy() {
			switch i % 4 {
			case 0:
				m.Set(standin.Trouble{Cut: true})
			case 1, 2:
				m.Hang(7 * time.Second)
			}
		}
		d.wait(8 * time.Second)
		d.restart(d.leader(), time.Second)
		d.wait(20 * time.Second)
	})
}

// There is more work than room, urgent and not, and everything is slow. A task that is
// stopped for another one counts until it is gone.
func TestMoreWorkThanRoomOverSlowLinks(t *testing.T) {
	for seed := range uint64(4) {
		play(t, plan{machines: 4, limit: 13, seed: seed}, func(d *day) {
			d.set(func() { d.stateSlow = 150 * time.Millisecond })
			trouble(d.all(), standin.Trouble{Slow: 900 * time.Millisecond, Held: 0.2})
			for i := range 8 {
				j := d.job(8, 6*time.Second)
				j.Urgency = []string{"low", "normal", "high", "prod"}[i%4]
				d.submit(j)
				d.wait(time.Second)
			}
			d.wait(20 * time.Second)
		})
	}
}

// A cancellation, a question and a repeated submission meet the end of a job's last
// task, from shortly before to shortly after. What a user was told stays.
func TestRequestsMeetTheEnd(t *testing.T) {
	play(t, plan{}, func(d *day) {
		for i := range 32 {
			const runs = 2 * time.Second
			j := d.job(1+i%3, runs)
			d.submit(j)
			d.until("its last task runs", func() bool { return d.rules.On(j.ID) == 1+i%3 })
			d.wait(runs + time.Duration(i-24)*60*time.Millisecond)
			d.rules.Asked(j.ID)
			for k, ask := range []func(){
				func() {
					d.told(i%dayNodes, j.ID, false, http.MethodPost, "/submissions/"+j.ID+"/cancel", nil)
				},
				func() { d.told((i+1)%dayNodes, j.ID, false, http.MethodGet, "/submissions/"+j.ID, nil) },
				func() { d.told((i+2)%dayNodes, j.ID, true, http.MethodPost, "/submissions", described(j)) },
			} {
				if k == 0 || k != i%4 {
					ask()
				}
			}
		}
	})
}

// A leader ends while most machines with long tasks hear no answer.
// Their tasks end with their leases, and then begin on the others, though those that get no answers
// report on and never show the new term.
func TestLeaderEndsWhileAnswersAreLost(t *testing.T) {
	play(t, plan{machines: 8}, func(d *day) {
		for range 8 {
			d.submit(d.job(4, 15*time.Second))
		}
		d.until("all machines are busy", func() bool { return len(d.busy()) == 8 })
		trouble(d.all()[:6], standin.Trouble{AnswersLost: true})
		d.restart(d.leader(), time.Second)
		began := d.rules.Starts()
		d.wait(dayLease + 4*time.Second)
		if d.rules.Starts() == began {
			t.Error("nothing began, though machines that hear have room")
		}
	})
}

// Leaders change ten times in two minutes, inside an outage too, with cancellations
// between.
func TestTenLeadersInTwoMinutes(t *testing.T) {
	play(t, plan{}, func(d *day) {
		jobs := d.running(3, 2)
		for i := range 10 {
			d.submit(d.job(3, 20*time.Second))
			away := append(d.busy(), d.all()...)[:1]
			trouble(away, standin.Trouble{Cut: true})
			if i == 4 || i == 7 {
				d.outage(true)
			}
			d.restart(d.leaderIfAny(i), time.Duration(i)*300*time.Millisecond)
			if i < len(jobs) {
				d.cancel(jobs[i].ID)
			}
			d.wait(7 * time.Second)
			trouble(away, standin.Trouble{})
			d.wait(time.Second)
			d.outage(false)
		}
	})
}

// A zone with workers and a controller, the leader or another one, is cut off for
// longer than lease_s.
func TestZoneCutOff(t *testing.T) {
	for _, leads := range []bool{true, false} {
		play(t, plan{}, func(d *day) {
			jobs := d.running(2, 4)
			d.submit(d.job(16, 25*time.Second))
			d.wait(2 * time.Second)
			cut := d.leader()
			if !leads {
				cut = (cut + 1) % dayNodes
			}
			zone := dayZones[cut%len(dayZones)]
			inside := func(m *standin.Machine) bool { return m.Zone == zone }
			outside := func(m *standin.Machine) bool { return m.Zone != zone }
			d.refuse(cut, true)
			d.cutPeers(cut, true)
			d.cutWorkers(cut, true, outside)
			for i := range d.nodes {
				if i != cut {
					d.cutWorkers(i, true, inside)
				}
			}
			d.cancel(jobs[0].ID)
			d.wait(5 * time.Second)
			d.cancel(jobs[1].ID)
			d.wait(2 * dayLease)
			for i := range d.nodes {
				d.cutWorkers(i, false, func(*standin.Machine) bool { return true })
			}
			d.refuse(cut, false)
			d.cutPeers(cut, false)
			d.wait(5 * time.Second)
		})
	}
}

// A team is at its limit when the leader changes, the machines that it uses can't be
// asked, and a cancellation falls into that spell. What they may be running counts.
func TestTeamAtItsLimit(t *testing.T) {
	play(t, plan{machines: 8, limit: 10}, func(d *day) {
		jobs := d.running(2, 5)
		d.submit(d.job(8, 5*time.Second))
		trouble(d.busy(), standin.Trouble{Cut: true})
		leader := d.leader()
		d.end(leader)
		d.leader()
		d.cancel(jobs[0].ID)
		d.wait(4 * time.Second)
		d.start(leader)
		d.wait(2 * time.Second)
		d.cancel(jobs[1].ID)
		d.wait(2 * dayLease)
	})
}

// Jobs of two or three tasks end far apart across changes of the leader, which come
// right after an end was reported. No completion is lost, so nothing runs again.
func TestTasksEndAcrossLeaders(t *testing.T) {
	play(t, plan{}, func(d *day) {
		tasks := 0
		var jobs []standin.JobInfo
		for i := range 6 {
			j := d.job(2+i%2, time.Duration(20+4*i)*time.Second)
			d.submit(j)
			jobs = append(jobs, j)
			tasks += j.Tasks
		}
		d.until("all run", func() bool { return d.on(jobs) == tasks })
		for i := range 3 {
			leader := d.leader()
			on := d.on(jobs)
			d.until("a task ends", func() bool { return d.on(jobs) < on })
			d.wait(700 * time.Millisecond) // the end is reported and answered
			d.restart(leader, time.Duration(i)*time.Second)
		}
		d.wait(60 * time.Second)
		if n := d.rules.Starts(); n != tasks {
			t.Errorf("%d starts of %d tasks", n, tasks)
		}
	})
}

// Controllers end and are back within a fraction of a second, in the midst of an
// election too; all end, and one returns before the others.
func TestControllersReturnAtOnce(t *testing.T) {
	play(t, plan{}, func(d *day) {
		trouble(d.all(), standin.Trouble{Copied: 0.3, Held: 0.1})
		for round := range 4 {
			d.submit(d.job(5, 12*time.Second))
			leader := d.leader()
			d.restart(leader, 100*time.Millisecond)
			d.restart(leader, time.Duration(round)*400*time.Millisecond)
			d.wait(4 * time.Second)
			for i := range d.nodes {
				d.end(i)
			}
			d.wait(time.Duration(round) * 700 * time.Millisecond)
			d.start(round % dayNodes)
			d.wait(2 * time.Second)
			for i := range d.nodes {
				if i != round%dayNodes {
					d.start(i)
				}
			}
			d.wait(5 * time.Second)
		}
	})
}

// Reports are held back until a new leader has acted, and then arrive there: they show
// machines empty that were given tasks since, and reach nobody now.
func TestReportsHeldBackUntilANewLeaderActs(t *testing.T) {
	play(t, plan{}, func(d *day) {
		held := map[string]func(context.Context, string){}
		for _, m := range d.all() {
			held[m.ID] = m.Hold()
		}
		j := d.job(12, 20*time.Second)
		d.submit(j)
		d.until("it runs", func() bool { return d.rules.On(j.ID) == 12 })
		leader, busy := d.leader(), d.busy()
		trouble(busy, standin.Trouble{ReportsLost: true})
		d.restart(leader, 300*time.Millisecond)
		next := d.nodes[d.leader()].name
		for _, m := range busy {
			held[m.ID](d.ctx, next)
		}
		d.wait(2 * dayLease)
	})
}

// A leader that has lost the state service places what waits, and ends. What it could
// not write down must not have begun: the next leader would begin it elsewhere.
func TestLeaderPlacesWithoutTheStateService(t *testing.T) {
	play(t, plan{machines: 4, limit: 40}, func(d *day) {
		var full []standin.JobInfo // a task ends on each machine every three seconds
		for range 4 {
			j := d.job(4, 12*time.Second)
			d.submit(j)
			full = append(full, j)
		}
		d.until("all machines are full", func() bool { return d.on(full) == 16 })
		waits := d.job(6, long)
		d.submit(waits)
		leader := d.leader()
		d.wait(1500 * time.Millisecond)
		d.refuse(leader, true)
		d.until("tasks end", func() bool { return d.on(full) <= 12 })
		d.wait(1300 * time.Millisecond)
		trouble(d.all()[:2], standin.Trouble{Cut: true})
		d.end(leader)
		d.refuse(leader, false)
		d.wait(dayLease)
		d.start(leader)
		d.cancel(waits.ID)
	})
}

// Transactions get no answer and are carried out late, after newer ones.
func TestTransactionsCarriedOutLate(t *testing.T) {
	for seed := range uint64(3) {
		play(t, plan{seed: seed}, func(d *day) {
			jobs := d.running(3, 2)
			d.set(func() { d.late = 0.3 })
			for i := range 6 {
				j := d.job(4, 10*time.Second)
				go d.submit(j)
				if i < len(jobs) {
					d.cancel(jobs[i].ID)
				}
				d.wait(5 * time.Second)
				if i == 3 {
					d.restart(d.leaderIfAny(i), time.Second)
				}
			}
		})
	}
}

// A cancellation is carried out late, when the next leader has read the records and
// does not know of it. Then nobody may be told of it from the records.
func TestCancellationCarriedOutAfterTheRestore(t *testing.T) {
	for seed := range uint64(3) {
		play(t, plan{seed: seed}, func(d *day) {
			j := d.running(1, 6)[0]
			leader := d.leader()
			d.set(func() { d.late = 1 })
			go d.confirm(leader, j.ID)
			d.wait(200 * time.Millisecond)
			d.set(func() { d.late = 0 })
			d.restart(leader, 100*time.Millisecond)
			next := d.leader()
			d.wait(14 * time.Second) // it is carried out
			d.cutPeers(next, true)
			d.wait(4 * time.Second)
			for i := range d.nodes {
				d.told(i, j.ID, false, http.MethodGet, "/submissions/"+j.ID, nil)
			}
			d.cutPeers(next, false)
			d.wait(4 * time.Second)
			d.told(next, j.ID, false, http.MethodGet, "/submissions/"+j.ID, nil)
			d.cancel(j.ID)
		})
	}
}

// Workers can't open connections to any controller, while direct commands reach them.
func TestMachinesThatReachNoController(t *testing.T) {
	for _, share := range []int{3, 1} {
		play(t, plan{seed: uint64(share)}, func(d *day) {
			jobs := d.running(2, 4)
			d.submit(d.job(16, 30*time.Second))
			d.wait(2 * time.Second)
			for i, m := range d.all() {
				if i%share == 0 {
					m.Set(standin.Trouble{ReportsLost: true})
				}
			}
			d.cancel(jobs[0].ID)
			d.wait(4500 * time.Millisecond)
			d.restart(d.leaderIfAny(0), time.Second)
			d.cancel(jobs[1].ID)
			d.wait(2*dayLease + 5*time.Second)
		})
	}
}

// Commands are held up for seconds, machines hang at the moment at which their jobs
// are cancelled, and then go on. Many hang at once and for longer than cancel_s: what
// they hold is cancelled and must be gone, and they do not count as a zone that is
// cut off.
func TestMachinesHangWithCancelledTasks(t *testing.T) {
	for _, hang := range []time.Duration{6 * time.Second, dayLease - time.Second, dayCancel + 12*time.Second} {
		play(t, plan{machines: 8}, func(d *day) {
			jobs := d.running(4, 6)
			d.submit(d.job(4, 10*time.Second))
			trouble(d.all(), standin.Trouble{Slow: 3 * time.Second})
			for _, j := range jobs {
				d.cancel(j.ID)
			}
			for i, m := range d.busy() {
				if i%2 == 0 {
					m.Hang(hang)
				}
			}
			d.wait(dayCancel + 15*time.Second)
		})
	}
}

// The state service answers slowly, then refuses the leader alone, then everybody for
// longer than cancel_s, while users cancel and ask.
func TestSlowStateAndOutages(t *testing.T) {
	play(t, plan{}, func(d *day) {
		jobs := d.running(6, 2)
		d.set(func() { d.stateSlow = 700 * time.Millisecond })
		d.cancel(jobs[0].ID)
		d.wait(4 * time.Second)
		d.cancel(jobs[1].ID)
		leader := d.leaderIfAny(0)
		d.refuse(leader, true)
		d.cancel(jobs[2].ID)
		d.wait(6 * time.Second)
		d.cancel(jobs[3].ID)
		d.outage(true)
		d.cancel(jobs[4].ID)
		d.wait(dayCancel + 5*time.Second)
		d.set(func() { d.stateSlow = 0 })
		d.outage(false)
		d.cancel(jobs[5].ID)
		d.wait(10 * time.Second)
	})
}

// All controllers are away for longer than lease_s.
func TestAllControllersAway(t *testing.T) {
	play(t, plan{}, func(d *day) {
		jobs := d.running(2, 3)
		d.submit(d.job(8, 20*time.Second))
		d.wait(2 * time.Second)
		if !d.confirm(d.leader(), jobs[0].ID) {
			t.Error("the cancellation was not confirmed")
		}
		for i := range d.nodes {
			d.end(i)
		}
		d.wait(dayLease + 5*time.Second)
		for i := range d.nodes {
			d.start(i)
		}
		d.cancel(jobs[1].ID)
		d.wait(5 * time.Second)
	})
}

// Most machines hear no answers for longer than their lease. Once they do again, they
// get work, though they were thought to carry nothing out.
func TestFleetWithoutAnswersRecovers(t *testing.T) {
	play(t, plan{}, func(d *day) {
		for range 4 {
			d.submit(d.job(6, 30*time.Second))
		}
		d.wait(4 * time.Second)
		trouble(d.all(), standin.Trouble{AnswersLost: true})
		d.wait(10 * dayLease)
	})
}

// Repeats of unfinished jobs, with other contents or lacking a field too, are the
// known job; cancelling what is done answers done; what fits no machine or lacks a
// field is refused, by every controller.
func TestOddRequests(t *testing.T) {
	play(t, plan{}, func(d *day) {
		j, over := d.job(3, 60*time.Second), d.job(1, time.Second)
		d.submit(j)
		d.submit(over)
		d.until("it is done", func() bool { return d.rules.Told(over.ID) == protocol.StageDone })
		check := func(when string, alone bool) {
			for node := range d.nodes {
				other := described(j)
				other["bolts"], other["crew"] = 7, "nobody"
				lacking := described(j)
				delete(lacking, "vcpus")
				for _, body := range []map[string]any{described(j), other, lacking} {
					if status, _ := d.told(node, j.ID, true, http.MethodPost, "/submissions", body); status != 200 && !alone {
						t.Errorf("%s: a repeat is answered %d by n-%d", when, status, node)
					}
				}
				if status, stage := d.told(node, over.ID, false, http.MethodPost, "/submissions/"+over.ID+"/cancel", nil); !alone && (status != 200 || stage != protocol.StageDone) {
					t.Errorf("%s: cancelling a job that is done: %d %s", when, status, stage)
				}
				if status, _ := d.ask(node, http.MethodPost, "/submissions/j-999999/cancel", nil); !alone && status != 404 {
					t.Errorf("%s: cancelling an unknown job: %d", when, status)
				}
				for i, change := range []func(map[string]any){
					func(b map[string]any) { b["vcpus"] = 64.0 }, func(b map[string]any) { b["looms"] = []string{"none"} },
					func(b map[string]any) { b["yard"] = "nowhere" }, func(b map[string]any) { b["crew"] = "nobody" },
					func(b map[string]any) { delete(b, "bolts") }, func(b map[string]any) { delete(b, "urgency") },
					func(b map[string]any) { delete(b, "together") }, func(b map[string]any) { delete(b, "memory_gb") },
				} {
					bad := submission(fmt.Sprintf("j-8%02d%02d", node, i), 1)
					change(bad)
					want := 422
					if i >= 4 {
						want = 400
					}
					if status, _ := d.ask(node, http.MethodPost, "/submissions", bad); status == 200 || status == 201 || !alone && status != want {
						t.Errorf("%s: n-%d answers %d to bad submission %d", when, node, status, i)
					}
				}
			}
		}
		check("with a leader", false)
		d.refuse(d.leader(), true)
		d.wait(2 * time.Second)
		check("without a leader", true)
	})
}

// leaderIfAny is the leader, or any controller where none may lead now.
func (d *day) leaderIfAny(otherwise int) int {
	if d.is(&d.stateDown) {
		return otherwise % dayNodes
	}
	return d.leader()
}
