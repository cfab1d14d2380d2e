package protocol

// Paths of the state service.
const (
	PathKeys    = "/keys"
	PathCommit  = "/commit"
	PathChanges = "/changes"
)

// Item is a key of the state service with its value and version.
type Item struct {
	Key     string `cbor:"path"`
	Value   Raw    `cbor:"value"`
	Version uint64 `cbor:"stamp"`
}

// ItemList is a page of keys.
type ItemList struct {
	Items    []Item `cbor:"rows"`
	More     bool   `cbor:"more"`
	Revision uint64 `cbor:"epoch"`
}

// KeyChange is a change of one key: it was set (Set, Value) or deleted (Delete).
type KeyChange struct {
	Set     string `cbor:"set,omitempty"`
	Value   Raw    `cbor:"value,omitempty"`
	Delete  string `cbor:"delete,omitempty"`
	Version uint64 `cbor:"stamp"`
}

// ChangeList holds changes up to a revision, in their order.
type ChangeList struct {
	Revision uint64      `cbor:"epoch"`
	Changes  []KeyChange `cbor:"events"`
}

// Condition holds when a key has a version; 0: the key does not exist.
type Condition struct {
	Key     string `cbor:"path"`
	Version uint64 `cbor:"stamp"`
}

// Change is a put (Set and Value) or a deletion (Delete).
type Change struct {
	Set    string `cbor:"set,omitempty"`
	Value  Raw    `cbor:"value,omitempty"`
	Delete string `cbor:"delete,omitempty"`
}

// Txn is carried out whole if all its conditions hold, or not at all.
type Txn struct {
	If   []Condition `cbor:"if"`
	Then []Change    `cbor:"then"`
}

// TxnResponse is the answer to a Txn.
type TxnResponse struct {
	Revision uint64   `cbor:"epoch"`
	Failed   []string `cbor:"failed"`
}
