package workers

import (
	"math"

	"github.com/go-json-experiment/json"
)

// MaxMessageBytes is the protocol's limit for a request body and for a line of a response: for heartbeats,
// responses to them, and direct commands.
const MaxMessageBytes = 64 << 10

// listedTasksShare is the share of a heartbeat that the tasks on a machine may fill. The rest is for its other
// fields, for unknown fields, and for white space between the values.
const listedTasksShare = 0.75

// MaxListedTasksBytes is the size that the tasks on one machine may have in a heartbeat.
const MaxListedTasksBytes = MaxMessageBytes * listedTasksShare

// Sizes of a message's elements without the names of tasks, at their longest.
var (
	taskStatusBytes = encodedBytes(TaskStatus{Attempt: math.MaxUint64, State: StateEnded, Cause: CauseGangMemberGone, Saved: true})
	commandBytes    = encodedBytes(Command{Op: OpClear, Attempt: math.MaxUint64, GraceS: new(float64)}) + maxGraceDigits
)

// maxGraceDigits is the number of digits by which the grace period of a command may exceed that of 0.
const maxGraceDigits = 24

// encodedBytes returns the size of a value in a JSON list, with the comma after it.
func encodedBytes(value any) int {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err) // the types of messages can be encoded
	}
	return len(encoded) + 1
}

// ListedTaskBytes returns the size that a task of a job may have in a heartbeat, for a job with the given
// number of tasks.
func ListedTaskBytes(job string, tasks int) int {
	return taskStatusBytes + len(job) + len("/") + decimalDigits(tasks)
}

// decimalDigits returns the number of digits of a number that is not negative.
func decimalDigits(number int) (digits int) {
	for digits = 1; number >= 10; digits++ {
		number /= 10
	}
	return digits
}

// MaxBytes returns the size that the task may have in a heartbeat, whatever its state is then.
func (t *TaskStatus) MaxBytes() int { return taskStatusBytes + len(t.Name) }

// MaxBytes returns the size that the command may have in a message.
func (c *Command) MaxBytes() int { return commandBytes + len(c.Task) }
