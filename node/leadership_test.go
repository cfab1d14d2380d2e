package node

import (
	"context"
	"testing"
	"time"

	"dunestand/internal/standin"
)

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
