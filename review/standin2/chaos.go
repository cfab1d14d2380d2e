package standin2

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"dunestand/internal/protocol"
)

// view is what the user of one job was told.
type view struct {
	w  *world
	id string

	mu       sync.Mutex
	accepted bool
	final    protocol.JobStage
}

// told checks an answer against what was told before its request was sent.
func (v *view) told(node int, accepted bool, final protocol.JobStage, status int, state protocol.JobState) {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case status == http.StatusNotFound && accepted:
		v.w.rec.violation("forgotten: node %d answers 404 for %s, which was accepted", node, v.id)
	case (status == http.StatusBadRequest || status == http.StatusUnprocessableEntity) && accepted:
		v.w.rec.violation("forgotten: node %d answers %d for %s, which was accepted", node, status, v.id)
	case status != http.StatusOK && status != http.StatusCreated:
		return
	case final != "" && state.Stage != final:
		v.w.rec.violation("went_back: node %d calls %s %s after it was called %s", node, v.id, state.Stage, final)
	}
	if status == http.StatusOK || status == http.StatusCreated {
		v.accepted = true
	}
	if state.Stage.IsTerminal() {
		if state.Stage == protocol.StageDone && !v.w.allDone(v.id) {
			v.w.rec.violation("not_done: node %d calls %s done before all its tasks are", node, v.id)
		}
		v.final = state.Stage
	}
}

func (v *view) known() (bool, protocol.JobStage) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.accepted, v.final
}

// ask polls a node.
func (v *view) ask(node int) {
	accepted, final := v.known()
	status, state := v.w.poll(node, v.id)
	v.told(node, accepted, final, status, state)
}

// askAll polls all nodes at once.
func (v *view) askAll() {
	var all sync.WaitGroup
	for i := range v.w.nodes {
		all.Go(func() { v.ask(i) })
	}
	all.Wait()
}

func (w *world) allDone(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.done[id]) == w.jobs[id].tasks
}

// useJob submits a job, looks at it closely, and cancels some.
func (w *world) useJob(id string, random *rand.Rand) {
	crew := w.teams[random.IntN(len(w.teams))].name
	w.upload(id, 1+random.IntN(3), 2, time.Duration(500+random.IntN(6000))*time.Millisecond)
	body := protocol.Encode(w.submission(id, crew))
	v := &view{w: w, id: id}
	cancelAt := time.Now().Add(time.Hour)
	if random.IntN(3) == 0 {
		cancelAt = time.Now().Add(time.Duration(random.IntN(8000)) * time.Millisecond)
	}
	looked := ""
	for w.ctx.Err() == nil && time.Now().Before(w.quietAt) {
		accepted, final := v.known()
		node := random.IntN(len(w.nodes))
		switch {
		case !accepted || random.IntN(12) == 0:
			status, state := w.request(node, protocol.PathSubmit, body, 5*time.Second)
			v.told(node, accepted, final, status, state)
		case final == "" && time.Now().After(cancelAt):
			status, state := w.request(node, "/submissions/"+id+"/cancel", nil, 5*time.Second)
			v.told(node, accepted, final, status, state)
		default:
			v.ask(node)
		}
		accepted, final = v.known()
		if now := fmt.Sprint(accepted, final); now != looked {
			looked = now
			for range 3 {
				v.askAll()
			}
		}
		if final != "" && random.IntN(3) == 0 {
			return
		}
		time.Sleep(time.Duration(random.IntN(700)) * time.Millisecond)
	}
}

// chaos lets leaders stand still again and again under a load of small jobs.
func chaos(w *world, _ bool) error {
	seed, _ := strconv.ParseUint(fmt.Sprint(time.Now().UnixNano()), 10, 64)
	random := rand.New(rand.NewPCG(seed, 1))
	w.rec.log("seed %d", seed)
	for i := range 3 {
		w.cloud.addMachine(w.catalog[0].Name, w.zones[i%2])
	}
	if _, err := w.startAll(); err != nil {
		return err
	}
	w.quietAt = time.Now().Add(85 * time.Second)
	var users sync.WaitGroup
	var number atomic.Int64
	for k := range 6 {
		userRandom := rand.New(rand.NewPCG(seed, uint64(k+2)))
		users.Go(func() {
			for time.Now().Before(w.quietAt) {
				w.useJob(fmt.Sprintf("j-%06d", number.Add(1)), userRandom)
			}
		})
	}
	for time.Now().Before(w.quietAt.Add(-12 * time.Second)) {
		time.Sleep(time.Duration(500+random.IntN(2500)) * time.Millisecond)
		w.disturb(random)
	}
	users.Wait()
	return nil
}

// disturb starts one random fault and waits for its end.
func (w *world) disturb(random *rand.Rand) {
	i, _ := w.leader()
	if i < 0 {
		return
	}
	n := w.nodes[i]
	length := time.Duration(1000+random.IntN(7000)) * time.Millisecond
	machines := w.cloud.all()
	m := machines[random.IntN(len(machines))]
	onState := func(f func(r *http.Request, body []byte) stateFault) {
		for _, other := range w.nodes {
			other.mu.Lock()
			other.onState = f
			other.mu.Unlock()
		}
	}
	share := random.Float64()
	pick := func() bool { return rand.Float64() < share }
	switch random.IntN(9) {
	case 0:
		w.kill(i)
		time.Sleep(time.Duration(random.IntN(4000)) * time.Millisecond)
		_ = w.start(i)
	case 1, 2:
		w.stop(i)
		time.Sleep(length)
		w.resume(i)
	case 3:
		w.rec.log("state service refuses node %d for %v", i, length)
		n.mu.Lock()
		n.refused = true
		n.mu.Unlock()
		time.Sleep(length)
		n.mu.Lock()
		n.refused = false
		n.mu.Unlock()
	case 4:
		w.rec.log("answers to %.0f%% of the transactions are lost for %v", 100*share, length)
		onState(func(r *http.Request, _ []byte) stateFault {
			return stateFault{lost: r.URL.Path == protocol.PathCommit && pick()}
		})
		time.Sleep(length)
		onState(nil)
	case 5:
		w.rec.log("%.0f%% of the transactions are carried out late for %v", 100*share, length)
		onState(func(r *http.Request, _ []byte) stateFault {
			if r.URL.Path == protocol.PathCommit && pick() {
				return stateFault{later: time.Duration(2000+rand.IntN(10000)) * time.Millisecond}
			}
			return stateFault{}
		})
		time.Sleep(length)
		onState(nil)
	case 6:
		w.rec.log("the state service is slow for %v", length)
		onState(func(*http.Request, []byte) stateFault {
			return stateFault{wait: time.Duration(rand.IntN(600)) * time.Millisecond}
		})
		time.Sleep(length)
		onState(nil)
	case 7:
		m.hang(length)
		time.Sleep(length / 2)
	default:
		w.rec.log("machine %s hears nothing or is not heard for %v", m.id, length)
		m.mu.Lock()
		m.deaf, m.mute = pick(), pick()
		m.mu.Unlock()
		if random.IntN(2) == 0 {
			w.kill(i)
			time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
			_ = w.start(i)
		}
		time.Sleep(length)
		m.mu.Lock()
		m.deaf, m.mute = false, false
		m.mu.Unlock()
	}
}
