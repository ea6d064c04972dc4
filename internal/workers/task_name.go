package workers

import (
	"strconv"
	"strings"
)

// TaskName returns the name of a task from the ID of its job and its index in the job, counted
// from 0.
func TaskName(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// SplitTask splits a task name into the ID of its job and its index in the job. ok is false if name
// is not a task name.
func SplitTask(name string) (job string, index int, ok bool) {
	job, digits, found := strings.Cut(name, "/")
	index, err := strconv.Atoi(digits)
	return job, index, found && err == nil && index >= 0
}
