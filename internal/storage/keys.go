// Package storage defines the keys and formats of the records in the key-value store, on which
// controllers of all versions must agree: live jobs, terminal states of jobs, the leader lease,
// bucket heads, the fleet format and the catalog of instance types. Stored names that differ from
// the Go names are kept in cbor tags and key constants.
package storage

import (
	"errors"
	"fmt"
	"hash/fnv"
	"net/url"
	"strconv"
	"strings"
)

// Keys and key prefixes of the records. The live jobs are divided into buckets, each of which has a
// head. Terminal states have a prefix of their own, so that the time of a restore does not grow with
// them.
const (
	KeyLeaderLease = "fleet"
	KeyCatalog     = "catalog" // from FormatV2 on, the prefix of the catalog's keys
	// PrefixFormats is the prefix of the records of the formats that the controllers read, and
	// of the fleet format.
	PrefixFormats     = "format/"
	KeyFleetFormat    = "format/fleet"
	PrefixBucketHeads = "bucket/"
	PrefixJobs        = "job/"
	// PrefixPending is the prefix of the pending submissions: jobs that a controller accepted
	// while it could not reach a leader. Only the leader writes job records, so it ingests them.
	PrefixPending  = "inbox/"
	prefixTerminal = "final/"
)

// Buckets is the number of buckets among which jobs are divided; see docs/design.md.
const Buckets = 16

// BucketOf returns the bucket of a job.
func BucketOf(job string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(job))
	return int(h.Sum32() % Buckets)
}

// KeyFormat returns the key of the record of the format that a controller reads.
func KeyFormat(controller string) string { return PrefixFormats + "node/" + url.PathEscape(controller) }

// KeyBucketHead returns the key of the head of a bucket.
func KeyBucketHead(bucket int) string { return fmt.Sprintf("%s%02d", PrefixBucketHeads, bucket) }

// KeyJob returns the key of a live job's record.
func KeyJob(job string) string { return fmt.Sprintf("%s%02d/%s", PrefixJobs, BucketOf(job), job) }

// KeyPending returns the key of a pending submission.
func KeyPending(job string) string { return PrefixPending + job }

// KeyTerminal returns the key of a finished job's terminal state.
func KeyTerminal(job string) string { return prefixTerminal + job }

// JobOfTerminalKey returns the ID of the job whose terminal state is stored under key. ok is false
// if key is not the key of a terminal state.
func JobOfTerminalKey(key string) (job string, ok bool) {
	return strings.CutPrefix(key, prefixTerminal)
}

// Kinds of the part records of a job, whose keys are below the key of its JobRecord.
const (
	PartMachineNames = 'm' // a MachineNamesRecord
	PartDonePage     = 'd' // a DonePageRecord
	PartDonePageV1   = 'p' // a DonePageRecord in FormatV1
)

// partKinds contains all kinds of part records.
var partKinds = string([]rune{PartMachineNames, PartDonePage, PartDonePageV1})

// KeyJobPart returns the key of the n-th part record of a kind of a job.
func KeyJobPart(job string, kind byte, n int) string {
	return fmt.Sprintf("%s/%c%d", KeyJob(job), kind, n)
}

// JobPart is the parsed key of a part record.
type JobPart struct {
	JobKey string // key of the job's JobRecord
	Kind   byte   // PartMachineNames, PartDonePage or PartDonePageV1
	Number int    // 0 or above
}

// ParseJobPart parses the key of a part record. It fails with a *RecordError if KeyJobPart cannot
// have returned the key. It panics if the key contains no slash.
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
	return JobPart{}, &RecordError{Key: key, Err: errors.New("not the key of a known kind of part record")}
}
