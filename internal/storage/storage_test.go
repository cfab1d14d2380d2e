package storage

import (
	"errors"
	"testing"

	"dunestand/internal/protocol"
)

func TestParseJobPartReadsOnlyKeysOfParts(t *testing.T) {
	job := KeyJob("j-000001")
	for _, kind := range []byte{PartMachineNames, PartDonePage, PartDonePageV1} {
		want := JobPart{JobKey: job, Kind: kind, Number: 12}
		if got, err := ParseJobPart(KeyJobPart("j-000001", kind, 12)); err != nil || got != want {
			t.Errorf("part %c: %+v, %v", kind, got, err)
		}
	}
	for name, key := range map[string]string{
		"unknown kind":    job + "/x1",
		"no number":       job + "/m",
		"leading zero":    job + "/m01",
		"sign":            job + "/m+1",
		"negative number": job + "/m-1",
		"not a number":    job + "/mm",
		"empty":           job + "/",
	} {
		t.Run(name, func(t *testing.T) {
			part, err := ParseJobPart(key)
			var record *RecordError
			if !errors.As(err, &record) || record.Key != key {
				t.Errorf("%s: got %+v, %v, want a RecordError with the key", key, part, err)
			}
		})
	}
}

// A type that does not fit into a record is omitted, and the others are still stored.
func TestCatalogLeavesOutATypeThatFitsNoRecord(t *testing.T) {
	small := protocol.InstanceType{Name: "small", CPUs: 4}
	large := protocol.InstanceType{Name: "large", Zones: make([]string, 1000)}
	limit := catalogOverhead + JSONSize(small) + typeOverhead
	changes := CatalogChanges([]protocol.InstanceType{small, large, small}, FormatV2, limit, nil)
	if len(changes) != 2 || changes[0].Set != "catalog/0" || changes[1].Set != "catalog/1" {
		t.Fatalf("changes: %+v", changes)
	}
	for _, c := range changes {
		var part protocol.Catalog
		if err := protocol.Decode(c.Value, &part); err != nil || len(part.Types) != 1 || part.Types[0].Name != "small" {
			t.Errorf("%s: %+v, %v", c.Set, part, err)
		}
	}
}

// The readable records of a catalog are used although another record cannot be decoded.
func TestUnreadablePartOfTheCatalogIsReportedAndTheRestUsed(t *testing.T) {
	good := protocol.Encode(protocol.Catalog{Types: []protocol.InstanceType{{Name: "m"}}})
	catalog, stored, err := ParseCatalog([]protocol.Item{
		{Key: "catalog/0", Value: good, Version: 7},
		{Key: "catalog/1", Value: []byte{0xff}, Version: 8},
		{Key: "catalogue", Value: good, Version: 9},
	})
	var record *RecordError
	if !errors.As(err, &record) || record.Key != "catalog/1" {
		t.Errorf("%v, want a RecordError with the key", err)
	}
	if len(catalog.Types) != 1 || len(stored) != 2 || stored["catalog/1"] != 8 {
		t.Errorf("catalog %+v, stored %v", catalog, stored)
	}
}
