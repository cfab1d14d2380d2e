package federation

// Decision is the outcome of an event in one transfer: the new record, and the messages to send
// once the record is stored. At most one of Write and Remove is set.
type Decision[R transferRecord] struct {
	Record R
	// Write is set if the record has changed and must be stored before Send is sent.
	Write bool
	// Remove is set if the record is no longer needed and must be deleted. Send is then empty.
	Remove bool
	// Send holds the messages to the other cell.
	Send []Message
}

// transferRecord is the record of a transfer at its origin or at its target.
type transferRecord interface {
	OriginRecord | TargetRecord

	// Key returns the key of the record in the key-value store.
	Key() string
	// Encode returns the stored form of the record. writeID identifies the write.
	Encode(writeID string) []byte
	// id returns the ID of the transfer.
	id() TransferID
	// check returns an error if a field has a value that this software version never stores.
	check() error
	// message returns a message of the given kind with the fields that the record provides.
	message(kind MessageKind) Message
}

// unchanged returns a decision that sends messages without writing the record.
func unchanged[R transferRecord](record R, kinds ...MessageKind) Decision[R] {
	d := Decision[R]{Record: record}
	for _, kind := range kinds {
		d.Send = append(d.Send, record.message(kind))
	}
	return d
}

// changed returns a decision that writes the record and then sends messages.
func changed[R transferRecord](record R, kinds ...MessageKind) Decision[R] {
	d := unchanged(record, kinds...)
	d.Write = true
	return d
}
