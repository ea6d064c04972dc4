package jobapi

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"ospreyslip/internal/httpreply"
)

// answer is what a request is answered with. A nil *answer means that the user is gone.
type answer struct {
	status     int
	body       any
	retryAfter bool // it says when a retry is worth while
}

// found answers with a job's state.
func found(id, state string) *answer {
	return &answer{status: http.StatusOK, body: jobView{ID: id, State: state}}
}

// refused answers with why a request is refused for good.
func refused(status int, why string) *answer {
	return &answer{status: status, body: errorBody{why}}
}

// unavailable answers with why a request can not be carried out now.
func unavailable(why string) *answer {
	return &answer{status: http.StatusServiceUnavailable, body: errorBody{why}, retryAfter: true}
}

// noSuchJob answers a request for a job that was never accepted.
func noSuchJob() *answer { return refused(http.StatusNotFound, "no such job") }

// Why a request is answered as unavailable.
const (
	tooManyRequestsText  = "too many requests at this node"
	noMachineTypesText   = "machine types are not known yet"
	memoryShortText      = "memory is short at this node"
	storeUnavailableText = "state service does not answer"
	recordsMissingText   = "records may be missing"
	notCurrentText       = "this node has just begun and does not know yet whether records are missing"
)

// write sends an answer.
func (a *API) write(w http.ResponseWriter, ans *answer) {
	if ans.retryAfter {
		w.Header().Set("Retry-After", strconv.Itoa(a.retryAfterSeconds()))
	}
	encoded, err := json.Marshal(ans.body)
	httpreply.JSON(w, ans.status, encoded, err)
}

// retryAfterSeconds is after how many seconds a retry is worth while: after the time in which
// the leadership or a busy key-value store may have settled.
func (a *API) retryAfterSeconds() int {
	return max(1, int(math.Ceil(a.Derived.Election.LeaseDuration.Seconds()/2)))
}
