package protocol

// Item is a record of the key-value store. Its version is the revision of the store at which its
// key was last written.
type Item struct {
	Key     string `cbor:"path"`
	Value   Raw    `cbor:"value"`
	Version uint64 `cbor:"stamp"`
}

// ItemList is a page of records, as of a revision of the store.
type ItemList struct {
	Items    []Item `cbor:"rows"`
	More     bool   `cbor:"more"`
	Revision uint64 `cbor:"epoch"`
}

// KeyChange reports that a key was set (Set, Value) or deleted (Delete). Version is the revision
// of that change.
type KeyChange struct {
	Set     string `cbor:"set,omitempty"`
	Value   Raw    `cbor:"value,omitempty"`
	Delete  string `cbor:"delete,omitempty"`
	Version uint64 `cbor:"stamp"`
}

// ChangeList holds changes up to a revision, in the order in which they were made.
type ChangeList struct {
	Revision uint64      `cbor:"epoch"`
	Changes  []KeyChange `cbor:"events"`
}

// Condition holds if the key has the given version. Version 0 means that the key does not exist.
type Condition struct {
	Key     string `cbor:"path"`
	Version uint64 `cbor:"stamp"`
}

// Change is a write of a Txn. It sets a key (Set, Value) or deletes a key (Delete).
type Change struct {
	Set    string `cbor:"set,omitempty"`
	Value  Raw    `cbor:"value,omitempty"`
	Delete string `cbor:"delete,omitempty"`
}

// Txn is a compare-and-swap over several keys: either all conditions hold and all changes are
// applied, or no change is.
type Txn struct {
	If   []Condition `cbor:"if"`
	Then []Change    `cbor:"then"`
}

// TxnResponse is the response to a Txn: the revision that it created, or the keys whose
// conditions failed.
type TxnResponse struct {
	Revision uint64   `cbor:"epoch"`
	Failed   []string `cbor:"failed"`
}
