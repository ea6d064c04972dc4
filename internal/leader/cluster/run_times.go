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

// RecordSlowStop records that a task is stopped because its machine appears to be slow.
func (j *Job) RecordSlowStop(task int) {
	if j.stoppedAsSlow == nil {
		j.stoppedAsSlow = map[int]bool{}
	}
	j.stoppedAsSlow[task] = true
}

// MayStopAsSlow reports whether a task may be stopped because its machine appears to be slow. Each task is
// stopped for that only once in a term, and so is a gang as a whole: a task that takes long again does so by
// itself, and would otherwise never end.
func (j *Job) MayStopAsSlow(task int) bool {
	if j.IsGang() {
		return len(j.stoppedAsSlow) == 0
	}
	return !j.stoppedAsSlow[task]
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
