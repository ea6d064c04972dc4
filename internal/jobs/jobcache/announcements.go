package jobcache

import (
	"maps"
	"strings"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/recovery/detection"
)

// The leader announces to the other controllers each change of a record that its watch has
// shown. A controller that has not read the change yet keeps it apart, as its own watch may show
// older changes first. An announced change that is not in the records once all changes up to a
// later moment have been read was lost.

// announcedChange is what a record had come to say.
type announcedChange struct {
	state string
	tasks int
}

// announcements are the announced changes, by job id, that are not read yet. They are guarded by
// the cache's mutex.
type announcements map[string]announcedChange

func (a announcements) has(id string) bool {
	_, found := a[id]
	return found
}

// add takes in a change, unless one that finished the job was announced before.
func (a announcements) add(id string, change announcedChange) {
	if earlier, had := a[id]; had && earlier.state != jobs.Queued {
		return
	}
	a[strings.Clone(id)] = change
}

// confirm drops a change that the record shows by now, or that a finished job can not show.
func (a announcements) confirm(id string, now entry) {
	if change, found := a[id]; found && (now.state == change.state || now.state != jobs.Queued) {
		delete(a, id)
	}
}

// NoteAnnounced takes in what a job's record has come to say, as the leader announces.
func (c *Cache) NoteAnnounced(id, state string, tasks int) {
	state = internedState(state)
	if !jobs.ValidID(id) || state == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	known, found := c.entries.get(id)
	if found && (known.state != jobs.Queued || state == jobs.Queued) {
		return // nothing new: knowledge only grows
	}
	c.announced.add(id, announcedChange{state, tasks})
}

// unreadAnnouncements returns a copy of the changes that are announced and not read by now.
func (c *Cache) unreadAnnouncements() announcements {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return maps.Clone(c.announced)
}

// addLostAnnouncements takes in that all changes have been read up to a moment after some were
// announced: those that the records do not show were lost.
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
