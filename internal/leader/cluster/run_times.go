package cluster

import "slices"

const (
	maxRunTimesPerJob = 256 // limit of run times kept per job

	// MinRunTimes is the minimum number of run times of a job from which a variance is computed.
	MinRunTimes = 4
)

// RecordRunTime records the run time of a completed task, as the logarithm of seconds.
func (j *Job) RecordRunTime(logSeconds float64) {
	if len(j.RunTimeLogs) < maxRunTimesPerJob {
		i, _ := slices.BinarySearch(j.RunTimeLogs, logSeconds)
		j.RunTimeLogs = slices.Insert(j.RunTimeLogs, i, logSeconds)
	}
}

// MedianRunTime returns the median run time of all tasks that have started, as the logarithm of
// seconds. It is not known before half of them are done: fast tasks complete first, so a median of
// these alone would make all other tasks look slow.
func (j *Job) MedianRunTime() (logSeconds float64, known bool) {
	started := len(j.RunTimeLogs) + j.Running
	if len(j.RunTimeLogs) < MinRunTimes/2 || 2*len(j.RunTimeLogs) < started {
		return 0, false
	}
	return j.RunTimeLogs[min(started/2, len(j.RunTimeLogs)-1)], true
}
