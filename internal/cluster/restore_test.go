package cluster

import (
	"errors"
	"testing"

	"dunestand/internal/protocol"
	"dunestand/internal/storage"
)

func TestUnreadableRecordFailsTheRestore(t *testing.T) {
	good := newJob(protocol.JobSpec{ID: "j-000001", Tasks: 3}, 0, storage.FormatV1).record("1-1", nil)
	other := good
	other.Tasks = protocol.MaxTasks + 1
	later := good
	later.Format = storage.NewestFormat + 1
	for name, row := range map[string]protocol.Item{
		"not CBOR":          {Key: storage.KeyJob("j-000001"), Value: []byte{0xff}},
		"under another key": {Key: storage.KeyJob("j-000002"), Value: protocol.Encode(good)},
		"out of range":      {Key: storage.KeyJob("j-000001"), Value: protocol.Encode(other)},
		"later format":      {Key: storage.KeyJob("j-000001"), Value: protocol.Encode(later)},
		"unknown part":      {Key: storage.KeyJob("j-000001") + "/x1", Value: protocol.Encode(storage.DonePageRecord{})},
		"odd number": {
			Key:   storage.KeyJob("j-000001") + "/m01",
			Value: protocol.Encode(storage.MachineNamesRecord{Format: storage.FormatV2}),
		},
		"page of no job": {Key: storage.KeyJob("j-000001") + "x/d1", Value: protocol.Encode(storage.DonePageRecord{})},
	} {
		t.Run(name, func(t *testing.T) {
			jobs, _, err := ParseJobs([]protocol.Item{row})
			if err == nil {
				t.Errorf("decoded as %v", jobs)
			}
			var record *storage.RecordError
			if !errors.As(err, &record) || record.Key != row.Key {
				t.Errorf("got %v, want a RecordError with the key %s", err, row.Key)
			}
		})
	}
}

// Skipping a part in a later format would lose machine names or completions, so it fails the
// restore. A part without a main record is returned as an orphan, not as a job.
func TestPartOfALaterFormatFailsTheRestore(t *testing.T) {
	good := protocol.Encode(newJob(protocol.JobSpec{
		ID:    "j-000001",
		Tasks: 5000,
	}, 0, storage.FormatV2).record("1-1", nil))
	for kind, value := range map[byte]protocol.Raw{
		storage.PartMachineNames: protocol.Encode(storage.MachineNamesRecord{Format: storage.NewestFormat + 1}),
		storage.PartDonePage:     protocol.Encode(storage.DonePageRecord{Format: storage.NewestFormat + 1}),
	} {
		rows := []protocol.Item{
			{Key: storage.KeyJob("j-000001"), Value: good},
			{Key: storage.KeyJobPart("j-000001", kind, 1), Value: value},
		}
		if _, _, err := ParseJobs(rows); err == nil {
			t.Errorf("part %c in a later format was accepted", kind)
		}
		jobs, orphans, err := ParseJobs(rows[1:])
		if err != nil || len(jobs) != 0 || len(orphans["j-000001"]) != 1 {
			t.Errorf("part %c without its job: jobs %v, orphans %v, %v", kind, jobs, orphans, err)
		}
	}
}
