package restart

import (
	"errors"
	"fmt"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is what one trial has shown.
type Result struct {
	Pattern      Pattern `json:"pattern"`
	PauseS       float64 `json:"pauseS"`
	Trial        int     `json:"trial"`
	Tasks        int     `json:"tasks"`
	Lost         int     `json:"gone"`    // ended by their lease or with their machine
	Started      int     `json:"begun"`   // starts on the workers' side
	Stopped      int     `json:"stopped"` // by command
	Running      int     `json:"running"` // in the end
	Violations   int     `json:"broken"`  // rules
	Terms        uint64  `json:"terms"`
	AnswerMs     int64   `json:"answerMs"` // from the last node serving to the first answered heartbeat; -1: none
	AllRunningMs int64   `json:"wholeMs"`  // from there until all tasks ran; -1: not in time
	MemoryMB     float64 `json:"memoryMB"` // the most that a controller held
	Sockets      int     `json:"sockets"`  // the most that a controller had open in the end
	// Gaps is how long workers were without an answered heartbeat.
	Gaps *hdrhistogram.Histogram `json:"-"`
	P50  int64                   `json:"gapP50Ms"`
	P99  int64                   `json:"gapP99Ms"`
	Max  int64                   `json:"gapMaxMs"`
}

// Fault says what is wrong with a result; it is empty if nothing is.
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

// ErrHarm means that a restart did harm.
var ErrHarm = errors.New("a restart did harm")

// CheckResults returns an error that wraps ErrHarm if any result shows a
// fault, and another one if there is no result.
func CheckResults(results []Result) error {
	if len(results) == 0 {
		return errors.New("no trial was completed")
	}
	for _, result := range results {
		if fault := result.Fault(); fault != "" {
			return fmt.Errorf("%w: pause %gs, trial %d: %s", ErrHarm, result.PauseS, result.Trial, fault)
		}
	}
	return nil
}
