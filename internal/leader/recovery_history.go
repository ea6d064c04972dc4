package leader

import "time"

// RecoveryEvent is a step of a recovery, for operators.
type RecoveryEvent struct {
	At   time.Time `json:"at"`
	What string    `json:"what"`
	Of   string    `json:"of,omitempty"`
}

// mostEvents is how many steps are kept; the oldest are dropped.
const mostEvents = 2000

// eventLog is the last steps of recoveries.
type eventLog struct {
	events  []RecoveryEvent
	dropped int
}

func (e *eventLog) add(at time.Time, what, of string) {
	if len(e.events) == mostEvents {
		e.events = e.events[1:]
		e.dropped++
	}
	e.events = append(e.events, RecoveryEvent{at, what, of})
}
