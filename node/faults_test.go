package node

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"dunestand/internal/protocol"
	"dunestand/internal/standin"
)

// An ordinary day, so that what the others find is not the day's own doing.
func TestQuietDay(t *testing.T) {
	play(t, plan{}, func(d *day) {
		for range 4 {
			d.submit(d.job(6, 8*time.Second))
		}
		d.wait(30 * time.Second)
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
