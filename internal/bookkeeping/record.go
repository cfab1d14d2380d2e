package bookkeeping

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net/url"
	"strconv"
	"strings"
	"unicode/utf8"

	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// Keys of the records. Jobs live in buckets under their bucket's head; final
// states live apart, so that a restore does not grow with them.
const (
	KeyFleet   = "fleet"
	KeyCatalog = "catalog" // and what begins with it
	// Below PrefixFormats are the formats that each controller reads, and the
	// fleet's.
	PrefixFormats  = "format/"
	KeyFleetFormat = "format/fleet"
	PrefixHeads    = "bucket/"
	PrefixJobs     = "job/"
	prefixFinal    = "final/"
)

// Buckets is the number of buckets (DESIGN).
const Buckets = 16

// BucketOf gives the bucket of a job.
func BucketOf(job string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(job))
	return int(h.Sum32() % Buckets)
}

// KeyFormat is the key of the format that a controller reads.
func KeyFormat(node string) string { return PrefixFormats + "node/" + url.PathEscape(node) }

// FormatRecord is a format, of a controller or of the fleet.
type FormatRecord struct {
	Format int    `cbor:"format"`
	By     string `cbor:"by"` // the controller that wrote it
}

// KeyHead is the key of a bucket's head.
func KeyHead(bucket int) string { return fmt.Sprintf("%s%02d", PrefixHeads, bucket) }

// KeyJob is the key of a live job's record.
func KeyJob(job string) string { return fmt.Sprintf("%s%02d/%s", PrefixJobs, BucketOf(job), job) }

// KeyFinal is the key of a finished job's final state.
func KeyFinal(job string) string { return prefixFinal + job }

// A job's further records lie below its own: parts of the names of machines,
// pages of the done set, and pages in the old form.
const (
	kindNames   = 'm'
	kindPage    = 'd'
	kindOldPage = 'p'
)

func keyPart(job string, kind byte, n int) string {
	return fmt.Sprintf("%s/%c%d", KeyJob(job), kind, n)
}

// parsePart reads what a key below a job's says: the job's key, the kind and the
// number.
func parsePart(key string) (job string, kind byte, n int, err error) {
	cut := strings.LastIndexByte(key, '/')
	job, rest := key[:cut], key[cut+1:]
	if len(rest) >= 2 {
		kind = rest[0]
		n, err = strconv.Atoi(rest[1:])
	}
	if len(rest) < 2 || err != nil || n < 0 || rest != fmt.Sprintf("%c%d", kind, n) || !strings.ContainsRune("mdp", rune(kind)) {
		return "", 0, 0, fmt.Errorf("record %s: not of a known kind", key)
	}
	return job, kind, n, nil
}

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

// FinalRecord is a Final as it was read or stored.
type FinalRecord struct {
	Final
	Version uint64
}

// Formats of a job's records. In the old one a single record names all
// machines, and the pages of a large done set follow it. Controllers that know
// no other may lead until the fleet's format is raised. In the new one every
// record has a bounded size, however large the job is and whatever it is on.
const (
	FormatOld = 1
	FormatNew = 2
	// FormatAdmission has the records of FormatNew. All controllers of such a fleet
	// admit jobs by the admission plan; one that does not know it must not lead.
	FormatAdmission = 3
	// Format is the newest that this version reads and writes.
	Format = FormatAdmission
)

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
	Done       string       `cbor:"done" json:"done"`         // the done set, or the first page of it in the old form
	Pages      int          `cbor:"pages" json:"pages"`       // further pages, in the old form
}

// names is a further part of the names of machines.
type names struct {
	Format   int      `cbor:"v" json:"v"`
	Save     string   `cbor:"save" json:"save"`
	Machines []string `cbor:"machines" json:"machines"`
}

// page is a part of a large array's done set.
type page struct {
	Format int    `cbor:"v,omitempty" json:"v"` // not in the old form
	Save   string `cbor:"save,omitempty" json:"save"`
	Done   string `cbor:"done" json:"done"`
}

const (
	// oldPageTasks is how many tasks a page covers in the old form: 2 KiB of bits,
	// 2.7 KiB as the text that the state service can hold.
	oldPageTasks = 16 << 10
	// pageTasks is the same in the new form: 0.7 KiB as text.
	pageTasks = 4 << 10
	// inlineTasks is the largest array whose done set is in its own record.
	inlineTasks = 1 << 10
)

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
	for i, x := range raw {
		into[i] |= x // the same tasks may be told of in both forms
	}
	return nil
}

func (j *Job) record(save string, machines []string) record {
	s := &j.Spec
	return record{
		Format:     j.format,
		Save:       save,
		ID:         s.ID,
		Class:      s.Class,
		Team:       s.Team,
		Shape:      uint8(s.Shape),
		Priority:   uint8(s.Priority),
		Tasks:      s.Tasks,
		CPU:        s.Need.CPU,
		GPU:        s.Need.GPU,
		Memory:     s.Need.Memory,
		Types:      s.Types,
		Zone:       s.Zone,
		OneZone:    s.OneZone,
		Spread:     s.Spread,
		Spot:       s.Spot,
		Image:      s.Image,
		ImageSize:  s.ImageSize,
		Estimate:   s.Estimate,
		Checkpoint: s.Checkpoint,
		SaveTime:   s.Save,
		Deadline:   s.Deadline,
		Submitted:  j.Submitted,
		Cancelled:  j.Cancelled,
		Machines:   machines,
		Done:       encodePage(j.inline()),
		Pages:      j.oldPageCount(),
	}
}

// inline is the part of the done set that is in the job's own record.
func (j *Job) inline() []byte {
	switch {
	case j.format == FormatOld:
		return j.done.page(0, oldPageTasks)
	case j.Spec.Tasks <= inlineTasks:
		return j.done
	}
	return nil
}

// oldPageCount is the number of further pages that a reader of the old form
// expects.
func (j *Job) oldPageCount() int {
	if j.format == FormatOld {
		return (j.Spec.Tasks - 1) / oldPageTasks
	}
	return 0
}

// jsonSize is the size of a record as the state service counts it, at most:
// how it writes what is not ASCII is not said.
func jsonSize(r any) int {
	raw, err := json.Marshal(r)
	if err != nil {
		panic(err) // a struct of texts and numbers
	}
	size := len(raw)
	for _, c := range string(raw) {
		if c >= utf8.RuneSelf {
			size += 8 // as a pair of escapes
		}
	}
	return size
}

// JobOfFinal gives the job whose final state a key holds.
func JobOfFinal(key string) (string, bool) { return strings.CutPrefix(key, prefixFinal) }
