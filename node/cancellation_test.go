package node

import (
	"net/http"
	"testing"
	"time"

	"dunestand/internal/standin"
)

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
