package jobcache

import (
	"bytes"
	"encoding/json"
	"strings"

	"ospreyslip/internal/jobs"
)

// unfinishedRecords holds, by job ID, the stored records of jobs that are not finished. If the
// key-value store loses them, these copies are the only source of the jobs' descriptions. The
// cache's mutex guards it.
type unfinishedRecords map[string]json.RawMessage

// update stores the record of an unfinished job and drops that of a finished one. The record of a
// held job does not replace an earlier one, because it may lack the description.
func (r unfinishedRecords) update(id string, known entry, value json.RawMessage) {
	switch {
	case known.state != jobs.Queued:
		delete(r, id)
	case !jobs.IsHeldRecord(value):
		r[strings.Clone(id)] = bytes.Clone(value)
	}
}
