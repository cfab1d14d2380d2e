// Package storage holds the names and formats of the records in the key-value store that
// every controller of every version must agree on: keys, the leader lease, bucket heads,
// terminal states of jobs, the format of the fleet and the catalog of instance types. The
// names on the wire that differ from the field's terms stay in the cbor tags and keys here.
package storage

import (
	"errors"
	"fmt"
	"hash/fnv"
	"net/url"
	"strconv"
	"strings"
)

// Keys of the records. Jobs are kept in buckets under their bucket's head; terminal
// states are kept apart, so that a restore does not grow with them.
const (
	KeyLeaderLease = "fleet"
	KeyCatalog     = "catalog" // and what begins with it
	// Below PrefixFormats are the formats that each controller reads, and the
	// fleet's.
	PrefixFormats     = "format/"
	KeyFleetFormat    = "format/fleet"
	PrefixBucketHeads = "bucket/"
	PrefixJobs        = "job/"
	// PrefixPending holds the queue of pending submissions: jobs that a controller accepted
	// while it could not reach a leader. Only the leader writes jobs' own records; it
	// ingests the queue.
	PrefixPending  = "inbox/"
	prefixTerminal = "final/"
)

// Buckets is the number of buckets, see docs/design.md.
const Buckets = 16

// BucketOf returns the bucket of a job.
func BucketOf(job string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(job))
	return int(h.Sum32() % Buckets)
}

// KeyFormat returns the key of the format that a controller reads.
func KeyFormat(node string) string { return PrefixFormats + "node/" + url.PathEscape(node) }

// KeyBucketHead returns the key of a bucket's head.
func KeyBucketHead(bucket int) string { return fmt.Sprintf("%s%02d", PrefixBucketHeads, bucket) }

// KeyJob returns the key of a live job's record.
func KeyJob(job string) string { return fmt.Sprintf("%s%02d/%s", PrefixJobs, BucketOf(job), job) }

// KeyPending returns the key of a pending submission.
func KeyPending(job string) string { return PrefixPending + job }

// KeyTerminal returns the key of a finished job's terminal state.
func KeyTerminal(job string) string { return prefixTerminal + job }

// JobOfTerminalKey returns the job whose terminal state a key holds, and whether it is such a
// key.
func JobOfTerminalKey(key string) (job string, ok bool) {
	return strings.CutPrefix(key, prefixTerminal)
}

// The kinds of a job's further records, which are kept below its own: parts of the names of
// machines, pages of the set of completed tasks, and such pages in the old format.
const (
	PartMachineNames = 'm'
	PartDonePage     = 'd'
	PartOldDonePage  = 'p'
)

// partKinds are all kinds of further records.
var partKinds = string([]rune{PartMachineNames, PartDonePage, PartOldDonePage})

// KeyJobPart returns the key of a job's further record: the n-th of a kind.
func KeyJobPart(job string, kind byte, n int) string {
	return fmt.Sprintf("%s/%c%d", KeyJob(job), kind, n)
}

// JobPart is what the key of a job's further record says.
type JobPart struct {
	JobKey string // of the job's own record
	Kind   byte   // PartMachineNames, PartDonePage or PartOldDonePage
	Number int    // 0 or above
}

// ParseJobPart parses a key below a job's. It fails with a *RecordError if the key is not one
// that KeyJobPart makes.
func ParseJobPart(key string) (JobPart, error) {
	cut := strings.LastIndexByte(key, '/')
	job, name := key[:cut], key[cut+1:]
	if len(name) >= 2 && strings.ContainsRune(partKinds, rune(name[0])) {
		part := JobPart{JobKey: job, Kind: name[0]}
		var err error
		part.Number, err = strconv.Atoi(name[1:])
		if err == nil && part.Number >= 0 && name == fmt.Sprintf("%c%d", part.Kind, part.Number) {
			return part, nil
		}
	}
	return JobPart{}, &RecordError{Key: key, Err: errors.New("not of a known kind")}
}
