package jobcache

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"ospreyslip/internal/jobs"
)

// The table returns the same entries as a plain map, whatever the IDs and entries are. The cases
// include IDs that differ only in leading zeros, IDs of forty digits, and revisions and task
// counts that do not fit into a packed entry.
func TestEntryTable(t *testing.T) {
	table, reference := newEntryTable(), map[string]entry{}
	ids := []string{"j-0", "j-00", "j-1", "j-01", "j-000412", "j-412", "j-" + strings.Repeat("9", 16), "j-" + strings.Repeat("9", 17), "j-" + strings.Repeat("0", 40), "j-", "j-1x", "x-1", ""}
	revisions := []uint64{0, 1, 412, maxRevision, maxRevision + 1, math.MaxUint64}
	tasks := []int{0, 1, jobs.MaxTasks, maxTasks, maxTasks + 1, -1}
	n := 0
	for _, revision := range revisions {
		for _, count := range tasks {
			for i, id := range ids {
				if (i+n)%3 == 0 {
					continue // leave some jobs without an entry
				}
				e := entry{state: storedStates[(i+n)%len(storedStates)], tasks: count, revision: revision}
				table.set(id, e)
				reference[id] = e
			}
			n++
			for _, id := range append(ids, "j-2", "j-0412") {
				got, found := table.get(id)
				if want, known := reference[id]; got != want || found != known {
					t.Fatalf("%q: %+v, %v; want %+v, %v", id, got, found, want, known)
				}
			}
		}
	}
	for id := range reference {
		if _, short := table.packed[0]; short {
			t.Fatal(fmt.Sprint("an ID is packed as 0; the table contains ", id))
		}
	}
}
