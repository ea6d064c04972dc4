package jobs

import (
	"bytes"
	"encoding/json"
	"strings"

	"ospreyslip/internal/wirejson"
)

// RecordPrefix is the key prefix of job records. Each job has one key, which is never removed.
const RecordPrefix = "job/"

// RecoveryStatusKey exists while a leader compares the records in the key-value store with what
// the controllers know. A controller that starts while it exists has not seen the lost records.
const RecoveryStatusKey = "recovery/status"

// RecordKey returns the key of a job's record.
func RecordKey(id string) string { return RecordPrefix + id }

// JobIDFromKey returns the job ID in the key of a record.
func JobIDFromKey(key string) string { return strings.TrimPrefix(key, RecordPrefix) }

// Finished reports whether the job is done or cancelled. The state in such a record never changes
// again.
func (r *Record) Finished() bool { return r.State == Done || r.State == Cancelled }

// EncodeFinal returns the encoded record of the job in the finished state given, Done or Cancelled,
// in at most maxBytes. The record of a cancelled job may date from a time when records could be
// larger; in that case its description keeps only the fields needed to account for its tasks
// until they have stopped.
func (r *Record) EncodeFinal(state string, maxBytes int) json.RawMessage {
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

// Description returns the job's description, including that of a held job, or nil if it is not
// known.
func (r *Record) Description() *Spec {
	if r.Spec == nil && r.Held != nil {
		return r.Held.Spec
	}
	return r.Spec
}

// EncodeWithDescription returns the encoded record of a held job with its missing description
// added. If only the description was missing, the job is no longer held. r.Held must not be nil.
func (r *Record) EncodeWithDescription(spec *Spec) json.RawMessage {
	record := Record{State: Queued, Tasks: spec.Tasks}
	if r.Held.OnlySpecMissing {
		record.Spec, record.AcceptedAtMs, record.Restored = spec, r.Held.AcceptedAtMs, true
	} else {
		held := *r.Held
		held.Spec = spec
		record.Held = &held
	}
	raw, _ := json.Marshal(record)
	return raw
}

// IsHeldRecord reports whether a stored record belongs to a held job, without decoding it.
func IsHeldRecord(value []byte) bool { return bytes.Contains(value, heldField) }

// DecodeSummary decodes the summary from a stored record.
func DecodeSummary(value []byte) (Summary, error) {
	var summary Summary
	err := wirejson.Unmarshal(value, &summary)
	return summary, err
}

// Cancellation is a cancelled job and the revision of the store at which it was cancelled.
type Cancellation struct {
	Job      string
	Revision uint64
}

// TaskCounts holds the number of a job's tasks that are done and running, for display.
type TaskCounts struct{ Done, Running int }
