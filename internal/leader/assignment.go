package leader

import (
	"time"

	"ospreyslip/internal/workers"
)

// The outcome of an assignment that is over.
type outcome int

const (
	open    outcome = iota
	retry           // off the machine, not done
	success         // done
)

// assignment is a task on a machine, from the decision until its end is durable.
type assignment struct {
	job     *job
	n       int
	task    string
	attempt uint64
	gang    uint64 // attempt of its whole gang; 0 for others
	session uint64
	m       *machine

	restored bool      // found in the records: nobody here saw it begin
	home     *segment  // where its beginning is written
	durable  bool      // written: the worker may hear of it
	outcome  outcome   // over, as soon as that is durable
	ending   bool      // queued to be written as over
	closing  bool      // written as over, outcome open
	moving   bool      // its beginning is written on another segment, outcome open
	inRoom   bool      // counts in the machine's room
	seen     string    // state in the newest picture, empty if absent
	born     time.Time // when this leader made or found it
	since    time.Time // when it was seen to start running, else as born
	sent     bool      // a run went out and is not yet known to have failed
	ordered  bool      // it went out in an order that has not returned
	doubt    uint64    // a run under this token may still arrive
	overdue  bool      // its job had got nothing for too long
	stop     bool      // shall stop
	grace    float64
}

// name is the task's on the wire. It is compared with every report.
func (a *assignment) name() string {
	if a.task == "" {
		a.task = workers.TaskName(a.job.id, a.n)
	}
	return a.task
}
