package kvstore

import "encoding/json"

// KeyValue is a key, its value and the revision of its last change.
type KeyValue struct {
	Key      string          `json:"k"`
	Value    json.RawMessage `json:"value"`
	Revision uint64          `json:"mark"`
	Lease    uint64          `json:"tether,omitempty"`
}

// Guard demands that a key is at a revision; 0 demands its absence.
type Guard struct {
	Key      string `json:"k"`
	Revision uint64 `json:"mark"`
}

// Write sets or removes one key.
type Write struct {
	Set    string          `json:"set,omitempty"`
	Value  json.RawMessage `json:"value,omitempty"`
	Lease  uint64          `json:"tether,omitempty"`
	Remove string          `json:"remove,omitempty"`
}

// Change is one entry of a watch.
type Change struct {
	Set      string          `json:"set"`
	Value    json.RawMessage `json:"value"`
	Remove   string          `json:"remove"`
	Revision uint64          `json:"mark"`
}
