package recoverer

import "time"

// Event is a step of a recovery, as shown to operators.
type Event struct {
	At   time.Time `json:"at"`
	What string    `json:"what"`
	Of   string    `json:"of,omitempty"`
}

// maxEvents is the number of events kept in memory; the oldest ones are dropped.
const maxEvents = 2000

// eventLog holds the most recent events of this term's recoveries.
type eventLog struct {
	events  []Event
	dropped int
}

func (e *eventLog) add(at time.Time, what, of string) {
	if len(e.events) == maxEvents {
		e.events = e.events[1:]
		e.dropped++
	}
	e.events = append(e.events, Event{at, what, of})
}
