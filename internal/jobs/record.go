package jobs

import (
	"bytes"
	"encoding/json"
	"strings"

	jsonv2 "github.com/go-json-experiment/json"
)

// RecordPrefix holds one key a job, which is never removed.
const RecordPrefix = "job/"

// RecoveryStatusKey is there while a leader compares what the key-value store has with what the
// controllers know. A controller that starts meanwhile did not see what was lost.
const RecoveryStatusKey = "recovery/status"

// RecordKey is the key of a job's record.
func RecordKey(id string) string { return RecordPrefix + id }

// JobIDFromKey returns the job of a record's key.
func JobIDFromKey(key string) string { return strings.TrimPrefix(key, RecordPrefix) }

// Finished tells whether the job is done or cancelled: the record can change no more.
func (r *Record) Finished() bool { return r.State == Done || r.State == Cancelled }

// FinalForm returns the encoded record of the job once it is done or cancelled, in no more than
// maxBytes. A cancelled job may be from when records could be larger: then its description keeps
// only what its tasks count for until they are gone.
func (r *Record) FinalForm(state string, maxBytes int) json.RawMessage {
	final := Record{State: state, Tasks: r.Tasks}
	if r.Held != nil && r.Held.Contradicts {
		final.Held = r.Held
	}
	if state == Cancelled {
		final.Spec = r.Description()
	}
	raw, _ := json.Marshal(final)
	if spec := final.Spec; len(raw) > maxBytes && spec != nil {
		final.Spec = &Spec{
			ID: spec.ID, Team: spec.Team, Shape: spec.Shape, Priority: spec.Priority,
			Tasks: spec.Tasks, CPUs: spec.CPUs, GPUs: spec.GPUs, RAMGB: spec.RAMGB,
		}
		raw, _ = json.Marshal(final)
	}
	return raw
}

// Description returns the job's description, also of one that is held; nil if it is not known.
func (r *Record) Description() *Spec {
	if r.Spec == nil && r.Held != nil {
		return r.Held.Spec
	}
	return r.Spec
}

// WithDescription returns the encoded record of a held job with the description that was
// missing. If nothing else was, the job is held no more. Held must not be nil.
func (r *Record) WithDescription(spec *Spec) json.RawMessage {
	described := Record{State: Queued, Tasks: spec.Tasks}
	if r.Held.OnlySpecMissing {
		described.Spec, described.AcceptedAtMs, described.Restored = spec, r.Held.AcceptedAtMs, true
	} else {
		held := *r.Held
		held.Spec = spec
		described.Held = &held
	}
	raw, _ := json.Marshal(described)
	return raw
}

// IsHeldRecord tells whether a stored record is that of a held job, without decoding it.
func IsHeldRecord(value []byte) bool { return bytes.Contains(value, heldField) }

// DecodeSummary reads the summary of a stored record.
func DecodeSummary(value []byte) (Summary, error) {
	var summary Summary
	err := jsonv2.Unmarshal(value, &summary)
	return summary, err
}

// Cancellation is a job that was cancelled, and the revision at which it was.
type Cancellation struct {
	Job      string
	Revision uint64
}

// Counts are how many of a job's tasks are done and running, for display.
type Counts struct{ Done, Running int }
