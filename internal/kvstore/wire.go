package kvstore

import "encoding/json"

// KeyValue is a key with its value and the revision of its last change.
type KeyValue struct {
	Key      string          `json:"k"`
	Value    json.RawMessage `json:"value"`
	Revision uint64          `json:"mark"`
	Lease    uint64          `json:"tether,omitempty"` // lease that the key is tied to; 0 if there is none
}

// Guard is a condition of a transaction: the key has the given revision, or does not exist if
// Revision is 0.
type Guard struct {
	Key      string `json:"k"`
	Revision uint64 `json:"mark"`
}

// Write sets or removes one key in a transaction. Exactly one of Set and Remove names a key.
type Write struct {
	Set    string          `json:"set,omitempty"`
	Value  json.RawMessage `json:"value,omitempty"`
	Lease  uint64          `json:"tether,omitempty"` // lease to tie the key to; the key is removed when the lease expires or is revoked
	Remove string          `json:"remove,omitempty"`
}

// Change is one change of a key, as returned by a watch. Exactly one of Set and Remove names the key.
type Change struct {
	Set      string          `json:"set"`
	Value    json.RawMessage `json:"value"`
	Remove   string          `json:"remove"`
	Revision uint64          `json:"mark"`
}

type keyPage struct {
	KeyValues []KeyValue `json:"pairs"`
	More      bool       `json:"hasNext"`
	Revision  uint64     `json:"tide"`
}

type revisionResponse struct {
	Revision uint64 `json:"tide"`
}

type watchResponse struct {
	Revision uint64   `json:"tide"`
	Changes  []Change `json:"log"`
}

type commitRequest struct {
	Guards []Guard `json:"guards"`
	Writes []Write `json:"writes"`
}

type commitResponse struct {
	Revision uint64   `json:"tide"`
	Failed   []string `json:"failed"` // keys of the guards that did not hold
	Error    string   `json:"error"`
}

// leaseNotFoundText is the value of commitResponse.Error if a write names a lease that has expired or
// was revoked.
const leaseNotFoundText = "no such lease"

type leaseRequest struct {
	Milliseconds int64 `json:"lifeMs"`
}

type leaseResponse struct {
	Lease uint64 `json:"tether"`
}
