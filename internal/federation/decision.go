package federation

// Decision is what follows from an event in one transfer: the record as it is to be, and
// the messages to send once that is stored. At most one of Write and Remove is set.
type Decision[R transferRecord] struct {
	Record R
	// Write is set if the record has changed: it is stored before anything is sent.
	Write bool
	// Remove is set if the record is no longer needed: it is deleted, and nothing is sent.
	Remove bool
	Send   []Message
}

// transferRecord is either side's record of a transfer.
type transferRecord interface {
	OriginRecord | TargetRecord

	Key() string
	Encode(writeID string) []byte
	// id returns the transfer that the record is of.
	id() TransferID
	// check returns which field has a value that this version does not store, nil if none.
	check() error
	// message returns a message of a kind with what the record has for it.
	message(kind MessageKind) Message
}

// unchanged decides to send messages only.
func unchanged[R transferRecord](record R, kinds ...MessageKind) Decision[R] {
	d := Decision[R]{Record: record}
	for _, kind := range kinds {
		d.Send = append(d.Send, record.message(kind))
	}
	return d
}

// changed decides to write a record, and then to send messages.
func changed[R transferRecord](record R, kinds ...MessageKind) Decision[R] {
	d := unchanged(record, kinds...)
	d.Write = true
	return d
}
