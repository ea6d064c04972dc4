package jobs

import (
	"bytes"
	"encoding/json"
)

// Held is a job that is not run, since it is not certain that it should be. It stands in
// a record in place of the job's description, which earlier versions would act upon.
type Held struct {
	Reason       string `json:"reason"`
	Spec         *Spec  `json:"spec,omitempty"`
	AcceptedAtMs int64  `json:"atMs,omitempty"`   // time of day of its acceptance, if known
	HeldSinceMs  int64  `json:"heldMs,omitempty"` // time of day since when it is held
	// OnlySpecMissing tells that nothing but the description is missing.
	OnlySpecMissing bool `json:"complete,omitempty"`
	// Contradicts tells of a job that is over, done by one source and cancelled by another.
	Contradicts bool `json:"contradicts,omitempty"`
}

// WithDescription returns a held record with the description that was missing. If nothing else
// was, the job is held no more.
func (r *Record) WithDescription(spec *Spec) json.RawMessage {
	now := Record{State: Queued, Tasks: spec.Tasks}
	if r.Held.OnlySpecMissing {
		now.Spec, now.AcceptedAtMs, now.Restored = spec, r.Held.AcceptedAtMs, true
	} else {
		held := *r.Held
		held.Spec = spec
		now.Held = &held
	}
	raw, _ := json.Marshal(now)
	return raw
}

// heldField is in the record of a job that is held, and in no other.
var heldField = []byte(`"held":`)

// IsHeldRecord tells whether a stored record is that of a held job, without decoding it.
func IsHeldRecord(value []byte) bool { return bytes.Contains(value, heldField) }
