// Package storage holds the names and formats of the records in the key-value store that
// every controller of every version must agree on: keys, the leader lease, bucket heads,
// terminal states of jobs, the format of the fleet and the catalog of instance types.
package storage

import (
	"fmt"
	"hash/fnv"
	"net/url"
	"strconv"
	"strings"

	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// Keys of the records. Jobs live in buckets under their bucket's head; final
// states live apart, so that a restore does not grow with them.
const (
	KeyLeaderLease = "fleet"
	KeyCatalog     = "catalog" // and what begins with it
	// Below PrefixFormats are the formats that each controller reads, and the
	// fleet's.
	PrefixFormats     = "format/"
	KeyFleetFormat    = "format/fleet"
	PrefixBucketHeads = "bucket/"
	PrefixJobs        = "job/"
	prefixTerminal    = "final/"
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
	Format    int    `cbor:"format"`
	WrittenBy string `cbor:"by"` // the controller that wrote it
}

// KeyBucketHead is the key of a bucket's head.
func KeyBucketHead(bucket int) string { return fmt.Sprintf("%s%02d", PrefixBucketHeads, bucket) }

// KeyJob is the key of a live job's record.
func KeyJob(job string) string { return fmt.Sprintf("%s%02d/%s", PrefixJobs, BucketOf(job), job) }

// KeyTerminal is the key of a finished job's final state.
func KeyTerminal(job string) string { return prefixTerminal + job }

// The kinds of a job's further records, which lie below its own: parts of the names of
// machines, pages of the set of completed tasks, and such pages in the old format.
const (
	PartMachineNames = 'm'
	PartDonePage     = 'd'
	PartOldDonePage  = 'p'
)

// KeyJobPart is the key of a job's further record: the n-th of a kind.
func KeyJobPart(job string, kind byte, n int) string {
	return fmt.Sprintf("%s/%c%d", KeyJob(job), kind, n)
}

// ParseJobPart reads what a key below a job's says: the job's key, the kind and the
// number.
func ParseJobPart(key string) (job string, kind byte, n int, err error) {
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

// LeaseRecord is a leased record: the fleet's, which names the leader and whose
// incarnation is the workers' term, or a bucket's.
type LeaseRecord struct {
	Holder      string `cbor:"holder"`
	Incarnation uint64 `cbor:"incarnation"`
	WriteID     string `cbor:"save"`               // names the save, so that its author knows it again
	Resigned    bool   `cbor:"resigned,omitempty"` // the holder gave it up: no need to wait
	// HandedOverAt is the time of day when a holder that had fallen behind last gave
	// it up.
	HandedOverAt units.Micros `cbor:"handed,omitempty"`
}

// TerminalRecord is the record of a finished job.
type TerminalRecord struct {
	Stage   protocol.JobStage `cbor:"stage"`
	Tasks   int               `cbor:"tasks"`
	Done    int               `cbor:"done"`
	WriteID string            `cbor:"save"`
}

// StoredTerminalRecord is a Final as it was read or stored.
type StoredTerminalRecord struct {
	TerminalRecord
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
	// NewestFormat is the newest that this version reads and writes.
	NewestFormat = FormatAdmission
)

// PrefixPending holds jobs that a controller accepted while it could not reach a
// leader. Only the leader writes jobs' own records; it takes the inbox in.
const PrefixPending = "inbox/"

// KeyPending is the key of a job that no leader has taken in yet.
func KeyPending(job string) string { return PrefixPending + job }

// JobOfTerminalKey gives the job whose final state a key holds.
func JobOfTerminalKey(key string) (string, bool) { return strings.CutPrefix(key, prefixTerminal) }
