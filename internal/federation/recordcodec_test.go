package federation

import (
	"encoding/hex"
	"errors"
	"testing"

	"dunestand/internal/protocol"
)

// Stored records and messages are read by other software versions, so renaming a Go field must
// not change the encoding.
func TestEncodedFormsAreStable(t *testing.T) {
	id := TransferID{Origin: "mill", Job: "j-000001", Incarnation: 7}
	origin := OriginRecord{
		Transfer:    id,
		Target:      "dye",
		Phase:       OriginRevoking,
		Cause:       CauseCancelled,
		MaxRestarts: 2,
		Restarts:    1,
		Run:         1,
		Confirmed:   true,
		Job:         []byte("job"),
		Work:        10,
		Done:        TaskSet{5},
	}
	target := TargetRecord{
		Transfer:  id,
		Phase:     TargetAccepted,
		Run:       1,
		Unbounded: true,
		Stopping:  true,
		Job:       []byte("job"),
		Work:      10,
		Done:      TaskSet{5},
	}
	message := Message{
		Kind:      MessageGrant,
		Transfer:  id,
		Job:       []byte("job"),
		Work:      10,
		Renewal:   RenewalID{FencingToken: 3, Sequence: 4},
		Run:       1,
		Unbounded: true,
		Done:      TaskSet{5},
	}
	load := Load{
		CPUs:         1,
		Provisioning: []ProvisioningCapacity{{ReadyIn: 2, CPUs: 3}},
		Queued:       4,
		QuotaFree:    5,
		ImageFetch:   6,
	}
	for name, c := range map[string]struct {
		encoded []byte
		want    string
	}{
		"origin's key": {[]byte(origin.Key()), hex.EncodeToString([]byte("transfer/out/j-000001"))},
		"target's key": {[]byte(target.Key()), hex.EncodeToString([]byte("transfer/in/mill/j-000001/7"))},
		"origin's record": {origin.Encode("3-4"), "a3617601647361766563332d34667265636f7264ab687472616e73666572a3" +
			"6466726f6d646d696c6c636a6f62686a2d303030303031616e0762746f63647965657068617365036563617573650267616c" +
			"6c6f7765640266726572756e73016372756e01656865617264f5636a6f62436a6f6264776f726b0a64646f6e654105"},
		"target's record": {target.Encode("3-4"), "a3617601647361766563332d34667265636f7264a8687472616e73666572a3" +
			"6466726f6d646d696c6c636a6f62686a2d303030303031616e07657068617365026372756e0169756e626f756e646564f568" +
			"73746f7070696e67f5636a6f62436a6f6264776f726b0a64646f6e654105"},
		"message": {protocol.Encode(message), "a8646b696e6408687472616e73666572a36466726f6d646d696c6c636a6f62686a" +
			"2d303030303031616e07636a6f62436a6f6264776f726b0a6772656e6577616ca2647465726d03616e046372756e0169756e" +
			"626f756e646564f564646f6e654105"},
		"load": {protocol.Encode(load), "a564637075730166636f6d696e6781a262696e02646370757303667175657565640464" +
			"667265650565666574636806"},
	} {
		if got := hex.EncodeToString(c.encoded); got != c.want {
			t.Errorf("%s is encoded as %s, want %s", name, got, c.want)
		}
	}
}

// A record that is damaged, of another format or under the wrong key is rejected with an error
// that contains the key.
func TestUnreadableRecordNamesItsKey(t *testing.T) {
	origin := BeginTransfer(transfer, TransferRequest{Target: "dye", Work: 1}, 0).Record
	target := ReceiveNew(&Message{Kind: MessageReserve, Transfer: transfer, Work: 1}, true).Record
	unknownPhase := origin
	unknownPhase.Phase = originPhaseCount
	toItself := origin
	toItself.Target = "mill"
	negative := target
	negative.Run = -1
	later := protocol.Encode(storedRecord[OriginRecord]{Format: recordFormat + 1, Record: origin})
	check := func(t *testing.T, item protocol.Item, record any, err error) {
		t.Helper()
		var unreadable *RecordError
		if !errors.Is(err, ErrUnreadableRecord) || !errors.As(err, &unreadable) || unreadable.Key != item.Key {
			t.Errorf("decoded as %+v with error %v, want an error with the key %q", record, err, item.Key)
		}
	}
	for name, item := range map[string]protocol.Item{
		"no value":         {Key: origin.Key()},
		"wrong key":        {Key: outgoingKey("j-000002"), Value: origin.Encode("")},
		"unknown phase":    {Key: origin.Key(), Value: unknownPhase.Encode("")},
		"target is origin": {Key: origin.Key(), Value: toItself.Encode("")},
		"later format":     {Key: origin.Key(), Value: later},
		"target's record":  {Key: origin.Key(), Value: target.Encode("")},
	} {
		t.Run("origin: "+name, func(t *testing.T) {
			record, err := DecodeOriginRecord(item)
			check(t, item, record, err)
		})
	}
	for name, item := range map[string]protocol.Item{
		"no value":     {Key: target.Key()},
		"wrong key":    {Key: origin.Key(), Value: target.Encode("")},
		"negative run": {Key: negative.Key(), Value: negative.Encode("")},
	} {
		t.Run("target: "+name, func(t *testing.T) {
			record, err := DecodeTargetRecord(item)
			check(t, item, record, err)
		})
	}
}

func TestJobFromKeyAcceptsOnlyOutgoingKeys(t *testing.T) {
	key := outgoingKey("j-000001")
	if job, ok := JobFromKey(key); !ok || job != "j-000001" {
		t.Errorf("job of key %s is %q, want j-000001", key, job)
	}
	key = incomingKey(transfer)
	if job, ok := JobFromKey(key); ok {
		t.Errorf("key %s of a target's record is accepted as the key of job %q", key, job)
	}
}
