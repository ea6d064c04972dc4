package cluster

import "slices"

const (
	maxRunTimes = 256 // run times that are kept of a job

	// MinRunTimes is how many run times of a job tell how much they vary.
	MinRunTimes = 4
)

// RecordRunTime keeps the run time of a completed task, as the logarithm of seconds.
func (j *Job) RecordRunTime(logSeconds float64) {
	if len(j.RunTimeLogs) < maxRunTimes {
		i, _ := slices.BinarySearch(j.RunTimeLogs, logSeconds)
		j.RunTimeLogs = slices.Insert(j.RunTimeLogs, i, logSeconds)
	}
}

// MedianRunTime is the median run time of all tasks that have begun, as the logarithm of
// seconds. Before half of them are done it is not known: the quick ones are done first, and
// by them the rest would all look slow.
func (j *Job) MedianRunTime() (logSeconds float64, known bool) {
	begun := len(j.RunTimeLogs) + j.Running
	if len(j.RunTimeLogs) < MinRunTimes/2 || 2*len(j.RunTimeLogs) < begun {
		return 0, false
	}
	return j.RunTimeLogs[min(begun/2, len(j.RunTimeLogs)-1)], true
}
