package jobcache

import (
	"bytes"
	"encoding/json"
	"strings"

	"ospreyslip/internal/jobs"
)

// unfinishedRecords holds, by job id, the records of jobs that are not finished, as they stand in
// the key-value store: should that lose them, nobody else has the jobs' descriptions. It is
// guarded by the cache's mutex.
type unfinishedRecords map[string]json.RawMessage

// update keeps the record of a job that is not finished, and drops that of one that is. The
// record of a held job does not replace what is kept: it may lack the description.
func (r unfinishedRecords) update(id string, known entry, value json.RawMessage) {
	switch {
	case known.state != jobs.Queued:
		delete(r, id)
	case !jobs.IsHeldRecord(value):
		r[strings.Clone(id)] = bytes.Clone(value)
	}
}
