package workers

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"strings"
	"testing"

	"github.com/go-json-experiment/json"
)

// Sizes are upper bounds of what is encoded, and no more than a few dozen bytes above it.
func TestMaxBytes(t *testing.T) {
	job := "j-" + strings.Repeat("9", 40)
	for _, status := range []TaskStatus{
		{Name: TaskName(job, 99_999), Attempt: math.MaxUint64, State: StateEnded, Cause: CauseGangIncomplete, Saved: true},
		{Name: "j-1/0", Attempt: math.MaxUint64, State: StateGathering},
	} {
		encoded, err := json.Marshal(status)
		if size := len(encoded) + len(","); err != nil || status.MaxBytes() < size || status.MaxBytes() > size+40 {
			t.Errorf("%s: at most %d bytes, %v", encoded, status.MaxBytes(), err)
		}
	}
	last := TaskStatus{Name: TaskName(job, 99_999)}
	if got := ListedTaskBytes(job, 100_000); got < last.MaxBytes() {
		t.Errorf("%d bytes for tasks of up to %d", got, last.MaxBytes())
	}
	for _, graceS := range []float64{0, 10.5, 1.0 / 3, math.MaxFloat64} {
		command := Command{Op: OpClear, Task: TaskName(job, 7), Attempt: math.MaxUint64, GraceS: &graceS}
		encoded, err := json.Marshal(command)
		if size := len(encoded) + len(","); err != nil || command.MaxBytes() < size || command.MaxBytes() > size+40 {
			t.Errorf("%s: at most %d bytes, %v", encoded, command.MaxBytes(), err)
		}
	}
}

// TestOversizedHeartbeatIsAccepted guards against the end of all tasks on a machine whose heartbeats are larger than the
// protocol allows: they were rejected until the worker's lease had expired.
func TestOversizedHeartbeatIsAccepted(t *testing.T) {
	var tasks []string
	for i := range 1200 {
		tasks = append(tasks, fmt.Sprintf(`{"talon":"j-000002/%d","dive":16777216,"stance":"running"}`, i))
	}
	body := `{"host":"m-1","soar":1,"beat":2,"crest":41,"talons":[` + strings.Join(tasks, ",") + `]}`
	var got *Heartbeat
	handler := &Handler{HandleHeartbeat: func(_ context.Context, heartbeat *Heartbeat) *HeartbeatResponse {
		got = heartbeat
		return &HeartbeatResponse{FencingToken: 41}
	}}
	if rec := serve(handler, body); rec.Code != http.StatusOK || len(got.Tasks) != 1200 || got.Bytes != len(body) || len(body) <= MaxMessageBytes {
		t.Errorf("%d bytes: status %d, %d tasks", len(body), rec.Code, len(got.Tasks))
	}
}
