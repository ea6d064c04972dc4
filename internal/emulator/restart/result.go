package restart

import (
	"errors"
	"fmt"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result holds the measurements of one trial.
type Result struct {
	Pattern      Pattern `json:"pattern"`
	PauseS       float64 `json:"pauseS"`
	Trial        int     `json:"trial"`
	Tasks        int     `json:"tasks"`
	Lost         int     `json:"gone"`    // tasks that ended because their worker lease expired or their machine was gone
	Started      int     `json:"begun"`   // task starts that the emulator counted
	Stopped      int     `json:"stopped"` // tasks stopped by a command
	Running      int     `json:"running"` // tasks running at the end of the trial
	Violations   int     `json:"broken"`  // number of violated rules
	Terms        uint64  `json:"terms"`
	AnswerMs     int64   `json:"answerMs"` // from the last restart to the first answered heartbeat; -1 if none
	AllRunningMs int64   `json:"wholeMs"`  // from the last restart until all tasks ran; -1 if not in time
	MemoryMB     float64 `json:"memoryMB"` // highest peak memory of a controller
	Sockets      int     `json:"sockets"`  // most sockets open in a controller at the end of the trial
	// Gaps is the distribution of milliseconds between answered heartbeats of a worker.
	Gaps *hdrhistogram.Histogram `json:"-"`
	P50  int64                   `json:"gapP50Ms"`
	P99  int64                   `json:"gapP99Ms"`
	Max  int64                   `json:"gapMaxMs"`
}

// Fault describes what is wrong with the result. It is empty if the restart did no harm.
func (r Result) Fault() string {
	switch {
	case r.Violations > 0:
		return "rules broken"
	case r.Stopped > 0:
		return "healthy tasks stopped"
	case r.Started != r.Lost:
		return "other tasks begun than were gone"
	case r.Running != r.Tasks:
		return "not all tasks run"
	}
	return ""
}

// ErrTrialFailed means that a trial has a fault, as described by Result.Fault.
var ErrTrialFailed = errors.New("restart of controllers harmed running tasks")

// CheckResults returns an error that wraps ErrTrialFailed if a result has a fault, and a different
// error if there are no results.
func CheckResults(results []Result) error {
	if len(results) == 0 {
		return errors.New("no trial was completed")
	}
	for _, result := range results {
		if fault := result.Fault(); fault != "" {
			return fmt.Errorf("%w: pause %gs, trial %d: %s", ErrTrialFailed, result.PauseS, result.Trial, fault)
		}
	}
	return nil
}
