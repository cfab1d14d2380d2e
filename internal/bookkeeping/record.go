package bookkeeping

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"strings"

	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// Keys of the records. Jobs live in buckets under their bucket's head; final
// states live apart, so that a restore does not grow with them.
const (
	KeyFleet    = "fleet"
	KeyCatalog  = "catalog"
	PrefixHeads = "bucket/"
	PrefixJobs  = "job/"
	prefixFinal = "final/"
)

// Buckets is the number of buckets (DESIGN).
const Buckets = 16

// BucketOf gives the bucket of a job.
func BucketOf(job string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(job))
	return int(h.Sum32() % Buckets)
}

// KeyHead is the key of a bucket's head.
func KeyHead(bucket int) string { return fmt.Sprintf("%s%02d", PrefixHeads, bucket) }

// KeyJob is the key of a live job's record.
func KeyJob(job string) string { return fmt.Sprintf("%s%02d/%s", PrefixJobs, BucketOf(job), job) }

// KeyFinal is the key of a finished job's final state.
func KeyFinal(job string) string { return prefixFinal + job }

func keyPage(job string, page int) string { return fmt.Sprintf("%s/p%d", KeyJob(job), page) }

// Lease is a leased record: the fleet's, which names the leader and whose
// incarnation is the workers' term, or a bucket's.
type Lease struct {
	Holder      string `cbor:"holder"`
	Incarnation uint64 `cbor:"incarnation"`
	Save        string `cbor:"save"`               // names the save, so that its author knows it again
	Resigned    bool   `cbor:"resigned,omitempty"` // the holder gave it up: no need to wait
	// Handed is the time of day when a holder that had fallen behind last gave
	// it up.
	Handed units.Micros `cbor:"handed,omitempty"`
}

// Final is the record of a finished job.
type Final struct {
	Stage protocol.Stage `cbor:"stage"`
	Tasks int            `cbor:"tasks"`
	Done  int            `cbor:"done"`
	Save  string         `cbor:"save"`
}

const recordFormat = 1

// record is a live job as it is stored. Durations are in microseconds.
type record struct {
	Format     int          `cbor:"v" json:"v"`
	Save       string       `cbor:"save" json:"save"`
	ID         string       `cbor:"id" json:"id"`
	Class      string       `cbor:"class" json:"class"`
	Team       string       `cbor:"team" json:"team"`
	Shape      uint8        `cbor:"shape" json:"shape"`
	Priority   uint8        `cbor:"priority" json:"priority"`
	Tasks      int          `cbor:"tasks" json:"tasks"`
	CPU        units.Amount `cbor:"cpu" json:"cpu"`
	GPU        units.Amount `cbor:"gpu" json:"gpu"`
	Memory     units.Amount `cbor:"memory" json:"memory"`
	Types      []string     `cbor:"types" json:"types"`
	Zone       string       `cbor:"zone" json:"zone"`
	OneZone    bool         `cbor:"one_zone" json:"one_zone"`
	Spread     bool         `cbor:"spread" json:"spread"`
	Spot       bool         `cbor:"spot" json:"spot"`
	Image      string       `cbor:"image" json:"image"`
	ImageSize  units.Amount `cbor:"image_size" json:"image_size"`
	Estimate   units.Micros `cbor:"estimate" json:"estimate"`
	Checkpoint units.Micros `cbor:"checkpoint" json:"checkpoint"`
	SaveTime   units.Micros `cbor:"save_time" json:"save_time"`
	Deadline   units.Micros `cbor:"deadline" json:"deadline"`
	Submitted  units.Micros `cbor:"submitted" json:"submitted"` // time of day
	Cancelled  bool         `cbor:"cancelled" json:"cancelled"`
	Machines   []string     `cbor:"machines" json:"machines"` // may hold tasks of the job
	Done       string       `cbor:"done" json:"done"`         // page 0 of the done set
	Pages      int          `cbor:"pages" json:"pages"`       // further pages
}

// page is a further part of a large array's done set.
type page struct {
	Done string `cbor:"done"`
}

// pageTasks is how many tasks a page of the done set covers: 2 KiB of bits,
// 2.7 KiB as the text that the state service can hold.
const pageTasks = 16 << 10

// bitset is a set of task numbers.
type bitset []byte

func newBitset(n int) bitset    { return make(bitset, (n+7)/8) }
func (b bitset) has(i int) bool { return b[i/8]&(1<<(i%8)) != 0 }
func (b bitset) add(i int)      { b[i/8] |= 1 << (i % 8) }
func (b bitset) page(p int) []byte {
	return b[min(p*pageTasks/8, len(b)):min((p+1)*pageTasks/8, len(b))]
}

func encodePage(b []byte) string {
	end := len(b)
	for end > 0 && b[end-1] == 0 {
		end--
	}
	return base64.RawStdEncoding.EncodeToString(b[:end])
}

func decodePage(text string, into []byte) error {
	raw, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil {
		return err
	}
	if len(raw) > len(into) {
		return errors.New("done set is longer than the job")
	}
	copy(into, raw)
	return nil
}

func (j *Job) record(save string, machines []string) record {
	s := &j.Spec
	return record{
		Format: recordFormat, Save: save, ID: s.ID, Class: s.Class, Team: s.Team, Shape: uint8(s.Shape), Priority: uint8(s.Priority),
		Tasks: s.Tasks, CPU: s.Need.CPU, GPU: s.Need.GPU, Memory: s.Need.Memory, Types: s.Types, Zone: s.Zone,
		OneZone: s.OneZone, Spread: s.Spread, Spot: s.Spot, Image: s.Image, ImageSize: s.ImageSize,
		Estimate: s.Estimate, Checkpoint: s.Checkpoint, SaveTime: s.Save, Deadline: s.Deadline,
		Submitted: j.Submitted, Cancelled: j.Cancelled, Machines: machines, Done: encodePage(j.done.page(0)),
		Pages: j.pages(),
	}
}

// jsonSize is the size of a record as the state service counts it.
func jsonSize(r record) int {
	raw, err := json.Marshal(r)
	if err != nil {
		panic(err) // a struct of texts and numbers
	}
	return len(raw)
}

// parseRecord reads a job's record. A record that cannot be read is an error,
// never an empty job.
func parseRecord(key string, raw protocol.Raw) (*Job, record, error) {
	var r record
	if err := protocol.Decode(raw, &r); err != nil {
		return nil, r, fmt.Errorf("record %s: %w", key, err)
	}
	switch {
	case r.Format != recordFormat:
		return nil, r, fmt.Errorf("record %s: format %d is not known", key, r.Format)
	case !protocol.ValidJobID(r.ID) || KeyJob(r.ID) != key:
		return nil, r, fmt.Errorf("record %s: names job %q", key, r.ID)
	case r.Tasks < 1 || r.Tasks > protocol.MaxTasks || int(r.Priority) >= protocol.Priorities || int(r.Shape) >= protocol.Shapes || r.Pages != (r.Tasks-1)/pageTasks:
		return nil, r, fmt.Errorf("record %s: out of range", key)
	}
	j := newJob(protocol.JobSpec{
		ID: r.ID, Class: r.Class, Team: r.Team, Shape: protocol.Shape(r.Shape), Priority: protocol.Priority(r.Priority), Tasks: r.Tasks,
		Need:  units.Resources{CPU: r.CPU, GPU: r.GPU, Memory: r.Memory},
		Types: r.Types, Zone: r.Zone, OneZone: r.OneZone, Spread: r.Spread, Spot: r.Spot,
		Image: r.Image, ImageSize: r.ImageSize, Estimate: r.Estimate, Checkpoint: r.Checkpoint,
		Save: r.SaveTime, Deadline: r.Deadline,
	}, r.Submitted)
	j.Cancelled, j.CancelStored = r.Cancelled, r.Cancelled
	if err := decodePage(r.Done, j.done.page(0)); err != nil {
		return nil, r, fmt.Errorf("record %s: %w", key, err)
	}
	return j, r, nil
}

// ParseJobs reads the rows under the jobs' prefix. Any row that cannot be
// read fails the whole: skipping it would forget a job.
func ParseJobs(rows []protocol.Item) ([]*Job, error) {
	var jobs []*Job
	byKey := map[string]*Job{}
	var pages []protocol.Item
	for _, row := range rows {
		if strings.Count(row.Key, "/") == 3 {
			pages = append(pages, row)
			continue
		}
		j, r, err := parseRecord(row.Key, row.Value)
		if err != nil {
			return nil, err
		}
		j.version, j.stored = row.Version, true
		j.changed = j.Cancelled // its end may be due
		for _, m := range r.Machines {
			j.name(m)
			j.machines[m] = true
			j.Doubts[m] = true
		}
		byKey[row.Key] = j
		jobs = append(jobs, j)
	}
	for _, row := range pages {
		cut := strings.LastIndexByte(row.Key, '/')
		j := byKey[row.Key[:cut]]
		var n int
		if _, err := fmt.Sscanf(row.Key[cut+1:], "p%d", &n); err != nil || j == nil || n < 1 || n > j.pages() {
			return nil, fmt.Errorf("record %s: belongs to no job", row.Key)
		}
		var p page
		if err := protocol.Decode(row.Value, &p); err != nil {
			return nil, fmt.Errorf("record %s: %w", row.Key, err)
		}
		if err := decodePage(p.Done, j.done.page(n)); err != nil {
			return nil, fmt.Errorf("record %s: %w", row.Key, err)
		}
		j.storedPages[n] = true
	}
	for _, j := range jobs {
		j.recount()
	}
	return jobs, nil
}

// JobOfFinal gives the job whose final state a key holds.
func JobOfFinal(key string) (string, bool) { return strings.CutPrefix(key, prefixFinal) }
