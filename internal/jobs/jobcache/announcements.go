package jobcache

import (
	"maps"
	"strings"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/recovery/detection"
)

// The leader announces each record change seen by its watch to the other controllers. A
// controller that has not read the change yet stores it separately from its entries, because its
// own watch may still deliver older changes. An announced change was lost if the records do not
// show it once all changes up to a later revision have been read.

// announcedChange is the content of a record after an announced change.
type announcedChange struct {
	state string
	tasks int
}

// announcements holds, by job ID, the announced changes that this controller has not read yet.
// The cache's mutex guards it.
type announcements map[string]announcedChange

func (a announcements) has(id string) bool {
	_, found := a[id]
	return found
}

// add stores a change, unless an earlier announcement already finished the job.
func (a announcements) add(id string, change announcedChange) {
	if earlier, announced := a[id]; announced && earlier.state != jobs.Queued {
		return
	}
	a[strings.Clone(id)] = change
}

// confirm removes the change of a job if the record shows it by now. It also removes the change
// if the record shows the job as finished, since such a record never shows another state.
func (a announcements) confirm(id string, current entry) {
	if change, found := a[id]; found && (current.state == change.state || current.state != jobs.Queued) {
		delete(a, id)
	}
}

// NoteAnnounced records a change of a job's record that the leader has announced.
func (c *Cache) NoteAnnounced(id, state string, tasks int) {
	state = internedState(state)
	if !jobs.ValidID(id) || state == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	known, found := c.entries.get(id)
	if found && (known.state != jobs.Queued || state == jobs.Queued) {
		return // not newer: a finished job stays finished
	}
	c.announced.add(id, announcedChange{state, tasks})
}

// unreadAnnouncements returns a copy of the announced changes that have not been read yet.
func (c *Cache) unreadAnnouncements() announcements {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return maps.Clone(c.announced)
}

// addLostAnnouncements marks announced changes as lost that the records do not show. The caller
// must have taken the unread announcements first and then read all changes up to a later
// revision.
func (c *Cache) addLostAnnouncements(unread announcements) {
	var evidence *detection.Evidence
	c.mu.Lock()
	for id, change := range unread {
		if c.announced[id] != change {
			continue
		}
		delete(c.announced, id)
		known, found := c.entries.get(id)
		c.entries.set(id, entry{state: change.state, tasks: change.tasks, revision: known.revision})
		if change.state != jobs.Queued {
			delete(c.unfinished, id)
		}
		kind, recorded := detection.RecordMissing, ""
		if found && known.revision != 0 {
			kind, recorded = detection.RecordOlder, known.state
		}
		c.lost.add(lostJob{id, recorded})
		evidence = &detection.Evidence{Kind: kind, Key: jobs.RecordKey(id), Found: known.revision}
	}
	c.mu.Unlock()
	if evidence != nil {
		c.reportLoss(*evidence)
	}
}
