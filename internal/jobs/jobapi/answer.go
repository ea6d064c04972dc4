package jobapi

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"ospreyslip/internal/httpreply"
)

// answer is the response to a request. A nil *answer means that the client has disconnected.
type answer struct {
	status     int
	body       any
	retryAfter bool // whether to send a Retry-After header
}

// found returns a response with a job's state.
func found(id, state string) *answer {
	return &answer{status: http.StatusOK, body: jobView{ID: id, State: state}}
}

// refused returns a response that rejects a request permanently, with the reason.
func refused(status int, why string) *answer {
	return &answer{status: status, body: errorBody{why}}
}

// unavailable returns a response that rejects a request for now, with the reason.
func unavailable(why string) *answer {
	return &answer{status: http.StatusServiceUnavailable, body: errorBody{why}, retryAfter: true}
}

// noSuchJob returns the response to a request for a job that was never accepted.
func noSuchJob() *answer { return refused(http.StatusNotFound, "no such job") }

// Reasons for which a request is rejected for now.
const (
	tooManyRequestsText  = "too many requests at this node"
	noMachineTypesText   = "machine types are not known yet"
	memoryShortText      = "memory is short at this node"
	storeUnavailableText = "state service does not answer"
	recordsMissingText   = "records may be missing"
	notCurrentText       = "this node has just begun and does not know yet whether records are missing"
)

func (a *API) write(w http.ResponseWriter, ans *answer) {
	if ans.retryAfter {
		w.Header().Set("Retry-After", strconv.Itoa(a.retryAfterSeconds()))
	}
	encoded, err := json.Marshal(ans.body)
	httpreply.JSON(w, ans.status, encoded, err)
}

// retryAfterSeconds returns the number of seconds after which a retry may succeed: half of the
// leader's lease, in which an election may have ended or a busy key-value store may have
// recovered.
func (a *API) retryAfterSeconds() int {
	return max(1, int(math.Ceil(a.Derived.Election.LeaseDuration.Seconds()/2)))
}
