package recoverer

import "time"

// Event is a step of a recovery, for operators.
type Event struct {
	At   time.Time `json:"at"`
	What string    `json:"what"`
	Of   string    `json:"of,omitempty"`
}

// maxEvents is how many steps are kept; the oldest are dropped.
const maxEvents = 2000

// eventLog is the last steps of this term's recoveries.
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
