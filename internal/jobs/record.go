package jobs

import (
	"bytes"
	"encoding/json"
	"strings"

	jsonv2 "github.com/go-json-experiment/json"
)

// RecordPrefix holds one key a job, which is never removed.
const RecordPrefix = "job/"

// RecoveryStatusKey is there while a leader compares what the state service has with what
// others know. A node that starts meanwhile did not see what was lost.
const RecoveryStatusKey = "recovery/status"

// Finished tells whether the record can change no more.
func (r *Record) Finished() bool { return r.State == Done || r.State == Cancelled }

// FinalForm returns the record's last form, in no more than so many bytes. A cancelled
// job may be from when records could be larger: then its description keeps what its
// tasks count for until they are gone.
func (r *Record) FinalForm(to string, most int) json.RawMessage {
	end := Record{State: to, Tasks: r.Tasks}
	if r.Held != nil && r.Held.Contradicts {
		end.Held = r.Held
	}
	if to == Cancelled {
		end.Spec = r.Description()
	}
	raw, _ := json.Marshal(end)
	if s := end.Spec; len(raw) > most && end.Spec != nil {
		end.Spec = &Spec{ID: s.ID, Team: s.Team, Shape: s.Shape, Priority: s.Priority, Tasks: s.Tasks, CPUs: s.CPUs, GPUs: s.GPUs, RAMGB: s.RAMGB}
		raw, _ = json.Marshal(end)
	}
	return raw
}

// Description returns the job's description, also of one that is held; nil if it is not
// known.
func (r *Record) Description() *Spec {
	if r.Spec == nil && r.Held != nil {
		return r.Held.Spec
	}
	return r.Spec
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

// IsHeldRecord tells whether a stored record is that of a held job, without decoding it.
func IsHeldRecord(value []byte) bool { return bytes.Contains(value, heldField) }

// RecordKey is the key of a job's record.
func RecordKey(id string) string { return RecordPrefix + id }

// JobIDFromKey returns the job of a record's key.
func JobIDFromKey(key string) string { return strings.TrimPrefix(key, RecordPrefix) }

// Cancellation is a job that was cancelled, and the revision at which it was.
type Cancellation struct {
	Job      string
	Revision uint64
}

// Counts are a job's tasks for display.
type Counts struct{ Done, Running int }

// DecodeSummary reads the summary of a stored record.
func DecodeSummary(value []byte) (Summary, error) {
	var summary Summary
	err := jsonv2.Unmarshal(value, &summary)
	return summary, err
}
