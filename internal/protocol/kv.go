package protocol

// Item is a key of the key-value store with its value and version. Versions are revisions of
// the whole store: that of the transaction that wrote the key last.
type Item struct {
	Key     string `cbor:"path"`
	Value   Raw    `cbor:"value"`
	Version uint64 `cbor:"stamp"`
}

// ItemList is a page of keys, and the revision of the store that it shows.
type ItemList struct {
	Items    []Item `cbor:"rows"`
	More     bool   `cbor:"more"`
	Revision uint64 `cbor:"epoch"`
}

// KeyChange is a change that was made to a key: it was set (Set, Value) or deleted (Delete).
type KeyChange struct {
	Set     string `cbor:"set,omitempty"`
	Value   Raw    `cbor:"value,omitempty"`
	Delete  string `cbor:"delete,omitempty"`
	Version uint64 `cbor:"stamp"`
}

// ChangeList holds the changes up to a revision, in their order.
type ChangeList struct {
	Revision uint64      `cbor:"epoch"`
	Changes  []KeyChange `cbor:"events"`
}

// Condition holds if a key has a version; 0: the key does not exist.
type Condition struct {
	Key     string `cbor:"path"`
	Version uint64 `cbor:"stamp"`
}

// Change sets a key (Set, Value) or deletes one (Delete).
type Change struct {
	Set    string `cbor:"set,omitempty"`
	Value  Raw    `cbor:"value,omitempty"`
	Delete string `cbor:"delete,omitempty"`
}

// Txn is a compare-and-swap over several keys: it is carried out whole if all its conditions
// hold, or not at all.
type Txn struct {
	If   []Condition `cbor:"if"`
	Then []Change    `cbor:"then"`
}

// TxnResponse answers a Txn: its revision, or the keys whose conditions failed.
type TxnResponse struct {
	Revision uint64   `cbor:"epoch"`
	Failed   []string `cbor:"failed"`
}
