package workers

import (
	"strconv"
	"strings"
)

// TaskName joins the id of a job and the number of one of its tasks, counted from 0.
func TaskName(job string, n int) string { return job + "/" + strconv.Itoa(n) }

// SplitTask takes a task's name apart. It returns false if name is not one.
func SplitTask(name string) (job string, n int, ok bool) {
	job, digits, found := strings.Cut(name, "/")
	n, err := strconv.Atoi(digits)
	return job, n, found && err == nil && n >= 0
}
